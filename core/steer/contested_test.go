package steer_test

import (
	"slices"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
)

// mayAsk returns p as it comes from the fabric, before peers are asked.
func mayAsk(p *carawaycart.Packet) *carawaycart.Packet {
	p.MayAsk = true
	return p
}

// isTracked reports whether r has a record of the given flow.
func isTracked(r *steer.Router, flow int, now time.Time) bool {
	k := key(flow, feed)
	return r.Flow(&k, now).Tracked
}

// A flow moves to an instance that knows nothing of it. Guards against following a token that a
// first packet has left, which may be that of an endpoint at which the flow is not open, and
// against asking for packets that show where it is.
func TestProvisionalTokenIsAskedFor(t *testing.T) {
	f := newFleet(2, 4)
	open, late := sendToTwo(t, f.routers[0])
	f.routers[0].Decide(acknowledgement(1, feed, open.Token), start.Add(35*time.Millisecond))
	r := f.routers[1]
	for _, p := range []*carawaycart.Packet{acknowledgement(1, feed, open.Token), request(1, feed, late.Token), answered(1, feed, late.Token)} {
		if d := r.Decide(mayAsk(p), start.Add(50*time.Millisecond)); d.Verdict != carawaycart.VerdictAsk {
			t.Errorf("got verdict %d, endpoint %s, for a provisional token, want peers asked", d.Verdict, d.Endpoint)
		}
	}
	if d := r.Decide(mayAsk(request(2, feed, f.lifetimeToken(open.Endpoint))), start); d.Verdict != carawaycart.VerdictForward || d.Endpoint != open.Endpoint || d.TokenReplaced {
		t.Errorf("got verdict %d, endpoint %s, for the token of an open flow, want it forwarded as it is", d.Verdict, d.Endpoint)
	}
	question := steer.OpenFlow{Key: key(1, feed), Sequence: 1201, Acknowledged: 500}
	known, ok := f.routers[0].FindOpen(&question, start.Add(51*time.Millisecond))
	if !ok || known.Token != f.lifetimeToken(open.Endpoint) {
		t.Fatalf("got %+v, %t, want the endpoint that the instance has seen the flow open at", known, ok)
	}
	r.RecordOpen(&known, start.Add(52*time.Millisecond))
	f.checkStays(t, r.Decide(mayAsk(request(1, feed, late.Token)), start.Add(53*time.Millisecond)), open)
	other := steer.OpenFlow{Key: key(1, feed), Sequence: 1 << 30, Acknowledged: 1 << 30}
	if known, ok := r.FindOpen(&other, start.Add(time.Second)); ok {
		t.Errorf("got %+v for an earlier flow of the port, want nothing known", known)
	}
}

// A copy of the first packet comes to an instance, and what looks like the handshake but may be a
// second acknowledgement, of a late answer. Guards against taking the flow to be open there.
func TestAcknowledgementAfterCopyIsAskedFor(t *testing.T) {
	f := newFleet(2, 4)
	open := mustForward(t, f.routers[0].Decide(first(1, feed), start))
	r := f.routers[1]
	p := first(1, feed)
	p.Retransmissions = 1
	late := mustForward(t, r.Decide(p, start.Add(200*time.Millisecond)))
	if late.Endpoint == open.Endpoint {
		t.Fatalf("got both first packets sent to %s, want two endpoints", open.Endpoint)
	}
	f.routers[0].Decide(acknowledgement(1, feed, open.Token), start.Add(205*time.Millisecond))
	if d := r.Decide(mayAsk(acknowledgement(1, feed, late.Token)), start.Add(210*time.Millisecond)); d.Verdict != carawaycart.VerdictAsk {
		t.Errorf("got verdict %d, want peers asked", d.Verdict)
	}
	r.RecordOpen(&f.events[0].shared[0], start.Add(211*time.Millisecond))
	f.checkStays(t, r.Decide(mayAsk(request(1, feed, late.Token)), start.Add(212*time.Millisecond)), open)
}

