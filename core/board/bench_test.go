package board_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/internal/configtest"
)

var start = time.Unix(1000, 0)

// configSize is the numbers of services and endpoints of a configuration.
type configSize struct{ services, endpoints int }

var configSizes = []configSize{{2, 18}, {100, 900}, {500, 4500}, {2300, 21000}}

// newConfig returns a configuration of the given size with eight zones.
func newConfig(tb testing.TB, s configSize) *config.Configuration {
	tb.Helper()
	var bundle config.Bundle
	zone := func(i int) carawaycart.ZoneID { return carawaycart.ZoneID(fmt.Sprintf("zone-%d", i%8)) }
	service := func(i int) carawaycart.ServiceID {
		return carawaycart.ServiceID(fmt.Sprintf("service-%d", i%s.services))
	}
	for i := range 8 {
		bundle.Zones = append(bundle.Zones, carawaycart.Zone{ID: zone(i)})
	}
	for i := range s.services {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)
		bundle.Services = append(bundle.Services, carawaycart.Service{ID: service(i), Address: a, Profile: "gentle"})
	}
	for i := range s.endpoints {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6081)
		bundle.Endpoints = append(bundle.Endpoints, carawaycart.Endpoint{
			ID: carawaycart.EndpointID(fmt.Sprintf("endpoint-%d", i)), Service: service(i), Zone: zone(i),
			FlowAddress: a, RequestAddress: a, MaxFlows: 4200, RequestSlots: 2,
		})
	}
	return configtest.MustPut(tb, config.New(), carawaycart.KindBundle, "site", bundle)
}

// eachSize runs f as a benchmark for a configuration of each size.
func eachSize(b *testing.B, f func(b *testing.B, c *config.Configuration)) {
	for _, s := range configSizes {
		c := newConfig(b, s)
		b.Run(fmt.Sprintf("services=%d/endpoints=%d", s.services, s.endpoints), func(b *testing.B) {
			b.ReportAllocs()
			f(b, c)
		})
	}
}

// markChange returns the change that sets the mark of endpoint-0 to m.
func markChange(c *config.Configuration, m carawaycart.EndpointMark) carawaycart.Change {
	e := c.Endpoints["endpoint-0"]
	e.Mark = m
	after, _ := json.Marshal(e)
	return carawaycart.Change{Revision: c.Revision + 1, ID: "id", Kind: carawaycart.KindEndpoint, Name: "endpoint-0", After: after}
}

// BenchmarkChange measures the application of a change of one endpoint, until its
// table is the only recent one.
func BenchmarkChange(b *testing.B) {
	eachSize(b, func(b *testing.B, c *config.Configuration) {
		board := board.New("i1")
		board.SetConfig(c, start)
		now := start
		marks := []carawaycart.EndpointMark{carawaycart.MarkLeaving, carawaycart.MarkNone}
		for i := 0; b.Loop(); i++ {
			next, err := c.Apply(markChange(c, marks[i%2]))
			if err != nil {
				b.Fatal(err)
			}
			c = next
			now = now.Add(time.Minute)
			board.SetConfig(c, now)
			board.Tick(now.Add(time.Second))
			board.Tick(now.Add(2 * time.Second))
		}
	})
}

// BenchmarkMemory reports the size of a configuration in force, on the heap and
// encoded, in bytes.
func BenchmarkMemory(b *testing.B) {
	for _, s := range configSizes {
		b.Run(fmt.Sprintf("services=%d/endpoints=%d", s.services, s.endpoints), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				c := newConfig(b, s)
				board := board.New("i1")
				board.SetConfig(c, start)
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				data, err := c.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "snapshot-bytes")
				runtime.KeepAlive(board)
			}
		})
	}
}

// heapBytes returns the bytes of allocated heap objects after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
