package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/core/steer"
)

// An endpoint has started again under its ID, twice, before the store was read, and flows were
// opened meanwhile. Guards against resetting them because their token is that of an earlier
// lifetime, and against holding unanswered requests on them against the endpoint.
func TestFlowOpenedBeforeRestartWasKnownIsNotReset(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
	l := f.endpoint(d.Endpoint)
	before := *l
	for n := range 2 {
		restarted := *f.endpoint(d.Endpoint)
		restarted.StartedAt += 100
		f.remove(d.Endpoint)
		f.contents.Lifetimes = append(f.contents.Lifetimes, &restarted)
		f.update(start.Add(time.Duration(n+1) * 500 * time.Millisecond))
	}
	now := start.Add(6 * time.Second)
	for n := range 4 {
		got := mustForward(t, r.Decide(request(1, feed, d.Token), now.Add(time.Duration(n)*300*time.Millisecond)))
		if got.Endpoint != before.ID || got.Address != before.Address {
			t.Fatalf("got the packet forwarded to %s at %s, want %s at %s", got.Endpoint, got.Address, before.ID, before.Address)
		}
	}
	r.ProcessDeadlines(now.Add(10 * time.Second))
	for _, e := range r.Endpoints(now.Add(10 * time.Second)) {
		if e.Outstanding > 0 || e.Failing || e.Avoided {
			t.Errorf("%s of %d: got %d requests outstanding, failing %t, avoided %t, want no evidence against it",
				e.Lifetime.ID, e.Lifetime.StartedAt, e.Outstanding, e.Failing, e.Avoided)
		}
	}
	if got := f.events[0]; got.inherited != 4 || got.refused[carawaycart.CauseEnded] > 0 {
		t.Errorf("got %d packets inherited and %d refused, want 4 and none", got.inherited, got.refused[carawaycart.CauseEnded])
	}
}

// An endpoint has started again under its ID, and its new entry is missing from the store.
// Guards against flows of both lifetimes that are forwarded for ever, and against a reset
// before the endpoint has been asked.
func TestFlowOfRestartedEndpointThatIsGoneIsReset(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	f.endpoint(d.Endpoint).StartedAt++
	f.update(start.Add(500 * time.Millisecond))
	later := f.endpoint(d.Endpoint).Key()
	f.remove(d.Endpoint)
	f.update(start.Add(time.Second))
	now := start.Add(3 * time.Second)
	mustForward(t, r.Decide(request(1, feed, d.Token), now))
	for range 2 {
		r.RecordProbe(later, steer.ProbeRefused, now, now.Add(time.Millisecond))
	}
	if got := r.Decide(request(1, feed, d.Token), now.Add(100*time.Millisecond)); got.Cause != carawaycart.CauseEnded {
		t.Errorf("got verdict %d for %s after two failed probes, want a reset", got.Verdict, got.Cause)
	}
}

// An endpoint starts again, cold, and instances learn of it some time later. Guards against
// their shares on top of the flows that they have sent it meanwhile.
func TestFlowsSentBeforeRestartWasKnownCountAsCold(t *testing.T) {
	f := newFleet(4, 2)
	e := f.contents.Lifetimes[0]
	e.RequestSlots = 100 // preferred by all instances
	f.update(start)
	flow, sent := 0, 0
	send := func(from, to time.Duration) {
		for at := from; at < to; at += 10 * time.Millisecond {
			if f.routers[flow%4].Decide(first(flow, feed), start.Add(at)).Endpoint == e.ID {
				sent++
			}
			flow++
		}
	}
	send(0, time.Second)
	if sent < 50 {
		t.Fatalf("got %d flows at the endpoint while warm, want most of 100", sent)
	}
	sent = 0
	send(time.Second, 1080*time.Millisecond) // the endpoint has started again
	restarted := *e
	restarted.StartedAt, restarted.ColdRemaining = e.StartedAt+100, 2*time.Second
	f.contents.Lifetimes[0] = &restarted
	f.contents.Revisions = map[carawaycart.LifetimeKey]carawaycart.StoreRevision{restarted.Key(): 9}
	f.update(start.Add(1080 * time.Millisecond))
	send(1080*time.Millisecond, 2*time.Second)
	const limit = 4*1.5 + 5 // ColdRequestRate, ColdOverrun and ColdSlack of newFleet
	if sent > limit {
		t.Errorf("got %d flows in the second after the restart, want at most %v", sent, float64(limit))
	}
	sent = 0
	send(2300*time.Millisecond, 2900*time.Millisecond)
	if sent == 0 {
		t.Error("got no flow at the cold endpoint later, want its share")
	}
}

