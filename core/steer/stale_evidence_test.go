package steer_test

import (
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
)

// An endpoint whose entry returned was silent long ago. Guards against resetting its open
// flows because one probe is lost by chance.
func TestReturnedEndpointIsNotSilentAfterOneLostProbe(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
	makeSilent(t, f, 0, d.Endpoint, start.Add(time.Second))
	l := f.endpoint(d.Endpoint)
	f.remove(d.Endpoint)
	f.update(start.Add(4 * time.Second))
	f.contents.Lifetimes = append(f.contents.Lifetimes, l)
	now := start.Add(20 * time.Second)
	f.update(now)
	r.RecordProbe(l.Key(), steer.ProbeUnanswered, now, now.Add(150*time.Millisecond))
	if got := r.Decide(request(1, feed, d.Token), now.Add(200*time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
		t.Errorf("got verdict %d for %s after one failed probe, want the open flow to continue", got.Verdict, got.Cause)
	}
}

// A probe failed shortly before the lifetime ended, so that no other followed. Guards
// against counting it together with one that is lost after the lifetime returned.
func TestFailedProbeBeforeReturnIsNotCounted(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	l := f.endpoint("i-01")
	r.RecordProbe(l.Key(), steer.ProbeUnanswered, start.Add(time.Second), start.Add(1150*time.Millisecond))
	f.remove("i-01")
	f.update(start.Add(1200 * time.Millisecond))
	f.contents.Lifetimes = append(f.contents.Lifetimes, l)
	now := start.Add(20 * time.Second)
	f.update(now)
	if got := r.RecordProbe(l.Key(), steer.ProbeUnanswered, now, now.Add(150*time.Millisecond)); got.Silent {
		t.Error("got the endpoint silent after one failed probe and one of 19 s ago, want another probe first")
	}
}

// The store has lost the entry of an endpoint that runs, as one restored from a copy may.
// Guards against resetting its open flows on that alone, against new flows to it, and
// against waiting for one that is gone.
func TestFlowOfEndpointMissingFromStoreIsNotReset(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
	l := f.endpoint(d.Endpoint)
	f.remove(d.Endpoint)
	f.update(start.Add(time.Second))
	f.events[0].probeRequests = nil
	now := start.Add(3 * time.Second)
	mustForward(t, r.Decide(request(1, feed, d.Token), now))
	if got := f.events[0].probeRequests; len(got) != 1 {
		t.Errorf("got probes of %v requested, want one of %s", got, d.Endpoint)
	}
	if got := r.RecordProbe(l.Key(), steer.ProbeAnswered, now, now.Add(2*time.Millisecond)); got.Again {
		t.Error("got another probe of an endpoint that answers")
	}
	mustForward(t, r.Decide(request(1, feed, d.Token), now.Add(time.Second)))
	for n := range 20 {
		if got := r.Decide(first(10+n, feed), now.Add(time.Second)); got.Endpoint == d.Endpoint {
			t.Fatal("got a new flow at an endpoint whose entry is missing")
		}
	}
	now = now.Add(4 * time.Second)
	for range 2 {
		r.RecordProbe(l.Key(), steer.ProbeRefused, now, now.Add(time.Millisecond))
	}
	if got := r.Decide(request(1, feed, d.Token), now.Add(time.Second)); got.Cause != carawaycart.CauseEnded {
		t.Errorf("got verdict %d for %s after two failed probes, want a reset", got.Verdict, got.Cause)
	}
}

// The store has lost the entry of an endpoint that serves its flows, while its queue of new
// connections is full, so that probes get no answer. Guards against resetting its open flows on
// that alone, and against forwarding for ever to one that answers nothing.
func TestFlowOfMissingEndpointIsNotResetWithoutUnansweredData(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, order), start))
	r.Decide(acknowledgement(1, order, d.Token), start.Add(8*time.Millisecond))
	l := f.endpoint(d.Endpoint)
	f.remove(d.Endpoint)
	f.update(start.Add(time.Second))
	now := start.Add(3 * time.Second)
	for range 2 {
		r.RecordProbe(l.Key(), steer.ProbeUnanswered, now, now.Add(150*time.Millisecond))
		now = now.Add(200 * time.Millisecond)
	}
	mustForward(t, r.Decide(request(1, order, d.Token), now))
	mustForward(t, r.Decide(acknowledgement(1, order, d.Token), now.Add(time.Millisecond)))
	if got := r.Decide(request(1, order, d.Token), now.Add(250*time.Millisecond)); got.Cause != carawaycart.CauseEnded {
		t.Errorf("got verdict %d for %s after the data was sent again, want a reset", got.Verdict, got.Cause)
	}
}

