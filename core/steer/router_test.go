package steer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/routertest"
)

// tokenFleet adapts a fleet to routertest.Fleet.
type tokenFleet struct{ *fleet }

func (f tokenFleet) Instances() int { return len(f.routers) }

func (f tokenFleet) OpenFlow(instance, n int, now time.Time) carawaycart.Decision {
	return f.routers[instance].Decide(first(n, feed), now)
}

func (f tokenFleet) SendPacket(instance, n int, d carawaycart.Decision, now time.Time) carawaycart.Decision {
	return f.routers[instance].Decide(acknowledgement(n, feed, d.Token), now)
}

func (f tokenFleet) OpenToUnknownService(instance int, now time.Time) carawaycart.Decision {
	return f.routers[instance].Decide(first(1, netip.MustParseAddrPort("198.18.9.9:1")), now)
}

func (f tokenFleet) MarkLeaving(e carawaycart.EndpointID, now time.Time) {
	f.endpoint(e).Draining = true
	f.update(now)
}

func (f tokenFleet) Restart(instance int, now time.Time) {
	f.restart(instance)
	f.update(now)
}

func TestConformance(t *testing.T) {
	routertest.Run(t, func(_ *testing.T, instances, endpoints int) routertest.Fleet {
		return tokenFleet{newFleet(instances, endpoints)}
	})
}

// Checks the decision of another instance after the owner of the flow's token, its zone
// or its route has changed.
func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(f *fleet, owner carawaycart.EndpointID)
		packet  func(token carawaycart.Token) *carawaycart.Packet
		verdict carawaycart.Verdict
		cause   carawaycart.Cause
	}{
		{"data of an open flow", func(*fleet, carawaycart.EndpointID) {}, dataOf(feed), carawaycart.VerdictForward, carawaycart.CauseNone},
		{"unknown token", func(*fleet, carawaycart.EndpointID) {}, func(t carawaycart.Token) *carawaycart.Packet {
			return request(1, feed, t+1)
		}, carawaycart.VerdictDrop, carawaycart.CauseUnknownToken},
		{
			"entry missing", func(f *fleet, e carawaycart.EndpointID) { f.remove(e) }, dataOf(feed),
			carawaycart.VerdictForward, carawaycart.CauseNone,
		},
		{"entry missing and probes failed", func(f *fleet, e carawaycart.EndpointID) {
			makeSilent(t, f, 1, e, start.Add(2*time.Second))
			f.remove(e)
		}, dataOf(feed), carawaycart.VerdictReset, carawaycart.CauseEnded},
		{"reset to an ended owner", func(f *fleet, e carawaycart.EndpointID) {
			makeSilent(t, f, 1, e, start.Add(2*time.Second))
			f.remove(e)
		}, func(t carawaycart.Token) *carawaycart.Packet {
			p := acknowledgement(1, feed, t)
			p.Kind, p.Reset = carawaycart.PacketLast, true
			return p
		}, carawaycart.VerdictDrop, carawaycart.CauseEnded},
		{"entry missing after a store failure", func(f *fleet, e carawaycart.EndpointID) {
			f.lifetimes.RecordStoreFailure(start.Add(time.Second))
			f.remove(e)
		}, dataOf(feed), carawaycart.VerdictForward, carawaycart.CauseNone},
		{
			"draining owner", func(f *fleet, e carawaycart.EndpointID) { f.endpoint(e).Draining = true }, dataOf(feed),
			carawaycart.VerdictForward, carawaycart.CauseNone,
		},
		{
			"zone out", func(f *fleet, e carawaycart.EndpointID) {
				f.contents.ZonesOut = []carawaycart.ZoneID{f.endpoint(e).Zone}
			}, dataOf(feed),
			carawaycart.VerdictForward, carawaycart.CauseNone,
		},
		{
			"removed route, which may have been added since", func(f *fleet, _ carawaycart.EndpointID) {
				f.contents.Config.Routes = f.contents.Config.Routes[1:]
			}, dataOf(feed), carawaycart.VerdictForward, carawaycart.CauseNone,
		},
		{
			"restarted owner with the same ID", func(f *fleet, e carawaycart.EndpointID) { f.endpoint(e).StartedAt++ }, dataOf(feed),
			carawaycart.VerdictForward, carawaycart.CauseNone,
		},
		{"restarted owner at another address", func(f *fleet, e carawaycart.EndpointID) {
			f.endpoint(e).StartedAt++
			f.endpoint(e).Address = netip.MustParseAddrPort("10.0.9.9:80")
		}, dataOf(feed), carawaycart.VerdictReset, carawaycart.CauseEnded},
		{"restarted owner with another service", func(f *fleet, e carawaycart.EndpointID) {
			f.endpoint(e).StartedAt++
			f.endpoint(e).Service = "intake"
		}, dataOf(feed), carawaycart.VerdictReset, carawaycart.CauseEnded},
		{"no endpoint that takes flows", func(f *fleet, _ carawaycart.EndpointID) { f.contents.ZonesOut = f.zones }, func(carawaycart.Token) *carawaycart.Packet {
			return first(2, feed)
		}, carawaycart.VerdictReset, carawaycart.CauseNoEndpoint},
	} {
		f := newFleet(2, 4)
		owner := mustForward(t, f.routers[0].Decide(first(1, feed), start))
		test.prepare(f, owner.Endpoint)
		f.update(start.Add(2 * time.Second))
		d := f.routers[1].Decide(test.packet(owner.Token), start.Add(3*time.Second))
		if d.Verdict != test.verdict || d.Cause != test.cause {
			t.Errorf("%s: got verdict %d for %s, want %d for %s", test.name, d.Verdict, d.Cause, test.verdict, test.cause)
		}
		if d.Verdict == carawaycart.VerdictForward && d.Endpoint != owner.Endpoint {
			t.Errorf("%s: got endpoint %s, want the owner %s", test.name, d.Endpoint, owner.Endpoint)
		}
	}
}

