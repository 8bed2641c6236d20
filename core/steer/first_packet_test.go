package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
)

// copyOf returns a first packet that the caller has sent n times before.
func copyOf(flow int, service netip.AddrPort, n int) *carawaycart.Packet {
	p := first(flow, service)
	p.Retransmissions = n
	return p
}

// exhaustColdShares makes all endpoints cold and opens flows through router i until one is
// refused.
func exhaustColdShares(t *testing.T, f *fleet, i int, now time.Time) {
	t.Helper()
	f.contents.Revisions = make(map[carawaycart.LifetimeKey]carawaycart.StoreRevision)
	for _, l := range f.contents.Lifetimes {
		l.ColdRemaining = 10 * time.Second
		f.contents.Revisions[l.Key()] = 9
	}
	f.update(now)
	for n := range 100 {
		if d := f.routers[i].Decide(first(100+n, feed), now); d.Verdict != carawaycart.VerdictForward {
			return
		}
	}
	t.Fatal("got 100 flows to cold endpoints in no time, want the share of the instance exhausted")
}

// overload makes router i refuse all flows to the feed service for overload at the returned
// time: requests on one flow are answered far too late.
func overload(t *testing.T, f *fleet, i int, now time.Time) time.Time {
	t.Helper()
	r := f.routers[i]
	const flows = 20
	var packets []*carawaycart.Packet
	for n := range flows {
		d := mustForward(t, r.Decide(first(200+n, feed), now))
		r.Decide(acknowledgement(200+n, feed, d.Token), now.Add(8*time.Millisecond))
		packets = append(packets, request(200+n, feed, d.Token))
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, p := range packets {
			r.Decide(p, now)
		}
		now = now.Add(400 * time.Millisecond)
		for _, p := range packets {
			a := *p
			a.Sequence, a.PayloadBytes = a.Sequence+200, 0
			a.Acknowledged += 1000
			r.Decide(&a, now)
			p.Sequence, p.Acknowledged = a.Sequence, a.Acknowledged
		}
	}
	if d := r.Decide(first(300, feed), now); d.Cause != carawaycart.CauseOverload || d.Verdict != carawaycart.VerdictReset {
		t.Fatalf("got verdict %d for %s under overload, want a new flow reset", d.Verdict, d.Cause)
	}
	return now
}

// A flow is opened through one instance while a copy of its first packet is on its way to
// another, which has to refuse new flows. Guards against resetting the open flow. The first
// transmission is reset at once, since no endpoint can have it.
func TestCopyOfFirstPacketDoesNotResetFlowOpenedElsewhere(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(f *fleet) time.Time // lets router 1 refuse new flows, from the returned time
		cause   carawaycart.Cause        // of the refusal of new flows
		want    carawaycart.Verdict      // on the copies
	}{
		{"no route", func(f *fleet) time.Time {
			f.contents.Config.Routes = f.contents.Config.Routes[1:]
			f.setTable(1, f.contents.Instances, start)
			return start
		}, carawaycart.CauseNoRoute, carawaycart.VerdictDrop},
		{"no endpoint", func(f *fleet) time.Time {
			f.contents.ZonesOut = f.zones
			f.setTable(1, f.contents.Instances, start)
			return start
		}, carawaycart.CauseNoEndpoint, carawaycart.VerdictDrop},
		{"all endpoints cold", func(f *fleet) time.Time {
			exhaustColdShares(t, f, 1, start)
			return start
		}, carawaycart.CauseCold, carawaycart.VerdictDrop},
		{"all endpoints silent", func(f *fleet) time.Time {
			for _, l := range f.contents.Lifetimes {
				makeSilent(t, f, 1, l.ID, start)
			}
			return start.Add(time.Second)
		}, carawaycart.CauseSilent, carawaycart.VerdictDrop},
		{"overload", func(f *fleet) time.Time { return overload(t, f, 1, start) }, carawaycart.CauseOverload, carawaycart.VerdictForward},
	} {
		f := newFleet(2, 2)
		d := mustForward(t, f.routers[0].Decide(first(1, feed), start))
		now := test.prepare(f)
		mustForward(t, f.routers[0].Decide(acknowledgement(1, feed, d.Token), now))
		for n := 1; n <= 2; n++ {
			got := f.routers[1].Decide(copyOf(1, feed, n), now)
			if got.Verdict != test.want {
				t.Errorf("%s: got verdict %d for %s on copy %d, want %d", test.name, got.Verdict, got.Cause, n, test.want)
			}
		}
		if got := f.routers[1].Decide(first(2, feed), now); got.Verdict != carawaycart.VerdictReset || got.Cause != test.cause {
			t.Errorf("%s: got verdict %d for %s on a new flow, want a reset for %s", test.name, got.Verdict, got.Cause, test.cause)
		}
	}
}

