package steer_test

import (
	"testing"
	"time"

	"carawaycart"
)

// A copy opens a flow through one instance. The first transmission arrives later at another,
// which has used up its share of a cold endpoint. Guards against resetting the flow, against
// not resetting other flows at once, and against placement by flows that only peers have seen.
func TestLateFirstTransmissionIsNotResetOnceFlowIsOpenElsewhere(t *testing.T) {
	f := newFleet(2, 1)
	p := first(1, feed)
	p.Retransmissions = 1
	at := mustForward(t, f.routers[0].Decide(p, start))
	f.routers[0].Decide(acknowledgement(1, feed, at.Token), start)
	mustForward(t, f.routers[0].Decide(first(2, feed), start))
	f.routers[0].Decide(acknowledgement(2, feed, at.Token), start)
	if n := len(f.events[0].shared); n != 1 {
		t.Fatalf("got %d reports of open flows, want one, of that whose first transmission is elsewhere", n)
	}
	r := f.routers[1]
	r.RecordOpen(&f.events[0].shared[0], start)
	if n := r.Endpoints(start)[0].Open; n != 0 {
		t.Errorf("got %d open flows at the other instance, want none before it receives data", n)
	}
	cold := f.endpoint(at.Endpoint)
	cold.ColdRemaining = 10 * time.Second
	f.contents.Revisions = map[carawaycart.LifetimeKey]carawaycart.StoreRevision{cold.Key(): 9}
	f.update(start)
	n := 3
	for r.Decide(first(n, feed), start).Verdict == carawaycart.VerdictForward {
		n++
	}
	reused := first(1, feed)
	reused.Sequence += 1 << 30
	for _, test := range []struct {
		name string
		p    *carawaycart.Packet
		want carawaycart.Verdict
	}{
		{"open elsewhere", first(1, feed), carawaycart.VerdictDrop},
		{"not open", first(n+1, feed), carawaycart.VerdictReset},
		{"a later flow from the same port", reused, carawaycart.VerdictReset},
	} {
		if d := r.Decide(test.p, start); d.Verdict != test.want {
			t.Errorf("%s: got verdict %d, want %d", test.name, d.Verdict, test.want)
		}
	}
}
