package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
)

// sendToTwo sends the first packet of flow 1 to two endpoints through r and returns the
// decisions.
func sendToTwo(t *testing.T, r *steer.Router) (original, hedge carawaycart.Decision) {
	t.Helper()
	k := key(1, feed)
	original = mustForward(t, r.Decide(first(1, feed), start))
	hedge, ok := r.Hedge(&k, start.Add(30*time.Millisecond))
	if !ok || hedge.Endpoint == original.Endpoint {
		t.Fatalf("got %s, %t, want an endpoint other than %s", hedge.Endpoint, ok, original.Endpoint)
	}
	return original, hedge
}

// lifetimeToken returns the token of the lifetime of id, which its packets carry once the flow
// is open.
func (f *fleet) lifetimeToken(id carawaycart.EndpointID) carawaycart.Token {
	return f.routers[0].Table().Token(f.endpoint(id).Key())
}

// checkStays reports an error unless d forwards a packet to open and writes the token of its
// lifetime.
func (f *fleet) checkStays(t *testing.T, d, open carawaycart.Decision) {
	t.Helper()
	if mustForward(t, d); d.Endpoint != open.Endpoint || d.Token != f.lifetimeToken(open.Endpoint) || d.Token == open.Token || !d.TokenReplaced {
		t.Errorf("got %s, token replaced %t, want %s, at which the flow is open, and its token", d.Endpoint, d.TokenReplaced, open.Endpoint)
	}
}

// A first packet was sent to two endpoints and the caller sends the token of the one that
// answered last. Guards against moving the flow there: that endpoint does not hold it.
func TestLateAnswerDoesNotMoveFlow(t *testing.T) {
	for _, test := range []struct {
		name      string
		hedgeOpen bool
	}{{"hedge answers late", false}, {"original answers late", true}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(1, 4)
			r := f.routers[0]
			open, late := sendToTwo(t, r)
			if test.hedgeOpen {
				open, late = late, open
			}
			r.Decide(acknowledgement(1, feed, open.Token), start.Add(35*time.Millisecond))
			f.checkStays(t, r.Decide(request(1, feed, late.Token), start.Add(50*time.Millisecond)), open)
			f.checkStays(t, r.Decide(answered(1, feed, late.Token), start.Add(90*time.Millisecond)), open)
			if n := f.events[0].otherTokens; n != 2 {
				t.Errorf("got %d reports of packets with another token, want 2", n)
			}
			if d := r.Decide(answered(1, feed, f.lifetimeToken(open.Endpoint)), start.Add(100*time.Millisecond)); d.Endpoint != open.Endpoint || d.TokenReplaced {
				t.Errorf("got %s, token replaced %t, want the packet forwarded to %s as it is", d.Endpoint, d.TokenReplaced, open.Endpoint)
			}
		})
	}
}

// The endpoint that answered late ends. Guards against resetting the flow, which is open at
// another.
func TestEndOfLateEndpointDoesNotResetFlow(t *testing.T) {
	f := newFleet(1, 4)
	r := f.routers[0]
	open, late := sendToTwo(t, r)
	r.Decide(acknowledgement(1, feed, open.Token), start.Add(35*time.Millisecond))
	moved := f.endpoint(late.Endpoint)
	moved.StartedAt, moved.Address = moved.StartedAt+1000, netip.MustParseAddrPort("10.0.1.1:80")
	f.update(start.Add(40 * time.Millisecond))
	f.checkStays(t, r.Decide(request(1, feed, late.Token), start.Add(50*time.Millisecond)), open)
}

// The caller opens a flow at the endpoint that one instance chose, and the copy of its first
// packet went to another endpoint through the instance that gets all later packets. Guards
// against sending the first packet to further endpoints, and against moving the flow.
func TestCopyThroughAnotherInstanceDoesNotMoveFlow(t *testing.T) {
	f := newFleet(2, 4)
	k := key(1, feed)
	open := mustForward(t, f.routers[0].Decide(first(1, feed), start))
	r := f.routers[1]
	late := mustForward(t, r.Decide(first(1, feed), start.Add(200*time.Millisecond)))
	if late.Endpoint == open.Endpoint {
		t.Fatalf("got %s from both instances, so that the test shows nothing", open.Endpoint)
	}
	r.Decide(acknowledgement(1, feed, open.Token), start.Add(201*time.Millisecond))
	if d, ok := r.Hedge(&k, start.Add(240*time.Millisecond)); ok {
		t.Errorf("got an open flow hedged to %s", d.Endpoint)
	}
	f.checkStays(t, r.Decide(request(1, feed, late.Token), start.Add(250*time.Millisecond)), open)
}

