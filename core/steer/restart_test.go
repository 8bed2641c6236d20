package steer_test

import (
	"testing"
	"time"

	"carawaycart"
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
		r.RecordProbe(later, false, now, now.Add(time.Millisecond))
	}
	if got := r.Decide(request(1, feed, d.Token), now.Add(100*time.Millisecond)); got.Cause != carawaycart.CauseEnded {
		t.Errorf("got verdict %d for %s after two failed probes, want a reset", got.Verdict, got.Cause)
	}
}