// Nobody knows where a flow is open. Guards against asking for each of its packets, and against
// another endpoint for a late answer.
func TestFlowThatNobodyKnowsIsAssumedOpen(t *testing.T) {
	f := newFleet(2, 4)
	open, late := sendToTwo(t, f.routers[0])
	r := f.routers[1]
	if e := r.AssumeOpen(acknowledgement(1, feed, open.Token), start); e != open.Endpoint {
		t.Fatalf("got %q, want %s by the token", e, open.Endpoint)
	}
	f.checkStays(t, r.Decide(mayAsk(acknowledgement(1, feed, open.Token)), start.Add(time.Millisecond)), open)
	f.checkStays(t, r.Decide(mayAsk(request(1, feed, late.Token)), start.Add(20*time.Millisecond)), open)
	if n := len(f.events[1].shared); n != 1 {
		t.Errorf("got %d flows told to peers, want one", n)
	}
}

// Guards against a flow that peers are not told of though several endpoints may have received
// its first packet, and against a message for each flow.
func TestOnlyContestedFlowsAreTold(t *testing.T) {
	for _, test := range []struct {
		name  string
		open  func(r *steer.Router) carawaycart.Decision
		after time.Duration // from the first packet to the end of the handshake
		want  int
	}{
		{"one endpoint", func(r *steer.Router) carawaycart.Decision { return r.Decide(first(1, feed), start) }, 8 * time.Millisecond, 0},
		{"hedged", func(r *steer.Router) carawaycart.Decision {
			r.Decide(first(1, feed), start)
			k := key(1, feed)
			d, _ := r.Hedge(&k, start.Add(30*time.Millisecond))
			return d
		}, 40 * time.Millisecond, 1},
		{"copy to another endpoint", func(r *steer.Router) carawaycart.Decision {
			r.Decide(first(1, feed), start)
			p := first(1, feed)
			p.Retransmissions = 1
			return r.Decide(p, start.Add(200*time.Millisecond))
		}, 210 * time.Millisecond, 1},
		{"first packet through another instance", func(r *steer.Router) carawaycart.Decision {
			p := first(1, feed)
			p.Retransmissions = 1
			return r.Decide(p, start)
		}, 8 * time.Millisecond, 1},
		{"late, so that a copy may have come to another instance", func(r *steer.Router) carawaycart.Decision {
			return r.Decide(first(1, feed), start)
		}, 205 * time.Millisecond, 1},
	} {
		f := newFleet(1, 4)
		d := mustForward(t, test.open(f.routers[0]))
		mustForward(t, f.routers[0].Decide(acknowledgement(1, feed, d.Token), start.Add(test.after)))
		if n := len(f.events[0].shared); n != test.want {
			t.Errorf("%s: got %d flows told, want %d", test.name, n, test.want)
		}
	}
}

// Guards against forgetting where a contested flow is open while it is idle, for the time that a
// flow may last, and against keeping it for longer.
func TestContestedFlowOutlastsIdleness(t *testing.T) {
	f := newFleet(1, 4)
	r := f.routers[0]
	open, late := sendToTwo(t, r)
	r.Decide(acknowledgement(1, feed, open.Token), start.Add(35*time.Millisecond))
	now := start.Add(59 * time.Second)
	for n := range 200 { // removes idle records from all shards
		r.Decide(first(2+n, feed), now)
	}
	if isTracked(r, 1, now) {
		t.Fatal("got a record of the idle flow, so that the test shows nothing")
	}
	f.checkStays(t, r.Decide(mayAsk(request(1, feed, late.Token)), now), open)
	if flows := r.ContestedFlows(now); len(flows) != 1 {
		t.Errorf("got %d flows to hand over, want one", len(flows))
	}
	if flows := r.ContestedFlows(now.Add(12 * time.Second)); len(flows) != 0 {
		t.Errorf("got %d flows to hand over, want none that can be open", len(flows))
	}
}