func dataOf(service netip.AddrPort) func(carawaycart.Token) *carawaycart.Packet {
	return func(t carawaycart.Token) *carawaycart.Packet { return request(1, service, t) }
}

func TestDecideDropsWithoutTable(t *testing.T) {
	f := newFleet(1, 1)
	f.restart(0)
	if d := f.routers[0].Decide(first(1, feed), start); d.Verdict != carawaycart.VerdictDrop || d.Cause != carawaycart.CauseNotReady {
		t.Errorf("got verdict %d for %s, want a drop", d.Verdict, d.Cause)
	}
}

func TestFirstPacketsStayInTheZone(t *testing.T) {
	f := newFleet(2, 8)
	for i := range 8 {
		d := mustForward(t, f.routers[0].Decide(first(i, feed), start))
		if d.Zone != "a" {
			t.Errorf("flow %d: got zone %s, want a", i, d.Zone)
		}
	}
}

// Guards against a flow that is split over two endpoints when the network duplicates
// its first packet.
func TestDuplicateFirstPacketKeepsEndpoint(t *testing.T) {
	f := newFleet(1, 4)
	want := f.routers[0].Decide(first(1, feed), start).Endpoint
	if got := f.routers[0].Decide(first(1, feed), start.Add(5*time.Millisecond)).Endpoint; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against sending a resent first packet to the endpoint that did not answer the
// original one.
func TestResentFirstPacketGoesToAnotherEndpoint(t *testing.T) {
	f := newFleet(1, 4)
	unanswered := f.routers[0].Decide(first(1, feed), start).Endpoint
	p := first(1, feed)
	p.Retransmissions = 1
	if got := f.routers[0].Decide(p, start.Add(200*time.Millisecond)).Endpoint; got == unanswered {
		t.Errorf("got %s again, which left the original first packet unanswered", got)
	}
}

// Guards against a hedge to the same endpoint, or for a flow that is already open, and
// against later packets that leave the endpoint whose token they carry.
func TestHedgeUsesAnotherEndpoint(t *testing.T) {
	f := newFleet(1, 4)
	r, k := f.routers[0], key(1, feed)
	original := mustForward(t, r.Decide(first(1, feed), start))
	hedge, ok := r.Hedge(&k, start.Add(30*time.Millisecond))
	if !ok || hedge.Endpoint == original.Endpoint {
		t.Fatalf("got %s, %t, want an endpoint other than %s", hedge.Endpoint, ok, original.Endpoint)
	}
	// The caller acknowledges the endpoint that answered first, here the
	// slower original one.
	d := r.Decide(acknowledgement(1, feed, original.Token), start.Add(35*time.Millisecond))
	if mustForward(t, d); d.Endpoint != original.Endpoint {
		t.Errorf("got %s, want %s, the owner of the token of the packet", d.Endpoint, original.Endpoint)
	}
	if again, ok := r.Hedge(&k, start.Add(60*time.Millisecond)); ok {
		t.Errorf("got an open flow hedged to %s", again.Endpoint)
	}
}

// Guards against a first packet that is sent to the same endpoints again and again while
// none of them answers.
func TestHedgeTriesEachEndpointOnce(t *testing.T) {
	f := newFleet(1, 2)
	r, k := f.routers[0], key(1, feed)
	mustForward(t, r.Decide(first(1, feed), start))
	sent := 1
	for now := start.Add(30 * time.Millisecond); now.Before(start.Add(time.Second)); now = now.Add(30 * time.Millisecond) {
		if _, ok := r.Hedge(&k, now); ok {
			sent++
		}
	}
	if sent != 2 {
		t.Errorf("got the first packet sent to %d endpoints, want 2, the number of endpoints", sent)
	}
}

// makeSilent makes an endpoint silent for router i by two unanswered flows and two
// failed probes.
func makeSilent(t *testing.T, f *fleet, i int, e carawaycart.EndpointID, now time.Time) {
	t.Helper()
	l := f.endpoint(e)
	for _, n := range f.contents.Lifetimes {
		n.Draining = n.ID != e
	}
	f.update(now)
	for n := range 2 {
		k := key(9000+n, feed)
		mustForward(t, f.routers[i].Decide(first(9000+n, feed), now))
		f.routers[i].Hedge(&k, now.Add(30*time.Millisecond))
	}
	if len(f.events[i].probeRequests) == 0 {
		t.Fatal("got no probe requested after two unanswered flows")
	}
	if got := f.routers[i].RecordProbe(l.Key(), steer.ProbeRefused, now.Add(40*time.Millisecond), now.Add(190*time.Millisecond)); !got.Again || got.Silent {
		t.Fatalf("got %+v after one failed probe, want another probe", got)
	}
	if got := f.routers[i].RecordProbe(l.Key(), steer.ProbeRefused, now.Add(290*time.Millisecond), now.Add(440*time.Millisecond)); !got.Silent {
		t.Fatal("got the endpoint not silent after two failed probes")
	}
	for _, n := range f.contents.Lifetimes {
		n.Draining = false
	}
	f.update(now.Add(450 * time.Millisecond))
}

// Guards against resetting the flows of an overloaded endpoint, which is slow to accept
// new flows and fails two probes but answers something between them.
func TestSlowEndpointIsNotSilent(t *testing.T) {
	f := newFleet(1, 1)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	key := f.endpoint(d.Endpoint).Key()
	r.Decide(request(1, feed, d.Token), start.Add(8*time.Millisecond))
	r.RecordProbe(key, steer.ProbeUnanswered, start.Add(100*time.Millisecond), start.Add(250*time.Millisecond))
	r.Decide(answered(1, feed, d.Token), start.Add(300*time.Millisecond))
	if got := r.RecordProbe(key, steer.ProbeUnanswered, start.Add(350*time.Millisecond), start.Add(500*time.Millisecond)); got.Silent {
		t.Error("got the endpoint silent although it answered between two probes")
	}
	p := request(1, feed, d.Token)
	p.Sequence, p.Acknowledged = 1201, 1500
	if got := r.Decide(p, start.Add(600*time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
		t.Errorf("got verdict %d for %s, want the flow to continue", got.Verdict, got.Cause)
	}
}

// Guards against resetting flows to a silent endpoint if their requests must not run more
// than once: a reset does not tell the caller whether the request was run.
func TestSilentEndpointResetsOnlyRepeatableRequests(t *testing.T) {
	for _, test := range []struct {
		name    string
		service netip.AddrPort
		packet  func(int, netip.AddrPort, carawaycart.Token) *carawaycart.Packet
		want    carawaycart.Verdict
	}{
		{"repeatable request", feed, request, carawaycart.VerdictReset},
		{"request that may run once", order, request, carawaycart.VerdictForward},
		{"acknowledgement", feed, acknowledgement, carawaycart.VerdictForward},
	} {
		f := newFleet(1, 4)
		d := mustForward(t, f.routers[0].Decide(first(1, test.service), start))
		f.routers[0].Decide(acknowledgement(1, test.service, d.Token), start.Add(8*time.Millisecond))
		f.routers[0].Decide(test.packet(1, test.service, d.Token), start.Add(time.Second))
		makeSilent(t, f, 0, d.Endpoint, start.Add(time.Second))
		now := start.Add(2 * time.Second)
		if got := f.routers[0].Decide(test.packet(1, test.service, d.Token), now); got.Verdict != test.want {
			t.Errorf("%s: got verdict %d, want %d", test.name, got.Verdict, test.want)
		}
		if got := f.routers[0].Decide(first(2, feed), now); got.Endpoint == d.Endpoint {
			t.Errorf("%s: got a new flow at the silent endpoint", test.name)
		}
		f.routers[0].RecordProbe(f.endpoint(d.Endpoint).Key(), steer.ProbeAnswered, now, now)
		if got := f.routers[0].Decide(request(1, test.service, d.Token), now.Add(time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
			t.Errorf("%s: got verdict %d after the endpoint answered a probe, want it forwarded", test.name, got.Verdict)
		}
	}
}

// Guards against callers that wait for their timeouts when no endpoint can be reached,
// as in a zone that is out and partitioned from the others. Their flows are to be reset
// immediately.
func TestNewFlowsAreResetWhenAllEndpointsAreSilent(t *testing.T) {
	f := newFleet(1, 2)
	for _, id := range []carawaycart.EndpointID{"i-01", "i-02"} {
		makeSilent(t, f, 0, id, start)
	}
	now := start.Add(time.Second)
	if d := f.routers[0].Decide(first(1, order), now); d.Verdict != carawaycart.VerdictReset || d.Cause != carawaycart.CauseSilent {
		t.Errorf("got verdict %d for %s, want a reset for silent", d.Verdict, d.Cause)
	}
	f.routers[0].RecordProbe(f.endpoint("i-02").Key(), steer.ProbeAnswered, now, now)
	if d := f.routers[0].Decide(first(2, order), now); d.Endpoint != "i-02" {
		t.Errorf("got %q, want i-02, which answered a probe", d.Endpoint)
	}
}

// Guards against treating an endpoint with a full queue as silent: it does not accept new
// flows and fails a probe, but still answers on the flows that it has.
func TestEndpointWithFullQueueIsNotSilent(t *testing.T) {
	f := newFleet(1, 1)
	d := mustForward(t, f.routers[0].Decide(first(1, feed), start))
	f.routers[0].Decide(request(1, feed, d.Token), start.Add(8*time.Millisecond))
	for n := 2; n < 6; n++ {
		k := key(n, feed)
		f.routers[0].Decide(first(n, feed), start.Add(20*time.Millisecond))
		f.routers[0].Hedge(&k, start.Add(60*time.Millisecond))
	}
	f.routers[0].Decide(answered(1, feed, d.Token), start.Add(100*time.Millisecond))
	f.routers[0].RecordProbe(f.endpoint(d.Endpoint).Key(), steer.ProbeUnanswered, start.Add(70*time.Millisecond), start.Add(220*time.Millisecond))
	if got := f.routers[0].Decide(request(1, feed, d.Token), start.Add(300*time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
		t.Errorf("got verdict %d for %s, want the flow to continue: an answer arrived after the probe began", got.Verdict, got.Cause)
	}
}

// Guards against an endpoint that is avoided too briefly, or forever, after it left one
// first packet unanswered.
func TestAvoidedEndpointIsRetried(t *testing.T) {
	f := newFleet(1, 2)
	r, k := f.routers[0], key(1, feed)
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Hedge(&k, start.Add(30*time.Millisecond))
	returned := 0
	for n := range 200 {
		now := start.Add(40*time.Millisecond + time.Duration(n)*10*time.Millisecond)
		got := mustForward(t, r.Decide(first(10+n, feed), now))
		if got.Endpoint == d.Endpoint {
			returned++
			if now.Before(start.Add(500 * time.Millisecond)) {
				t.Fatalf("got a flow at the avoided endpoint after %v", now.Sub(start))
			}
		}
		r.Decide(acknowledgement(10+n, feed, got.Token), now.Add(8*time.Millisecond))
	}
	if returned == 0 {
		t.Error("got no flow at the endpoint that left one first packet unanswered, want it used again")
	}
}

func BenchmarkDecideToken(b *testing.B) {
	f := newFleet(2, 14)
	d := f.routers[0].Decide(first(1, feed), start)
	for _, test := range []struct {
		name  string
		token carawaycart.Token
	}{{"open", f.lifetimeToken(d.Endpoint)}, {"provisional", d.Token}} {
		b.Run(test.name, func(b *testing.B) {
			p := acknowledgement(1, feed, test.token)
			b.ReportAllocs()
			for b.Loop() {
				f.routers[1].Decide(p, start)
			}
		})
	}
}

func BenchmarkDecideFirst(b *testing.B) {
	for _, endpoints := range []int{14, 120} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			f := newFleet(2, endpoints)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				f.routers[0].Decide(first(n, feed), start.Add(time.Duration(n)*time.Millisecond))
			}
		})
	}
}

