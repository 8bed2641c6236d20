package steer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/internal/routertest"
)

// tokenFleet is a fleet as routertest.Fleet.
type tokenFleet struct{ *fleet }

func (f tokenFleet) Instances() int { return len(f.routers) }

func (f tokenFleet) First(instance, n int, now time.Time) carawaycart.Decision {
	return f.routers[instance].Decide(first(n, feed), now)
}

func (f tokenFleet) Later(instance, n int, d carawaycart.Decision, now time.Time) carawaycart.Decision {
	return f.routers[instance].Decide(acknowledgement(n, feed, d.Token), now)
}

func (f tokenFleet) Unknown(instance int, now time.Time) carawaycart.Decision {
	return f.routers[instance].Decide(first(1, netip.MustParseAddrPort("198.18.9.9:1")), now)
}

func (f tokenFleet) Drain(e carawaycart.EndpointID, now time.Time) {
	f.endpoint(e).Draining = true
	f.learn(now)
}

func (f tokenFleet) Restart(instance int, now time.Time) {
	f.restart(instance)
	f.learn(now)
}

func TestConformance(t *testing.T) {
	routertest.Run(t, func(_ *testing.T, instances, endpoints int) routertest.Fleet {
		return tokenFleet{newFleet(instances, endpoints)}
	})
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(f *fleet, owner carawaycart.EndpointID)
		packet  func(token carawaycart.Token) *carawaycart.Packet
		verdict carawaycart.Verdict
		cause   carawaycart.Cause
	}{
		{"data of an open flow", func(*fleet, carawaycart.EndpointID) {}, dataOf(feed), carawaycart.VerdictForward, carawaycart.CauseNone},
		{"token that nobody has", func(*fleet, carawaycart.EndpointID) {}, func(t carawaycart.Token) *carawaycart.Packet {
			return request(1, feed, t+1)
		}, carawaycart.VerdictDrop, carawaycart.CauseUnknownToken},
		{
			"owner ended", func(f *fleet, e carawaycart.EndpointID) { f.remove(e) }, dataOf(feed),
			carawaycart.VerdictReset, carawaycart.CauseEnded,
		},
		{"reset to an owner that ended", func(f *fleet, e carawaycart.EndpointID) { f.remove(e) }, func(t carawaycart.Token) *carawaycart.Packet {
			p := acknowledgement(1, feed, t)
			p.Kind, p.Reset = carawaycart.PacketLast, true
			return p
		}, carawaycart.VerdictDrop, carawaycart.CauseEnded},
		{"entry missing after trouble of the store", func(f *fleet, e carawaycart.EndpointID) {
			f.roster.Trouble(start.Add(time.Second))
			f.remove(e)
		}, dataOf(feed), carawaycart.VerdictForward, carawaycart.CauseNone},
		{
			"owner drains", func(f *fleet, e carawaycart.EndpointID) { f.endpoint(e).Draining = true }, dataOf(feed),
			carawaycart.VerdictForward, carawaycart.CauseNone,
		},
		{
			"zone out", func(f *fleet, e carawaycart.EndpointID) {
				f.contents.ZonesOut = []carawaycart.ZoneID{f.endpoint(e).Zone}
			}, dataOf(feed),
			carawaycart.VerdictForward, carawaycart.CauseNone,
		},
		{
			"route dropped", func(f *fleet, _ carawaycart.EndpointID) { f.contents.Config.Routes = f.contents.Config.Routes[1:] }, dataOf(feed),
			carawaycart.VerdictReset, carawaycart.CauseNoRoute,
		},
		{
			"same id started again", func(f *fleet, e carawaycart.EndpointID) { f.endpoint(e).Born++ }, dataOf(feed),
			carawaycart.VerdictReset, carawaycart.CauseEnded,
		},
		{"no endpoint left", func(f *fleet, _ carawaycart.EndpointID) { f.contents.ZonesOut = f.zones }, func(carawaycart.Token) *carawaycart.Packet {
			return first(2, feed)
		}, carawaycart.VerdictReset, carawaycart.CauseNoEndpoint},
	} {
		f := newFleet(2, 4)
		owner := mustForward(t, f.routers[0].Decide(first(1, feed), start))
		test.prepare(f, owner.Endpoint)
		f.learn(start.Add(2 * time.Second))
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

func TestNothingIsDecidedWithoutAView(t *testing.T) {
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

// The network may double a first packet: both must go to one endpoint.
func TestDuplicateOfFirstPacketKeepsItsEndpoint(t *testing.T) {
	f := newFleet(1, 4)
	want := f.routers[0].Decide(first(1, feed), start).Endpoint
	if got := f.routers[0].Decide(first(1, feed), start.Add(5*time.Millisecond)).Endpoint; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestCopyOfFirstPacketGoesElsewhere(t *testing.T) {
	f := newFleet(1, 4)
	silent := f.routers[0].Decide(first(1, feed), start).Endpoint
	p := first(1, feed)
	p.Copy = 1
	if got := f.routers[0].Decide(p, start.Add(200*time.Millisecond)).Endpoint; got == silent {
		t.Errorf("got %s again, which left the first one unanswered", got)
	}
}

func TestHedge(t *testing.T) {
	f := newFleet(1, 4)
	r, k := f.routers[0], key(1, feed)
	one := mustForward(t, r.Decide(first(1, feed), start))
	two, ok := r.Hedge(&k, start.Add(30*time.Millisecond))
	if !ok || two.Endpoint == one.Endpoint {
		t.Fatalf("got %s, %t, want another endpoint than %s", two.Endpoint, ok, one.Endpoint)
	}
	// The caller acknowledges whoever answered first, here the slower one.
	d := r.Decide(acknowledgement(1, feed, one.Token), start.Add(35*time.Millisecond))
	if mustForward(t, d); d.Endpoint != one.Endpoint {
		t.Errorf("got %s, want %s, whose token the packet has", d.Endpoint, one.Endpoint)
	}
	if again, ok := r.Hedge(&k, start.Add(60*time.Millisecond)); ok {
		t.Errorf("got an open flow hedged to %s", again.Endpoint)
	}
}

func TestHedgeEnds(t *testing.T) {
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
		t.Errorf("got the first packet sent to %d endpoints, want 2, all there are", sent)
	}
}

// silence makes an endpoint silent for router i: two flows unanswered, and a
// probe that fails.
func silence(t *testing.T, f *fleet, i int, e carawaycart.EndpointID, now time.Time) {
	t.Helper()
	l := f.endpoint(e)
	for _, n := range f.contents.Lifetimes {
		n.Draining = n.ID != e
	}
	f.learn(now)
	for n := range 2 {
		k := key(9000+n, feed)
		mustForward(t, f.routers[i].Decide(first(9000+n, feed), now))
		f.routers[i].Hedge(&k, now.Add(30*time.Millisecond))
	}
	if len(f.events[i].doubted) == 0 {
		t.Fatal("got no probe asked for after two unanswered flows")
	}
	if again, silent := f.routers[i].Probed(l.Key(), false, now.Add(40*time.Millisecond), now.Add(190*time.Millisecond)); !again || silent {
		t.Fatalf("got again %t, silent %t after one failed probe, want another probe", again, silent)
	}
	if _, silent := f.routers[i].Probed(l.Key(), false, now.Add(290*time.Millisecond), now.Add(440*time.Millisecond)); !silent {
		t.Fatal("got an endpoint that is not silent after two failed probes")
	}
	for _, n := range f.contents.Lifetimes {
		n.Draining = false
	}
	f.learn(now.Add(450 * time.Millisecond))
}

// The load pattern of an overloaded host: slow to take new flows, and between two
// probes it answers something. Its flows must not be reset.
func TestSlowEndpointIsNotSilent(t *testing.T) {
	f := newFleet(1, 1)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	key := f.endpoint(d.Endpoint).Key()
	r.Decide(request(1, feed, d.Token), start.Add(8*time.Millisecond))
	r.Probed(key, false, start.Add(100*time.Millisecond), start.Add(250*time.Millisecond))
	r.Decide(answered(1, feed, d.Token), start.Add(300*time.Millisecond))
	if _, silent := r.Probed(key, false, start.Add(350*time.Millisecond), start.Add(500*time.Millisecond)); silent {
		t.Error("got an endpoint silent that answered between two probes")
	}
	p := request(1, feed, d.Token)
	p.Sequence, p.Acknowledged = 1201, 1500
	if got := r.Decide(p, start.Add(600*time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
		t.Errorf("got verdict %d for %s, want the flow to go on", got.Verdict, got.Cause)
	}
}

// Only requests that may run more than once are reset on an open flow: a reset
// promises nothing there.
func TestSilentEndpoint(t *testing.T) {
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
		silence(t, f, 0, d.Endpoint, start.Add(time.Second))
		now := start.Add(2 * time.Second)
		if got := f.routers[0].Decide(test.packet(1, test.service, d.Token), now); got.Verdict != test.want {
			t.Errorf("%s: got verdict %d, want %d", test.name, got.Verdict, test.want)
		}
		if got := f.routers[0].Decide(first(2, feed), now); got.Endpoint == d.Endpoint {
			t.Errorf("%s: got a new flow at the silent endpoint", test.name)
		}
		f.routers[0].Probed(f.endpoint(d.Endpoint).Key(), true, now, now)
		if got := f.routers[0].Decide(request(1, test.service, d.Token), now.Add(time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
			t.Errorf("%s: got verdict %d after the endpoint answered a probe, want it forwarded", test.name, got.Verdict)
		}
	}
}

// The load pattern of a zone that is out and cut off from the others: nothing can
// be served, so callers are told at once instead of waiting out their time.
func TestNothingIsHeldWhenAllEndpointsAreSilent(t *testing.T) {
	f := newFleet(1, 2)
	for _, id := range []carawaycart.EndpointID{"i-01", "i-02"} {
		silence(t, f, 0, id, start)
	}
	now := start.Add(time.Second)
	if d := f.routers[0].Decide(first(1, order), now); d.Verdict != carawaycart.VerdictReset || d.Cause != carawaycart.CauseSilent {
		t.Errorf("got verdict %d for %s, want a reset for silent", d.Verdict, d.Cause)
	}
	f.routers[0].Probed(f.endpoint("i-02").Key(), true, now, now)
	if d := f.routers[0].Decide(first(2, order), now); d.Endpoint != "i-02" {
		t.Errorf("got %q, want i-02, which answered a probe", d.Endpoint)
	}
}

// An endpoint that is full takes no new flow but answers those that it holds,
// and its probe: it must not be taken for silent.
func TestFullEndpointIsNotSilent(t *testing.T) {
	f := newFleet(1, 1)
	d := mustForward(t, f.routers[0].Decide(first(1, feed), start))
	f.routers[0].Decide(request(1, feed, d.Token), start.Add(8*time.Millisecond))
	for n := 2; n < 6; n++ {
		k := key(n, feed)
		f.routers[0].Decide(first(n, feed), start.Add(20*time.Millisecond))
		f.routers[0].Hedge(&k, start.Add(60*time.Millisecond))
	}
	f.routers[0].Decide(answered(1, feed, d.Token), start.Add(100*time.Millisecond))
	f.routers[0].Probed(f.endpoint(d.Endpoint).Key(), false, start.Add(70*time.Millisecond), start.Add(220*time.Millisecond))
	if got := f.routers[0].Decide(request(1, feed, d.Token), start.Add(300*time.Millisecond)); got.Verdict != carawaycart.VerdictForward {
		t.Errorf("got verdict %d for %s, want the flow to go on: an answer came after the probe began", got.Verdict, got.Cause)
	}
}

func TestAvoidedEndpointIsTriedAgain(t *testing.T) {
	f := newFleet(1, 2)
	r, k := f.routers[0], key(1, feed)
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Hedge(&k, start.Add(30*time.Millisecond))
	seen := 0
	for n := range 200 {
		now := start.Add(40*time.Millisecond + time.Duration(n)*10*time.Millisecond)
		got := mustForward(t, r.Decide(first(10+n, feed), now))
		if got.Endpoint == d.Endpoint {
			seen++
			if now.Before(start.Add(500 * time.Millisecond)) {
				t.Fatalf("got a flow at the avoided endpoint after %v", now.Sub(start))
			}
		}
		r.Decide(acknowledgement(10+n, feed, got.Token), now.Add(8*time.Millisecond))
	}
	if seen == 0 {
		t.Error("got no flow at the endpoint that left one first packet unanswered, want it taken back")
	}
}

func BenchmarkDecideToken(b *testing.B) {
	f := newFleet(2, 14)
	d := f.routers[0].Decide(first(1, feed), start)
	p := acknowledgement(1, feed, d.Token)
	b.ReportAllocs()
	for b.Loop() {
		f.routers[1].Decide(p, start)
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

// The load pattern: a zone is cut off from the endpoints of all others while its
// own are to get nothing.
func TestReachable(t *testing.T) {
	f := newFleet(1, 4) // i-01 and i-03 in zone a
	r := f.routers[0]
	silence := func(id carawaycart.EndpointID) {
		for range 2 {
			r.Probed(f.endpoint(id).Key(), false, start, start.Add(time.Second))
		}
	}
	silence("i-02")
	silence("i-04")
	if !r.Reachable() {
		t.Error("got no endpoint reachable while those of zone a are")
	}
	f.contents.ZonesOut = []carawaycart.ZoneID{"a"}
	f.learn(start)
	if r.Reachable() {
		t.Error("got an endpoint reachable, want none: zone a is out, the others are silent")
	}
	r.Probed(f.endpoint("i-04").Key(), true, start, start.Add(2*time.Second))
	if !r.Reachable() {
		t.Error("got no endpoint reachable after one has answered")
	}
}

// The load pattern: half of the hosts go dark with requests under way. The others
// have no more to do than before, so this is no overload.
func TestDarkEndpointsAreNoOverload(t *testing.T) {
	const (
		flows  = 40
		period = 250 * time.Millisecond // between the requests of a flow
		tick   = 10 * time.Millisecond
	)
	f := newFleet(1, 4)
	r := f.routers[0]
	dark := func(e carawaycart.EndpointID) bool { return e == "i-01" || e == "i-03" }
	type open struct {
		packet    *carawaycart.Packet
		endpoint  carawaycart.EndpointID
		answer    time.Time // when the answer is acknowledged, or zero
		lastAsked time.Time
	}
	var all []*open
	for n := range flows {
		d := mustForward(t, r.Decide(first(n, feed), start))
		r.Decide(acknowledgement(n, feed, d.Token), start.Add(8*time.Millisecond))
		p := request(n, feed, d.Token)
		all = append(all, &open{packet: p, endpoint: d.Endpoint, lastAsked: start.Add(time.Duration(n) * period / flows)})
	}
	for at := tick; at < 4*time.Second; at += tick {
		now := start.Add(at)
		for _, o := range all {
			if !o.answer.IsZero() && !now.Before(o.answer) {
				o.answer = time.Time{}
				o.packet.Acknowledged += 1000
				a := *o.packet
				a.Sequence, a.DataBytes = a.Sequence+200, 0
				r.Decide(&a, now)
			}
			if now.Sub(o.lastAsked) >= period {
				o.lastAsked = now
				o.packet.Sequence += 200
				if at < time.Second || !dark(o.endpoint) {
					o.answer = now.Add(40 * time.Millisecond)
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