// Data on a flow was left unanswered, and the flow closed before anything followed from it.
// Much later the endpoint, which serves, has a full queue of new connections, so that two
// probes get no answer. Guards against resetting an open flow on both together, listed or not.
func TestUnansweredDataOfLongAgoIsNoEvidence(t *testing.T) {
	for _, listed := range []bool{true, false} {
		f := newFleet(1, 2)
		r := f.routers[0]
		d := mustForward(t, r.Decide(first(1, feed), start))
		r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
		mustForward(t, r.Decide(request(1, feed, d.Token), start.Add(time.Second)))
		mustForward(t, r.Decide(request(1, feed, d.Token), start.Add(1200*time.Millisecond))) // sent again
		closing := acknowledgement(1, feed, d.Token)
		closing.Kind = carawaycart.PacketLast
		mustForward(t, r.Decide(closing, start.Add(1250*time.Millisecond)))
		now := start.Add(20 * time.Second)
		l := f.endpoint(d.Endpoint)
		if !listed {
			f.remove(d.Endpoint)
			f.update(now)
		}
		for range 2 {
			r.RecordProbe(l.Key(), steer.ProbeUnanswered, now, now.Add(150*time.Millisecond))
			now = now.Add(200 * time.Millisecond)
		}
		// A flow that another instance has opened.
		if got := r.Decide(request(2, feed, d.Token), now); got.Verdict != carawaycart.VerdictForward {
			t.Errorf("listed %t: got verdict %d for %s, want the open flow to continue", listed, got.Verdict, got.Cause)
		}
		if got := r.Decide(request(2, feed, d.Token), now.Add(200*time.Millisecond)); got.Verdict != carawaycart.VerdictReset {
			t.Errorf("listed %t: got verdict %d after the data was sent again, want a reset", listed, got.Verdict)
		}
	}
}

// A cut refuses the probes of an endpoint whose entry expires meanwhile. Guards against
// resetting its open flows after the cut on evidence from before its end.
func TestRefusedProbesOfCutDoNotOutliveIt(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
	l := f.endpoint(d.Endpoint)
	f.remove(d.Endpoint)
	f.update(start.Add(time.Second))
	now := start.Add(3 * time.Second)
	for range 2 {
		r.RecordProbe(l.Key(), steer.ProbeRefused, now, now.Add(time.Millisecond))
		now = now.Add(50 * time.Millisecond)
	}
	now = now.Add(4 * time.Second) // the cut has ended
	f.events[0].probeRequests = nil
	mustForward(t, r.Decide(request(1, feed, d.Token), now))
	if len(f.events[0].probeRequests) == 0 {
		t.Errorf("got no probe requested, want one of %s", d.Endpoint)
	}
	r.RecordProbe(l.Key(), steer.ProbeUnanswered, now, now.Add(150*time.Millisecond)) // lost by chance
	mustForward(t, r.Decide(request(1, feed, d.Token), now.Add(200*time.Millisecond)))
	r.RecordProbe(l.Key(), steer.ProbeAnswered, now.Add(200*time.Millisecond), now.Add(202*time.Millisecond))
	mustForward(t, r.Decide(request(1, feed, d.Token), now.Add(400*time.Millisecond)))
}

// The request of a flow waits here while the flow moves to another instance, as after a change
// of the rotation, and is answered there. Its endpoint, which serves, has a full queue of new
// connections, so that two probes get no answer. Guards against resetting the flow, or another
// one at its first packet here, for a request that only seems to be unanswered.
func TestFlowThatMovedToAnotherInstanceIsNotReset(t *testing.T) {
	for _, moved := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		f := newFleet(2, 2)
		r, other := f.routers[0], f.routers[1]
		d := mustForward(t, r.Decide(first(1, feed), start))
		r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
		mustForward(t, r.Decide(request(1, feed, d.Token), start.Add(10*time.Millisecond)))
		now := start.Add(50 * time.Millisecond)
		for p := answered(1, feed, d.Token); now.Before(start.Add(moved)); now = now.Add(50 * time.Millisecond) {
			mustForward(t, other.Decide(p, now))
			p.Acknowledged += 1000
			r.ProcessDeadlines(now)
		}
		l := f.endpoint(d.Endpoint)
		for range 2 {
			r.RecordProbe(l.Key(), steer.ProbeUnanswered, now, now.Add(150*time.Millisecond))
			now = now.Add(200 * time.Millisecond)
		}
		if got := r.TakeStranded(l.Key(), now); len(got) > 0 {
			t.Errorf("moved for %v: got %d flows reset, want none", moved, len(got))
		}
		mustForward(t, r.Decide(request(2, feed, d.Token), now))
	}
}

// An endpoint has gone dark: data on one flow was sent again without an answer. Guards against
// resetting another flow whose last packet came here longer ago than its caller would have
// sent the data again, so that the flow has moved.
func TestFlowWithoutResentDataIsNotStranded(t *testing.T) {
	f := newFleet(1, 1)
	r := f.routers[0]
	var d carawaycart.Decision
	for n := 1; n <= 2; n++ {
		d = mustForward(t, r.Decide(first(n, feed), start))
		r.Decide(acknowledgement(n, feed, d.Token), start.Add(8*time.Millisecond))
	}
	mustForward(t, r.Decide(request(1, feed, d.Token), start.Add(10*time.Millisecond)))
	now := start.Add(1500 * time.Millisecond)
	mustForward(t, r.Decide(request(2, feed, d.Token), now))
	now = now.Add(200 * time.Millisecond)
	mustForward(t, r.Decide(request(2, feed, d.Token), now))
	l := f.endpoint(d.Endpoint)
	for range 2 {
		r.RecordProbe(l.Key(), steer.ProbeUnanswered, now, now.Add(150*time.Millisecond))
		now = now.Add(200 * time.Millisecond)
	}
	if got := r.TakeStranded(l.Key(), now); len(got) != 1 || got[0].Key != first(2, feed).Key {
		t.Errorf("got %v reset, want the flow whose data was sent again", got)
	}
}
