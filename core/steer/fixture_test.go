package steer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/admission"
	"carawaycart/core/directory"
	"carawaycart/core/placement"
	"carawaycart/core/queue"
	"carawaycart/core/steer"
)

var (
	start = time.Unix(1000, 0)
	feed  = netip.MustParseAddrPort("198.18.0.1:8443") // safe, less urgent
	order = netip.MustParseAddrPort("198.18.0.1:8080") // unsafe, more urgent
)

// events records what a router reports. It implements steer.Observer.
type events struct {
	refused         map[carawaycart.Cause]int
	hedged          int
	avoided         int
	inherited       int
	otherTokens     int
	probeRequests   []carawaycart.EndpointID
	silentEndpoints map[carawaycart.EndpointID]bool
	failing         []steer.Outcomes
	shared          []steer.OpenFlow
	rejecting       map[carawaycart.EndpointID]bool

	overloads []admission.Overload

	loads                              []steer.LoadState
	queued, dispatched, expired, freed int
}

func newEvents() *events {
	return &events{refused: make(map[carawaycart.Cause]int), silentEndpoints: make(map[carawaycart.EndpointID]bool), rejecting: make(map[carawaycart.EndpointID]bool)}
}

func (e *events) Placed(_ *carawaycart.FlowKey, _ carawaycart.EndpointID, _ *placement.Candidate, p steer.Placement) {
	if p.EndpointsTried > 0 {
		e.hedged++
	}
}

func (e *events) Refused(_ *carawaycart.Packet, c carawaycart.Cause, _ bool, _ carawaycart.StoreRevision) {
	e.refused[c]++
}

func (e *events) Inherited(*carawaycart.Packet, *carawaycart.Lifetime, *carawaycart.Lifetime) {
	e.inherited++
}

func (e *events) OtherToken(*carawaycart.Packet, carawaycart.EndpointID, carawaycart.EndpointID) {
	e.otherTokens++
}
func (e *events) Avoided(carawaycart.EndpointID, string, time.Duration) { e.avoided++ }
func (e *events) ProbeRequested(l *carawaycart.Lifetime) {
	e.probeRequests = append(e.probeRequests, l.ID)
}

func (e *events) SilenceChanged(id carawaycart.EndpointID, silent bool) {
	e.silentEndpoints[id] = silent
}

func (e *events) RequestsFailed(o []steer.Outcomes) { e.failing = append(e.failing, o...) }

func (e *events) LoadChanged(s *steer.LoadState)               { e.loads = append(e.loads, *s) }
func (e *events) Queued(*queue.Entry, queue.Verdict, int, int) { e.queued++ }
func (e *events) Dispatched(*queue.Entry, int, int, time.Time) { e.dispatched++ }
func (e *events) QueueDropped(*queue.Entry, carawaycart.Cause) { e.expired++ }
func (e *events) CapacityFreed()                               { e.freed++ }
func (e *events) ContestedFlowOpened(o *steer.OpenFlow)        { e.shared = append(e.shared, *o) }

func (e *events) Overloaded(o admission.Overload)  { e.overloads = append(e.overloads, o) }
func (e *events) Recovered(carawaycart.EndpointID) {}
func (e *events) RejectingChanged(id carawaycart.EndpointID, rejecting bool) {
	e.rejecting[id] = rejecting
}

// fleet is a set of routers with the contents of the store that their tables are built
// from.
type fleet struct {
	contents  directory.Contents
	lifetimes *directory.LifetimeTracker
	returns   directory.ZoneReturns
	revision  carawaycart.StoreRevision
	zones     []carawaycart.ZoneID
	routers   []*steer.Router
	events    []*events
}

// newFleet returns routers in two zones in front of one service with the given number
// of warm endpoints, which are distributed over the zones.
func newFleet(instances, endpoints int) *fleet {
	f := &fleet{lifetimes: directory.NewLifetimeTracker(), zones: []carawaycart.ZoneID{"a", "b"}}
	f.contents.Config = &carawaycart.RouteConfig{
		Version: 1,
		Routes: []carawaycart.Route{
			{
				Address: feed, Kind: carawaycart.RequestSafe, Priority: 2, TargetLatency: 100 * time.Millisecond,
				Targets: []carawaycart.RouteTarget{{Service: "desk", Weight: 1}},
			},
			{
				Address: order, Kind: carawaycart.RequestUnsafe, Priority: 1, TargetLatency: 120 * time.Millisecond,
				Targets: []carawaycart.RouteTarget{{Service: "desk", Weight: 1}},
			},
		},
		Services: []carawaycart.ServicePolicy{{ID: "desk", HealthPath: "/health", ColdRequestRate: 4}},
	}
	for i := range endpoints {
		f.contents.Lifetimes = append(f.contents.Lifetimes, &carawaycart.Lifetime{
			ID: carawaycart.EndpointID(fmt.Sprintf("i-%02x", i+1)), StartedAt: 5, Number: carawaycart.EndpointNumber(i + 1), Service: "desk",
			Zone: f.zones[i%2], Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), RequestSlots: 2,
		})
	}
	for i := range instances {
		f.contents.Instances = append(f.contents.Instances, carawaycart.Registration{
			ID: carawaycart.InstanceID(fmt.Sprintf("n%02d", i)), Zone: f.zones[i%2],
		})
		f.routers = append(f.routers, nil)
		f.events = append(f.events, nil)
		f.restart(i)
	}
	f.update(start)
	return f
}