// An instance forwards a first packet and has to refuse new flows when a copy comes. The
// answer is under way, or the caller has acknowledged it through another instance. Guards
// against resetting the flow; the endpoint gets the copy, in case that it has lost the packet.
func TestCopyOfForwardedFirstPacketIsNotReset(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(f *fleet, now time.Time)
		want    carawaycart.Verdict
	}{
		{"all endpoints silent", func(f *fleet, now time.Time) {
			for _, l := range f.contents.Lifetimes {
				makeSilent(t, f, 0, l.ID, now)
			}
		}, carawaycart.VerdictForward},
		{"all endpoints cold", func(f *fleet, now time.Time) { exhaustColdShares(t, f, 0, now) }, carawaycart.VerdictDrop},
		{"all endpoints draining", func(f *fleet, now time.Time) {
			for _, l := range f.contents.Lifetimes {
				l.Draining = true
			}
			f.update(now)
		}, carawaycart.VerdictDrop},
		{"endpoint restarted", func(f *fleet, now time.Time) {
			for _, l := range f.contents.Lifetimes {
				l.StartedAt++
			}
			exhaustColdShares(t, f, 0, now)
		}, carawaycart.VerdictDrop},
	} {
		f := newFleet(1, 2)
		d := mustForward(t, f.routers[0].Decide(first(1, feed), start))
		test.prepare(f, start)
		for n, at := range []time.Duration{450 * time.Millisecond, 600 * time.Millisecond} {
			got := f.routers[0].Decide(copyOf(1, feed, n+1), start.Add(at))
			if got.Verdict != test.want {
				t.Errorf("%s: got verdict %d for %s on copy %d, want %d", test.name, got.Verdict, got.Cause, n+1, test.want)
			}
			if got.Verdict == carawaycart.VerdictForward && got.Endpoint != d.Endpoint {
				t.Errorf("%s: got copy %d at %s, want %s, which has the first transmission", test.name, n+1, got.Endpoint, d.Endpoint)
			}
		}
	}
}

// The copy of a first packet that was forwarded comes when new flows are refused for
// overload. Guards against refusing a flow that has been admitted, and against counting it
// as another new flow.
func TestOverloadDoesNotRefuseAdmittedFlow(t *testing.T) {
	f := newFleet(1, 4)
	now := overload(t, f, 0, start)
	admitted := 0
	for n := range 200 {
		at := now.Add(time.Duration(n) * 5 * time.Millisecond)
		if d := f.routers[0].Decide(first(1000+n, order), at); d.Verdict != carawaycart.VerdictForward {
			continue
		}
		admitted++
		if got := f.routers[0].Decide(copyOf(1000+n, order, 1), at.Add(200*time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
			t.Errorf("flow %d: got verdict %d for %s on the copy, want it forwarded", n, got.Verdict, got.Cause)
		}
	}
	if admitted == 0 {
		t.Error("got no flow admitted, so that the test shows nothing")
	}
}

// The instance that has forwarded the first packet starts again before a copy comes.
// Guards against taking a flow that it does not remember for one that nobody has opened.
func TestCopyOfFirstPacketAfterRestartIsNotReset(t *testing.T) {
	f := newFleet(1, 2)
	d := mustForward(t, f.routers[0].Decide(first(1, feed), start))
	mustForward(t, f.routers[0].Decide(acknowledgement(1, feed, d.Token), start.Add(150*time.Millisecond)))
	f.restart(0)
	exhaustColdShares(t, f, 0, start.Add(500*time.Millisecond))
	if got := f.routers[0].Decide(copyOf(1, feed, 1), start.Add(500*time.Millisecond)); got.Verdict != carawaycart.VerdictDrop {
		t.Errorf("got verdict %d for %s, want the copy dropped", got.Verdict, got.Cause)
	}
}

// A first transmission has waited in the instance while a copy opened the flow through
// another. Guards against taking it for the only one.
func TestFirstPacketThatHasWaitedIsNotReset(t *testing.T) {
	f := newFleet(1, 2)
	exhaustColdShares(t, f, 0, start)
	p := first(1, feed)
	p.Waited = true
	if got := f.routers[0].Decide(p, start); got.Verdict != carawaycart.VerdictDrop || got.Cause != carawaycart.CauseCold {
		t.Errorf("got verdict %d for %s, want the packet dropped for cold", got.Verdict, got.Cause)
	}
}