// A probe is answered by a later lifetime than the one that an instance knows. Guards against
// new flows at their usual rate to an endpoint that may be cold, against resetting its flows,
// and against no flows for ever if its entry never says so.
func TestEndpointFoundRestartedByProbeGetsNoNewFlows(t *testing.T) {
	f := newFleet(1, 1)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
	key := f.contents.Lifetimes[0].Key()
	r.RecordProbe(key, steer.ProbeUnanswered, start.Add(time.Second), start.Add(1150*time.Millisecond))
	r.RecordProbe(key, steer.ProbeRestarted, start.Add(1200*time.Millisecond), start.Add(1200*time.Millisecond))
	now := start.Add(1300 * time.Millisecond)
	if got := r.Decide(first(2, feed), now); got.Cause != carawaycart.CauseCold {
		t.Errorf("got verdict %d for %s, want a reset for cold", got.Verdict, got.Cause)
	}
	mustForward(t, r.Decide(request(1, feed, d.Token), now))
	mustForward(t, r.Decide(first(3, feed), now.Add(4*time.Second)))
	f.endpoint(d.Endpoint).StartedAt++
	f.update(now.Add(100 * time.Millisecond))
	mustForward(t, r.Decide(first(4, feed), now.Add(200*time.Millisecond)))
}

// An endpoint has started again at another address after its clock was set back, so that its
// entry tells of an earlier start than before. An instance that has just started opens a flow
// there, and a packet of it comes through one that knows the former lifetime. Guards against a
// reset by the order of the starts alone, before the endpoint has been asked.
func TestFlowOfEndpointWhoseClockWasSetBackIsNotReset(t *testing.T) {
	f := newFleet(2, 1)
	r := f.routers[0]
	before := f.contents.Lifetimes[0]
	restarted := *before
	restarted.StartedAt, restarted.Address = before.StartedAt-1, netip.MustParseAddrPort("10.0.0.99:80")
	f.contents.Lifetimes[0] = &restarted
	now := start.Add(time.Second)
	f.update(now)

	started := newFleet(1, 1)
	started.contents.Lifetimes = f.contents.Lifetimes
	started.lifetimes = directory.NewLifetimeTracker()
	started.restart(0)
	started.update(now)
	d := mustForward(t, started.routers[0].Decide(first(1, feed), now))

	f.events[0].probeRequests = nil
	got := r.Decide(request(1, feed, d.Token), now.Add(500*time.Millisecond))
	if got.Verdict != carawaycart.VerdictForward || got.Address != restarted.Address {
		t.Fatalf("got verdict %d for %s, address %s, want the open flow to continue at %s", got.Verdict, got.Cause, got.Address, restarted.Address)
	}
	if len(f.events[0].probeRequests) == 0 {
		t.Error("got no probe requested, want the endpoint asked")
	}
	for range 2 {
		r.RecordProbe(restarted.Key(), steer.ProbeRefused, now, now.Add(time.Millisecond))
	}
	if got := r.Decide(request(1, feed, d.Token), now.Add(700*time.Millisecond)); got.Cause != carawaycart.CauseEnded {
		t.Errorf("got verdict %d for %s after two refused probes, want a reset", got.Verdict, got.Cause)
	}
}

// A probe of a peer was answered by a later lifetime. Guards against new flows at their usual
// rate through instances that have not probed the endpoint, against resetting its flows,
// against no flows for ever if peers tell of it again, and against taking the word of a peer
// for an answer here.
func TestEndpointFoundRestartedByPeerGetsNoNewFlows(t *testing.T) {
	f := newFleet(1, 1)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
	now := start.Add(time.Second)
	for n := range 3 {
		r.RecordRestart(d.Token, now.Add(time.Duration(n)*time.Second))
		if got := r.Decide(first(2+n, feed), now.Add(time.Duration(n)*time.Second)); got.Cause != carawaycart.CauseCold {
			t.Errorf("got verdict %d for %s, want a reset for cold", got.Verdict, got.Cause)
		}
	}
	mustForward(t, r.Decide(request(1, feed, d.Token), now))
	mustForward(t, r.Decide(first(5, feed), now.Add(3*time.Second)))
	makeSilent(t, f, 0, d.Endpoint, now.Add(4*time.Second))
	r.RecordRestart(d.Token, now.Add(4*time.Second))
	if !r.Endpoints(now.Add(4 * time.Second))[0].Silent {
		t.Error("got the endpoint no longer silent by the word of a peer")
	}
	f.endpoint(d.Endpoint).StartedAt++
	f.update(now.Add(5 * time.Second))
	r.RecordRestart(d.Token, now.Add(5*time.Second)) // which has ended
	r.RecordRestart(d.Token+1, now.Add(5*time.Second))
	mustForward(t, r.Decide(first(6, feed), now.Add(5*time.Second)))
}