// Guards against keeping a flow at an endpoint by the record of an earlier one with the same
// ports, or by a record whose first packet came with the token of a late answer.
func TestTokenDecidesWithoutHandshake(t *testing.T) {
	f := newFleet(2, 4)
	r := f.routers[0]
	open, late := sendToTwo(t, r)
	r.Decide(acknowledgement(1, feed, open.Token), start.Add(35*time.Millisecond))
	p := request(1, feed, late.Token)
	p.Sequence, p.Acknowledged = 3_000_000_000, 2_000_000_000
	if d := mustForward(t, r.Decide(p, start.Add(time.Second))); d.Endpoint != late.Endpoint {
		t.Errorf("got %s for a flow with other numbers, want %s by its token", d.Endpoint, late.Endpoint)
	}
	other := f.routers[1]
	mustForward(t, other.Decide(request(1, feed, late.Token), start.Add(50*time.Millisecond)))
	if d := mustForward(t, other.Decide(request(1, feed, open.Token), start.Add(250*time.Millisecond))); d.Endpoint != open.Endpoint {
		t.Errorf("got %s, want %s by the token of the packet", d.Endpoint, open.Endpoint)
	}
	if n := f.events[1].otherTokens; n != 1 {
		t.Errorf("got %d reports of packets with another token, want 1", n)
	}
}

// The handshake comes through another instance, and a second acknowledgement, with the token of
// an endpoint that answered late, through this one. Guards against keeping the flow at the late
// endpoint although the caller sends the token of the one that serves it.
func TestLateAcknowledgementDoesNotKeepFlowElsewhere(t *testing.T) {
	for _, retransmissions := range []int{0, 1} { // a copy makes the flow contested
		f := newFleet(2, 4)
		open := mustForward(t, f.routers[0].Decide(first(1, feed), start))
		r := f.routers[1]
		p := first(1, feed)
		p.Retransmissions = retransmissions
		late := mustForward(t, r.Decide(p, start.Add(200*time.Millisecond)))
		if late.Endpoint == open.Endpoint {
			t.Fatalf("got both first packets sent to %s, want two endpoints", open.Endpoint)
		}
		f.routers[0].Decide(acknowledgement(1, feed, open.Token), start.Add(205*time.Millisecond))
		r.Decide(acknowledgement(1, feed, late.Token), start.Add(210*time.Millisecond))
		astray := 0
		for n := range 5 {
			// The endpoint repeats the token that the other instance has written.
			p := answered(1, feed, f.lifetimeToken(open.Endpoint))
			p.Acknowledged += uint32(1000 * n)
			if d := mustForward(t, r.Decide(p, start.Add(time.Duration(300+100*n)*time.Millisecond))); d.Endpoint != open.Endpoint {
				astray++
			}
		}
		if astray > 0 {
			t.Errorf("copy %d: got %d packets with the token of %s sent elsewhere, want none", retransmissions, astray, open.Endpoint)
		}
		f.checkStays(t, r.Decide(answered(1, feed, late.Token), start.Add(time.Second)), open)
	}
}

// An endpoint sends its late answer again, each time after data of the endpoint at which the flow
// is open. Guards against moving the flow to it, as packets in a row acknowledge new data with
// its token.
func TestRepeatedLateAnswerDoesNotMoveFlow(t *testing.T) {
	f := newFleet(1, 4)
	r := f.routers[0]
	open, late := sendToTwo(t, r)
	r.Decide(acknowledgement(1, feed, open.Token), start.Add(35*time.Millisecond))
	for n := range 5 {
		p := answered(1, feed, late.Token)
		p.Acknowledged += uint32(1000 * n)
		p.PayloadBytes = 200
		p.Sequence += uint32(200 * n)
		f.checkStays(t, r.Decide(mayAsk(p), start.Add(time.Duration(200+200*n)*time.Millisecond)), open)
	}
}
