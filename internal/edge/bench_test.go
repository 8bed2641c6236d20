package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/platform"
)

// BenchmarkView measures a read of the store that changes one endpoint, with the table
// that follows from it.
func BenchmarkView(b *testing.B) {
	for _, size := range []struct{ instances, endpoints, services int }{{19, 18, 2}, {195, 293, 2}, {303, 2996, 2}, {1900, 21000, 2300}} {
		b.Run(fmt.Sprintf("instances=%d/endpoints=%d", size.instances, size.endpoints), func(b *testing.B) {
			clock := carawaycart.NewMonotonicClock()
			counters := NewCounters()
			r := steer.NewRouter("a", rand.NewPCG(1, 1), &observer{counters: counters, prober: NewProber(clock, counters, nil)})
			v := NewView("front-a-0", steer.ColdLimits{ColdOverrun: 1.5, ColdSlack: 5}, r, clock, nil)
			items := benchItems(b, size.instances, size.endpoints, size.services)
			revision := carawaycart.StoreRevision(1)
			v.ApplyRead(platform.RangeResult{Items: items, Revision: revision}, clock.Now())
			b.ReportAllocs()
			for b.Loop() {
				revision++
				items[len(items)-1].Revision = revision
				v.ApplyRead(platform.RangeResult{Items: items, Revision: revision}, clock.Now())
			}
		})
	}
}

// benchItems returns the items of a fleet: configuration, registrations and endpoints.
func benchItems(tb testing.TB, instances, endpoints, services int) []carawaycart.StoreItem {
	tb.Helper()
	config := `{"version":1,"routes":[`
	for n := range services {
		if n > 0 {
			config += ","
		}
		config += fmt.Sprintf(`{"name":"r%d","host":"198.18.%d.%d","prefix":"/80/","type":"safe","target_latency_ms":100,"priority":1,"service":"s%d"}`, n, n/250, n%250+1, n)
	}
	config += `],"services":[`
	for n := range services {
		if n > 0 {
			config += ","
		}
		config += fmt.Sprintf(`{"name":"s%d","health_path":"/health","cold_per_s":10}`, n)
	}
	items := []carawaycart.StoreItem{{Key: "op/config", Value: []byte(config + "]}"), Revision: 1}}
	for n := range instances {
		items = append(items, carawaycart.StoreItem{
			Key: fmt.Sprintf("carawaycart/instances/front-a-%d", n), Revision: 1,
			Value: fmt.Appendf(nil, `{"zone":"%c","peerAddress":"10.%d.%d.1:7420"}`, 'a'+n%6, n/250, n%250),
		})
	}
	for n := range endpoints {
		items = append(items, carawaycart.StoreItem{
			Key: fmt.Sprintf("servers/i-%08x", n+1), Revision: 1,
			Value: fmt.Appendf(nil, `{"service":"s%d","address":"10.128.%d.%d:80","zone":"%c","version":"v1","slots":2,"state":"ready","cold_left_ms":0,"seq":1,"born":%d}`,
				n%services, n/250, n%250, 'a'+n%6, n+1),
		})
	}
	return items
}