// Guards against losing the endpoint of a contested flow when there is no room for its record.
func TestContestedFlowWithoutRoomForRecord(t *testing.T) {
	f := newFleet(2, 4)
	r := f.routers[0]
	n := 100
	for rejected := 0; rejected < 200; n++ {
		r.Decide(first(n, feed), start)
		if !isTracked(r, n, start) {
			rejected++
		}
		if n > 400_000 {
			t.Fatal("got room for all flows, so that the test shows nothing")
		}
	}
	n--
	open := mustForward(t, r.Decide(first(n, feed), start))
	if isTracked(r, n, start) {
		t.Fatal("got a record of the flow, so that the test shows nothing")
	}
	p := acknowledgement(n, feed, open.Token)
	if d := r.Decide(mayAsk(p), start.Add(8*time.Millisecond)); d.Verdict != carawaycart.VerdictAsk {
		t.Fatalf("got verdict %d, want peers asked for a flow without a record", d.Verdict)
	}
	r.AssumeOpen(p, start.Add(9*time.Millisecond))
	for _, l := range f.contents.Lifetimes {
		const firstPacket carawaycart.Token = 1 << 31 // tokens of first packets differ in this bit
		f.checkStays(t, r.Decide(mayAsk(request(n, feed, f.lifetimeToken(l.ID)^firstPacket)), start.Add(50*time.Millisecond)), open)
	}
	if !slices.ContainsFunc(r.ContestedFlows(start.Add(time.Second)), func(o steer.OpenFlow) bool { return o.Key == key(n, feed) }) {
		t.Error("got the flow missing among those to be handed over")
	}
}

// A peer tells of a lifetime that this instance has not read of yet. Guards against sending the
// flow to the endpoint that has answered late, and against a reset.
func TestContestedFlowOfUnreadLifetimeIsDropped(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	known := steer.OpenFlow{Key: key(1, feed), Token: 12345, Sequence: 1000, Acknowledged: 500}
	r.RecordOpen(&known, start)
	late := mustForward(t, r.Decide(first(2, feed), start))
	if d := r.Decide(mayAsk(request(1, feed, late.Token)), start); d.Verdict != carawaycart.VerdictDrop || d.Cause != carawaycart.CauseUnknownToken {
		t.Errorf("got verdict %d for %s, want the packet dropped until the lifetime is known", d.Verdict, d.Cause)
	}
}

// Two instances ask for a flow at the same time, the second for a packet that follows a late
// answer. Guards against two endpoints for the flow, against following what is only assumed
// without asking, and against taking it for more than what an instance has seen.
func TestFirstQuestionDecidesWhatIsAssumed(t *testing.T) {
	f := newFleet(2, 4)
	open, late := sendToTwo(t, f.routers[0])
	r := f.routers[1]
	handshake := steer.OpenFlow{Key: key(1, feed), Token: open.Token, Sequence: 1001, Acknowledged: 500}
	r.RecordAssumed(&handshake, start)
	data := handshake
	data.Token = late.Token
	r.RecordAssumed(&data, start)
	if found, ok := r.FindOpen(&data, start); !ok || !found.Assumed || found.Token != open.Token {
		t.Errorf("got %+v, %t, want the token of the first question, assumed", found, ok)
	}
	if d := r.Decide(mayAsk(request(1, feed, late.Token)), start); d.Verdict != carawaycart.VerdictAsk {
		t.Errorf("got verdict %d, want others asked", d.Verdict)
	}
	if n := len(r.ContestedFlows(start)); n != 0 {
		t.Errorf("got %d flows to hand over, want none that was seen open", n)
	}
	seen := steer.OpenFlow{Key: key(1, feed), Token: f.lifetimeToken(late.Endpoint), Sequence: 1001, Acknowledged: 500}
	r.RecordOpen(&seen, start)
	f.checkStays(t, r.Decide(mayAsk(request(1, feed, open.Token)), start), late)
}