// Guards against an instance that does not notice that it reaches no endpoint, because its
// zone is out and partitioned from the endpoints of all other zones.
func TestReachable(t *testing.T) {
	f := newFleet(1, 4) // i-01 and i-03 in zone a
	r := f.routers[0]
	failProbes := func(id carawaycart.EndpointID) {
		for range 2 {
			r.RecordProbe(f.endpoint(id).Key(), steer.ProbeUnanswered, start, start.Add(time.Second))
		}
	}
	failProbes("i-02")
	failProbes("i-04")
	if !r.Reachable(start.Add(time.Second)) {
		t.Error("got no endpoint reachable while those of zone a are")
	}
	f.contents.ZonesOut = []carawaycart.ZoneID{"a"}
	f.update(start)
	if r.Reachable(start.Add(time.Second)) {
		t.Error("got an endpoint reachable, want none: zone a is out, the others are silent")
	}
	r.RecordProbe(f.endpoint("i-04").Key(), steer.ProbeAnswered, start, start.Add(2*time.Second))
	if !r.Reachable(start.Add(time.Second)) {
		t.Error("got no endpoint reachable after one has answered")
	}
}

// Guards against refusals when half of the endpoints become silent with requests
// outstanding. The others have no more load than before, so there is no overload.
func TestSilentEndpointsCauseNoOverload(t *testing.T) {
	const (
		flows  = 40
		period = 250 * time.Millisecond // time between the requests of a flow
		tick   = 10 * time.Millisecond
	)
	f := newFleet(1, 4)
	r := f.routers[0]
	silent := func(e carawaycart.EndpointID) bool { return e == "i-01" || e == "i-03" }
	type openFlow struct {
		packet   *carawaycart.Packet
		endpoint carawaycart.EndpointID
		answerAt time.Time // when the answer is acknowledged; zero if none is outstanding
		lastSent time.Time
	}
	var all []*openFlow
	for n := range flows {
		d := mustForward(t, r.Decide(first(n, feed), start))
		r.Decide(acknowledgement(n, feed, d.Token), start.Add(8*time.Millisecond))
		p := request(n, feed, d.Token)
		all = append(all, &openFlow{packet: p, endpoint: d.Endpoint, lastSent: start.Add(time.Duration(n) * period / flows)})
	}
	for at := tick; at < 4*time.Second; at += tick {
		now := start.Add(at)
		for _, o := range all {
			if !o.answerAt.IsZero() && !now.Before(o.answerAt) {
				o.answerAt = time.Time{}
				o.packet.Acknowledged += 1000
				a := *o.packet
				a.Sequence, a.PayloadBytes = a.Sequence+200, 0
				r.Decide(&a, now)
			}
			if now.Sub(o.lastSent) >= period {
				o.lastSent = now
				o.packet.Sequence += 200
				if at < time.Second || !silent(o.endpoint) {
					o.answerAt = now.Add(40 * time.Millisecond)
				}
				r.Decide(o.packet, now)
			}
		}
		r.Decide(first(flows+int(at/tick), feed), now)
	}
	if n := f.events[0].refused[carawaycart.CauseOverload]; n > 0 {
		t.Errorf("got %d new flows refused for overload, want none", n)
	}
}