// restart replaces router i by a new one, which has no table.
func (f *fleet) restart(i int) {
	f.events[i] = newEvents()
	f.routers[i] = steer.NewRouter(f.zones[i%2], rand.NewPCG(1, uint64(i)), f.events[i])
}

// update builds new tables from the contents for all routers at now.
func (f *fleet) update(now time.Time) {
	f.revision++
	f.lifetimes.ApplyContents(&f.contents, now)
	f.returns.ApplyContents(&f.contents, now)
	for i := range f.routers {
		f.setTable(i, f.contents.Instances, now)
	}
}

// setTable lets router i read the contents at now, with only the given members of the fleet.
func (f *fleet) setTable(i int, members []carawaycart.Registration, now time.Time) {
	f.buildTable(i, members, now)
	f.routers[i].Table().RecordRead(now)
}

// buildTable builds a new table from the contents for router i, to which only the given
// members of the fleet are known.
func (f *fleet) buildTable(i int, members []carawaycart.Registration, now time.Time) {
	c := f.contents
	c.Instances = members
	f.routers[i].SetTable(steer.NewTable(&steer.Input{
		Contents: c, Revision: f.revision, Lifetimes: f.lifetimes, ZonesColdUntil: f.returns.ColdUntil(), Self: f.contents.Instances[i].ID,
		Limits: steer.ColdLimits{ColdOverrun: 1.5, ColdSlack: 5},
	}, f.routers[i].Table(), now))
}

// endpoint returns the entry of an endpoint in the contents, or nil if there is none.
func (f *fleet) endpoint(id carawaycart.EndpointID) *carawaycart.Lifetime {
	for _, l := range f.contents.Lifetimes {
		if l.ID == id {
			return l
		}
	}
	return nil
}

// remove deletes the entry of an endpoint from the contents.
func (f *fleet) remove(id carawaycart.EndpointID) {
	for i, l := range f.contents.Lifetimes {
		if l.ID == id {
			f.contents.Lifetimes = append(f.contents.Lifetimes[:i:i], f.contents.Lifetimes[i+1:]...)
			return
		}
	}
}

func key(flow int, service netip.AddrPort) carawaycart.FlowKey {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(flow >> 8), byte(flow)}), uint16(1024+flow%60000))
	return carawaycart.FlowKey{Caller: caller, Service: service, Protocol: carawaycart.TCP}
}

// first returns the first packet of a flow.
func first(flow int, service netip.AddrPort) *carawaycart.Packet {
	return &carawaycart.Packet{Key: key(flow, service), Kind: carawaycart.PacketFirst, Sequence: 1000}
}

// acknowledgement returns the caller's acknowledgement of the answer to its first
// packet.
func acknowledgement(flow int, service netip.AddrPort, t carawaycart.Token) *carawaycart.Packet {
	return &carawaycart.Packet{Key: key(flow, service), Sequence: 1001, Acknowledged: 500, Token: t}
}

// request returns the caller's first request on an open flow.
func request(flow int, service netip.AddrPort, t carawaycart.Token) *carawaycart.Packet {
	p := acknowledgement(flow, service, t)
	p.PayloadBytes = 200
	return p
}

// answered returns the caller's acknowledgement of the answer to a request.
func answered(flow int, service netip.AddrPort, t carawaycart.Token) *carawaycart.Packet {
	p := acknowledgement(flow, service, t)
	p.Sequence, p.Acknowledged = 1201, 1500
	return p
}

func mustForward(tb testing.TB, d carawaycart.Decision) carawaycart.Decision {
	tb.Helper()
	if d.Verdict != carawaycart.VerdictForward {
		tb.Fatalf("got verdict %d for %s, want the packet forwarded", d.Verdict, d.Cause)
	}
	return d
}
