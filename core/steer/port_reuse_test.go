package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
)

// A flow that is on record here has closed through another instance, and its caller uses the
// port again on a route that was removed and added since. Guards against resetting the new
// flow for what is known of the earlier one.
func TestFlowFromReusedPortIsNotResetForRemovedRoute(t *testing.T) {
	for _, detached := range []bool{false, true} {
		f := newFleet(2, 1)
		r := f.routers[1]
		old := mustForward(t, r.Decide(first(1, feed), start))
		r.Decide(acknowledgement(1, feed, old.Token), start.Add(8*time.Millisecond))
		added := *f.contents.Config
		f.contents.Config = withoutFeed(&added)
		if detached {
			f.buildTable(1, f.contents.Instances, start.Add(500*time.Millisecond))
			mustForward(t, r.Decide(answered(1, feed, old.Token), start.Add(600*time.Millisecond)))
		}
		f.update(start.Add(time.Second))
		added.Version += 2
		f.contents.Config = &added
		f.setTable(0, f.contents.Instances, start.Add(2*time.Second))
		p := first(1, feed)
		p.Sequence = 3_000_000_000
		d := mustForward(t, f.routers[0].Decide(p, start.Add(2*time.Second)))
		q := request(1, feed, d.Token)
		q.Sequence, q.Acknowledged = 3_000_000_001, 2_000_000_000
		if got := r.Decide(q, start.Add(2100*time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
			t.Errorf("detached %t: got verdict %d for %s, want the packet forwarded", detached, got.Verdict, got.Cause)
		}
	}
}

// A flow on record here was open at an endpoint that has ended, and its caller uses the port
// again. Guards against sending the new flow there as a duplicate of the earlier one.
func TestFirstPacketFromReusedPortIsPlacedAnew(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	old := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, old.Token), start.Add(8*time.Millisecond))
	l := f.endpoint(old.Endpoint)
	l.StartedAt, l.Address = l.StartedAt+1000, netip.MustParseAddrPort("10.0.1.1:80")
	f.update(start.Add(time.Second))
	p := first(1, feed)
	p.Sequence = 3_000_000_000
	if got := mustForward(t, r.Decide(p, start.Add(5*time.Second))); got.Address == old.Address {
		t.Errorf("got the first packet sent to %s, whose lifetime has ended", got.Address)
	}
}