// A route was added, a flow opened through an instance that knows it, and the next packets
// reach an instance that has not read the new configuration yet. Guards against resetting
// the flow; a flow of a route that was removed is still reset.
func TestFlowOfRouteAddedElsewhereIsNotReset(t *testing.T) {
	f := newFleet(2, 2)
	added := netip.MustParseAddrPort("198.18.0.1:9443")
	old := f.contents.Config
	config := *old
	config.Version++
	config.Routes = append(config.Routes[:len(config.Routes):len(config.Routes)], carawaycart.Route{
		Address: added, Kind: carawaycart.RequestSafe, Targets: []carawaycart.RouteTarget{{Service: "desk", Weight: 1}},
	})
	f.contents.Config = &config
	f.setTable(0, f.contents.Instances, start)
	d := mustForward(t, f.routers[0].Decide(first(1, added), start))
	f.routers[0].Decide(acknowledgement(1, added, d.Token), start.Add(8*time.Millisecond))
	if got := f.routers[1].Decide(request(1, added, d.Token), start.Add(100*time.Millisecond)); got.Verdict == carawaycart.VerdictReset {
		t.Errorf("got the open flow reset for %s by an instance with an older configuration", got.Cause)
	}
	f.contents.Config = old
	f.setTable(0, f.contents.Instances, start.Add(time.Second))
	if got := f.routers[0].Decide(request(1, added, d.Token), start.Add(time.Second)); got.Verdict != carawaycart.VerdictReset {
		t.Errorf("got verdict %d for %s after the route was removed, want a reset", got.Verdict, got.Cause)
	}
}
