package flow_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/flow"
	"carawaycart/internal/routertest"
)

// fixtureFleet adapts a fixture to routertest.Fleet.
type fixtureFleet struct {
	*fixture
	t *testing.T
}

func (r fixtureFleet) Instances() int { return len(r.members) }

func (r fixtureFleet) OpenFlow(instance, n int, now time.Time) carawaycart.Decision {
	return r.send(r.instanceID(instance), packet(n, carawaycart.PacketFirst), now)
}

func (r fixtureFleet) SendPacket(instance, n int, _ carawaycart.Decision, now time.Time) carawaycart.Decision {
	return r.send(r.instanceID(instance), packet(n, carawaycart.PacketMiddle), now)
}

func (r fixtureFleet) OpenToUnknownService(instance int, now time.Time) carawaycart.Decision {
	p := packet(0, carawaycart.PacketFirst)
	p.Key.Service = netip.MustParseAddrPort("192.0.2.99:1")
	return r.send(r.instanceID(instance), p, now)
}

func (r fixtureFleet) MarkLeaving(e carawaycart.EndpointID, now time.Time) {
	r.markLeaving(r.t, e)
	for id := range r.boards {
		r.applyConfig(id, now)
	}
	// An instance activates a new table, and later discards the previous one, at
	// its ticks; 4 s exceed both delays.
	for at := now; at.Before(now.Add(4 * time.Second)); at = at.Add(250 * time.Millisecond) {
		for _, b := range r.boards {
			b.Tick(at)
		}
	}
}

// Restart replaces the records of an instance by those that its peers hold.
func (r fixtureFleet) Restart(instance int, now time.Time) {
	id := r.instanceID(instance)
	fresh := flow.NewRecords()
	for other, records := range r.records {
		if other == id {
			continue
		}
		for _, record := range records.Append(nil, func(*carawaycart.FlowRecord) bool { return true }) {
			fresh.Merge(record, now)
		}
	}
	r.records[id] = fresh
	r.routers[id] = flow.NewRouter(r.boards[id], fresh)
}

func TestConformance(t *testing.T) {
	routertest.Run(t, func(t *testing.T, instances, endpoints int) routertest.Fleet {
		return fixtureFleet{newFixture(t, instances, endpoints), t}
	})
}
