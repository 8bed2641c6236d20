package steer_test

import (
	"testing"
	"time"

	"carawaycart"
)

// withoutFeed returns the configuration that follows c and has no route to feed.
func withoutFeed(c *carawaycart.RouteConfig) *carawaycart.RouteConfig {
	next := *c
	next.Version++
	next.Routes = next.Routes[1:]
	return &next
}

// newStaleFleet returns routers of which the first knows a route to feed that was removed
// and added again, while the second has read only the removal, at start plus 1 s. An open
// flow on that route has been opened through the first at start plus 2 s.
func newStaleFleet(t *testing.T) (f *fleet, flow carawaycart.Token) {
	t.Helper()
	f = newFleet(2, 4)
	added := *f.contents.Config
	f.contents.Config = withoutFeed(&added)
	f.update(start.Add(time.Second))
	added.Version += 2
	f.contents.Config = &added
	f.setTable(0, f.contents.Instances, start.Add(2*time.Second))
	d := mustForward(t, f.routers[0].Decide(first(1, feed), start.Add(2*time.Second)))
	f.contents.Config = withoutFeed(&added)
	return f, d.Token
}

// A route was removed and added again, and the packets of a flow that was opened since reach
// an instance that has read only the removal. Guards against resetting the flow.
func TestFlowOfRouteAddedAgainIsNotReset(t *testing.T) {
	f, token := newStaleFleet(t)
	for n := range 20 {
		now := start.Add(2*time.Second + time.Duration(n)*100*time.Millisecond)
		mustForward(t, f.routers[1].Decide(request(1, feed, token), now))
	}
}

// Guards against taking a read that began before the flow was known for one that shows the
// route missing, and against a new table for one that a read has shown.
func TestEarlierReadIsNoEvidenceOfRemovedRoute(t *testing.T) {
	f, token := newStaleFleet(t)
	seen := start.Add(2100 * time.Millisecond)
	mustForward(t, f.routers[1].Decide(request(1, feed, token), seen))
	f.routers[1].Table().RecordRead(seen.Add(-time.Millisecond))
	mustForward(t, f.routers[1].Decide(request(1, feed, token), seen.Add(100*time.Millisecond)))
	f.buildTable(1, f.contents.Instances, seen.Add(200*time.Millisecond))
	mustForward(t, f.routers[1].Decide(request(1, feed, token), seen.Add(300*time.Millisecond)))
}

// Guards against a flow that goes on for ever on a route that was removed, whether the
// instance has seen the flow before or not.
func TestFlowOfRemovedRouteIsReset(t *testing.T) {
	f := newFleet(2, 4)
	known := mustForward(t, f.routers[1].Decide(first(1, feed), start))
	f.routers[1].Decide(acknowledgement(1, feed, known.Token), start.Add(8*time.Millisecond))
	other := mustForward(t, f.routers[0].Decide(first(2, feed), start))
	f.contents.Config = withoutFeed(f.contents.Config)
	f.update(start.Add(time.Second))
	now := start.Add(1100 * time.Millisecond)
	if d := f.routers[1].Decide(request(1, feed, known.Token), now); d.Verdict != carawaycart.VerdictReset || d.Cause != carawaycart.CauseNoRoute {
		t.Errorf("got verdict %d for %s of a flow that was open before the removal, want a reset", d.Verdict, d.Cause)
	}
	mustForward(t, f.routers[1].Decide(request(2, feed, other.Token), now))
	f.routers[1].Table().RecordRead(now.Add(500 * time.Millisecond))
	if d := f.routers[1].Decide(request(2, feed, other.Token), now.Add(600*time.Millisecond)); d.Verdict != carawaycart.VerdictReset || d.Cause != carawaycart.CauseNoRoute {
		t.Errorf("got verdict %d for %s of a flow that was open before the last read, want a reset", d.Verdict, d.Cause)
	}
}

// The first packet of a flow reaches an instance before a route is removed, and a copy of it
// opens the flow through another when the route has been added again. Guards against taking
// the flow for open since its first packet.
func TestFlowIsOpenOnlyAfterItsFirstPacket(t *testing.T) {
	f := newFleet(1, 1)
	d := mustForward(t, f.routers[0].Decide(first(1, feed), start))
	f.contents.Config = withoutFeed(f.contents.Config)
	f.update(start.Add(100 * time.Millisecond))
	mustForward(t, f.routers[0].Decide(acknowledgement(1, feed, d.Token), start.Add(300*time.Millisecond)))
	f.routers[0].Table().RecordRead(start.Add(200 * time.Millisecond))
	mustForward(t, f.routers[0].Decide(request(1, feed, d.Token), start.Add(310*time.Millisecond)))
}

// The belief that a route was removed outlasts no flow. Guards against a reset once all flows
// that were open at the removal have ended.
func TestRemovedRouteIsForgotten(t *testing.T) {
	f, token := newStaleFleet(t)
	now := start.Add(71 * time.Second)
	mustForward(t, f.routers[1].Decide(request(1, feed, token), now))
	f.routers[1].Table().RecordRead(now.Add(time.Second))
	mustForward(t, f.routers[1].Decide(request(1, feed, token), now.Add(2*time.Second)))
}

// Guards against counts of open flows and requests that stay wrong once the route of a flow
// is known again.
func TestCountsOfFlowOfRouteAddedAgain(t *testing.T) {
	f := newFleet(1, 1)
	d := mustForward(t, f.routers[0].Decide(first(1, feed), start))
	f.routers[0].Decide(request(1, feed, d.Token), start.Add(8*time.Millisecond))
	added := *f.contents.Config
	f.contents.Config = withoutFeed(&added)
	// The read began before the last packet of the flow.
	f.buildTable(0, f.contents.Instances, start.Add(20*time.Millisecond))
	mustForward(t, f.routers[0].Decide(answered(1, feed, d.Token), start.Add(30*time.Millisecond)))
	if v := f.routers[0].Endpoints(start.Add(30 * time.Millisecond))[0]; v.Open != 1 || v.Outstanding != 0 {
		t.Errorf("got %d open flows and %d outstanding without the route, want 1 and 0", v.Open, v.Outstanding)
	}
	added.Version += 2
	f.contents.Config = &added
	f.update(start.Add(50 * time.Millisecond))
	next := request(1, feed, d.Token)
	next.Sequence, next.Acknowledged = 1201, 1500
	mustForward(t, f.routers[0].Decide(next, start.Add(60*time.Millisecond)))
	if v := f.routers[0].Endpoints(start.Add(60 * time.Millisecond))[0]; v.Open != 1 || v.Outstanding != 1 {
		t.Errorf("got %d open flows and %d outstanding with a request, want 1 and 1", v.Open, v.Outstanding)
	}
	last := answered(1, feed, d.Token)
	last.Kind = carawaycart.PacketLast
	mustForward(t, f.routers[0].Decide(last, start.Add(70*time.Millisecond)))
	if v := f.routers[0].Endpoints(start.Add(70 * time.Millisecond))[0]; v.Open != 0 || v.Outstanding != 0 {
		t.Errorf("got %d open flows and %d outstanding after the end of the flow, want none", v.Open, v.Outstanding)
	}
}
