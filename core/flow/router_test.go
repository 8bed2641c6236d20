package flow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/core/flow"
	"carawaycart/core/limit"
	"carawaycart/internal/configtest"
)

var (
	start   = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("192.0.2.1:443")
)

// fixture is a set of instances that share one configuration history.
type fixture struct {
	config  *config.Configuration
	members []carawaycart.Member
	boards  map[carawaycart.InstanceID]*board.Board
	records map[carawaycart.InstanceID]*flow.Records
	routers map[carawaycart.InstanceID]*flow.Router
}

// newFixture returns instances in two zones before a service with the given
// number of endpoints, all clean and open.
func newFixture(tb testing.TB, instances, endpoints int) *fixture {
	tb.Helper()
	f := &fixture{
		config:  config.New(),
		boards:  make(map[carawaycart.InstanceID]*board.Board),
		records: make(map[carawaycart.InstanceID]*flow.Records),
		routers: make(map[carawaycart.InstanceID]*flow.Router),
	}
	zones := []carawaycart.ZoneID{"a", "b"}
	for _, z := range zones {
		f.change(tb, carawaycart.KindZone, string(z), carawaycart.Zone{ID: z})
	}
	f.change(tb, carawaycart.KindService, "desk", carawaycart.Service{ID: "desk", Address: address, Profile: "swift"})
	for i := range endpoints {
		id := carawaycart.EndpointID(fmt.Sprintf("e%02d", i))
		f.change(tb, carawaycart.KindEndpoint, string(id), carawaycart.Endpoint{
			ID: id, Service: "desk", Zone: zones[i%2], FlowAddress: netip.MustParseAddrPort("127.0.0.1:1"), Flows: 1000, Slots: 2,
		})
	}
	f.settle(tb)
	for i := range instances {
		id := carawaycart.InstanceID(fmt.Sprintf("i%02d", i))
		f.members = append(f.members, carawaycart.Member{
			ID: id, Zone: zones[i%2], PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), State: carawaycart.MemberReady,
		})
		f.boards[id] = board.New(id)
		f.records[id] = flow.NewRecords()
		f.routers[id] = flow.NewRouter(f.boards[id], f.records[id])
	}
	for id := range f.boards {
		f.boards[id].SetMembers(f.members)
		f.arrive(id, start)
	}
	f.open(start)
	return f
}

func (f *fixture) change(tb testing.TB, kind carawaycart.ObjectKind, name string, object any) {
	tb.Helper()
	f.config = configtest.Put(tb, f.config, kind, name, object)
}

// settle makes every slot clean.
func (f *fixture) settle(tb testing.TB) {
	t := f.config.Slots["desk"]
	var s config.Settlement
	for i := range t.Base {
		if t.Base[i] != t.Current[i] {
			s.Moves = append(s.Moves, config.Move{
				Base: t.Members[t.Base[i]], Current: t.Members[t.Current[i]], Slots: []carawaycart.SlotIndex{carawaycart.SlotIndex(i)},
			})
		}
	}
	f.change(tb, carawaycart.KindSettle, "desk", s)
}

// leave marks endpoint id as leaving; the instances do not know yet.
func (f *fixture) leave(tb testing.TB, id carawaycart.EndpointID) {
	e := f.config.Endpoints[id]
	e.Mark = carawaycart.MarkLeaving
	f.change(tb, carawaycart.KindEndpoint, string(id), e)
}

// arrive lets instance id learn the latest configuration at now.
func (f *fixture) arrive(id carawaycart.InstanceID, now time.Time) {
	f.boards[id].SetConfig(f.config, now)
	f.boards[id].StayAwake(now.Add(time.Hour))
}

// open opens the gates of all keepers, with warm endpoints.
func (f *fixture) open(now time.Time) {
	for id, b := range f.boards {
		for e := range f.config.Endpoints {
			entry := b.Entry(e)
			if entry.Holders(b.Members()).Keeper != id {
				continue
			}
			g := limit.NewGate(*entry.Endpoint(), f.config.Profiles["swift"], carawaycart.EndpointStatus{}, now.Add(-time.Hour))
			g.Observe(carawaycart.Report{}, now.Add(-time.Hour))
			entry.OpenGate(g, now)
		}
	}
	f.status(carawaycart.EndpointOpen, false)
}

// status lets all instances know one status of all endpoints.
func (f *fixture) status(state carawaycart.EndpointState, guarded bool) {
	for _, b := range f.boards {
		for e := range f.config.Endpoints {
			b.Entry(e).State("any", state, guarded)
		}
	}
}

// send passes a packet from the fabric to instance id, follows a relay, and
// copies a new record to the replicas.
func (f *fixture) send(id carawaycart.InstanceID, p carawaycart.Packet, now time.Time) carawaycart.Decision {
	d := f.routers[id].Decide(&p, now)
	if d.Verdict == carawaycart.VerdictRelay {
		id = d.Instance
		p.Relayed = true
		d = f.routers[id].Decide(&p, now)
	}
	if d.Record {
		f.replicate(id, &p, now)
	}
	return d
}

func (f *fixture) replicate(id carawaycart.InstanceID, p *carawaycart.Packet, now time.Time) {
	record, _ := f.records[id].Get(p.Key.Fingerprint())
	route := f.boards[id].View().Service(address)
	current := route.Active.Slot(route.Active.Index(p.Key.Fingerprint())).Current
	h := current.Holders(f.boards[id].Members())
	for _, r := range h.Replicas[:h.Count] {
		f.records[r].Put(record, now)
	}
}

// kill makes every instance forget id.
func (f *fixture) kill(id carawaycart.InstanceID) {
	delete(f.boards, id)
	var rest []carawaycart.Member
	for _, m := range f.members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	f.members = rest
	for _, b := range f.boards {
		b.SetMembers(rest)
	}
}

func (f *fixture) any(i int) carawaycart.InstanceID { return f.members[i%len(f.members)].ID }

func packet(i int, kind carawaycart.PacketKind) carawaycart.Packet {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i / 50000)}), uint16(10000+i%50000))
	return carawaycart.Packet{Key: carawaycart.FlowKey{Caller: caller, Service: address, Protocol: carawaycart.TCP}, Kind: kind}
}

// openFlows opens flows through all instances and returns their owners.
func (f *fixture) openFlows(t *testing.T, n int, now time.Time) []carawaycart.EndpointID {
	t.Helper()
	owners := make([]carawaycart.EndpointID, n)
	for i := range owners {
		d := f.send(f.any(i), packet(i, carawaycart.PacketFirst), now)
		if d.Verdict != carawaycart.VerdictForward {
			t.Fatalf("flow %d: got verdict %d with cause %s, want it forwarded", i, d.Verdict, d.Cause)
		}
		owners[i] = d.Endpoint
	}
	return owners
}

// check sends a packet of each flow through every instance.
func (f *fixture) check(t *testing.T, when string, owners []carawaycart.EndpointID, now time.Time) {
	t.Helper()
	for i, want := range owners {
		for id := range f.boards {
			d := f.send(id, packet(i, carawaycart.PacketMiddle), now)
			if d.Verdict == carawaycart.VerdictForward && d.Endpoint != want {
				t.Fatalf("%s: flow %d through %s: got %s, want its owner %s", when, i, id, d.Endpoint, want)
			}
			if d.Verdict != carawaycart.VerdictForward {
				t.Fatalf("%s: flow %d through %s: dropped for %s", when, i, id, d.Cause)
			}
		}
	}
}

func TestCleanSlotsNeedNoRecords(t *testing.T) {
	f := newFixture(t, 8, 14)
	f.check(t, "steady", f.openFlows(t, 500, start), start)
	for id, r := range f.records {
		if r.Len() != 0 {
			t.Errorf("%s: got %d records, want none", id, r.Len())
		}
	}
}

func TestDrainKeepsFlows(t *testing.T) {
	f := newFixture(t, 8, 14)
	owners := f.openFlows(t, 500, start)
	f.leave(t, "e03")
	ids := make([]carawaycart.InstanceID, 0, len(f.boards))
	for id := range f.boards {
		ids = append(ids, id)
	}
	for i, id := range ids { // the change arrives unevenly
		f.arrive(id, start.Add(time.Duration(i)*100*time.Millisecond))
		f.check(t, "while the change spreads", owners, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	for at := time.Second; at < 4*time.Second; at += 250 * time.Millisecond {
		for _, b := range f.boards {
			b.Tick(start.Add(at))
		}
		f.check(t, "after "+at.String(), owners, start.Add(at))
	}
	now := start.Add(5 * time.Second)
	for i := range 500 {
		d := f.send(f.any(i), packet(10000+i, carawaycart.PacketFirst), now)
		if d.Endpoint == "e03" {
			t.Fatalf("new flow %d went to the leaving endpoint", i)
		}
	}
	f.check(t, "after new flows", owners, now)
}

// All endpoints of a service may leave at once, before their successors exist.
func TestLeavingOfAllEndpointsKeepsFlows(t *testing.T) {
	f := newFixture(t, 4, 3)
	owners := f.openFlows(t, 200, start)
	for _, id := range []carawaycart.EndpointID{"e00", "e01", "e02"} {
		f.leave(t, id)
	}
	for id := range f.boards {
		f.arrive(id, start)
	}
	for at := time.Duration(0); at <= 4*time.Second; at += 500 * time.Millisecond {
		for _, b := range f.boards {
			b.Tick(start.Add(at))
		}
		f.check(t, "after "+at.String(), owners, start.Add(at))
	}
	d := f.send("i00", packet(999, carawaycart.PacketFirst), start.Add(5*time.Second))
	if d.Verdict != carawaycart.VerdictDrop {
		t.Errorf("a new flow went to %s, which is leaving", d.Endpoint)
	}
}

func TestKeeperDeathKeepsRecordedFlows(t *testing.T) {
	f := newFixture(t, 8, 14)
	f.leave(t, "e03")
	for id := range f.boards {
		f.arrive(id, start)
	}
	now := start.Add(5 * time.Second)
	for _, b := range f.boards {
		b.Tick(now)
	}
	owners := f.openFlows(t, 500, now)
	recorded := 0
	for _, r := range f.records {
		recorded += r.Len()
	}
	if recorded == 0 {
		t.Fatal("no flow was recorded, so the test shows nothing")
	}
	f.kill("i02")
	f.check(t, "after the death", owners, now)
}

func TestFirstPacketIsDroppedWhereItCouldGoAstray(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*fixture, *testing.T)
		want    carawaycart.Cause
	}{
		{"no configuration", func(f *fixture, _ *testing.T) { f.boards["i00"], f.routers["i00"] = empty() }, carawaycart.CauseNotReady},
		{"nobody ready", func(f *fixture, _ *testing.T) { f.boards["i00"].SetMembers(nil) }, carawaycart.CauseNoKeeper},
		{"paused", func(f *fixture, _ *testing.T) {
			for _, b := range f.boards {
				b.StayAwake(start)
			}
		}, carawaycart.CauseNotReady},
		{"endpoint full, guard not known yet", func(f *fixture, _ *testing.T) {
			for _, b := range f.boards {
				b.Entries(func(e *board.Entry) {
					if g := e.Gate(); g != nil {
						g.Observe(carawaycart.Report{Shedding: true}, start)
						g.Guard(false, start)
					}
				})
			}
		}, carawaycart.CauseSpreading},
	} {
		f := newFixture(t, 4, 4)
		test.prepare(f, t)
		d := f.send("i00", packet(1, carawaycart.PacketFirst), start)
		if d.Verdict != carawaycart.VerdictDrop || d.Cause != test.want {
			t.Errorf("%s: got verdict %d with cause %s, want a drop for %s", test.name, d.Verdict, d.Cause, test.want)
		}
	}
}

// A paused instance may have missed that a slot is no longer clean.
func TestPausedInstanceForwardsNothing(t *testing.T) {
	f := newFixture(t, 4, 4)
	f.boards["i00"].StayAwake(start)
	for i := range 100 {
		p := packet(i, carawaycart.PacketMiddle)
		if d := f.routers["i00"].Decide(&p, start); d.Verdict != carawaycart.VerdictDrop || d.Cause != carawaycart.CauseNotReady {
			t.Fatalf("packet %d: got verdict %d with cause %s, want a drop for notReady", i, d.Verdict, d.Cause)
		}
	}
}

func empty() (*board.Board, *flow.Router) {
	b := board.New("i00")
	return b, flow.NewRouter(b, flow.NewRecords())
}

func TestUnknownServiceIsNeverGuessed(t *testing.T) {
	f := newFixture(t, 4, 4)
	p := packet(1, carawaycart.PacketMiddle)
	p.Key.Service = netip.MustParseAddrPort("192.0.2.9:443")
	if d := f.send("i00", p, start); d.Cause != carawaycart.CauseUnknownService {
		t.Errorf("got verdict %d with cause %s, want a drop for unknownService", d.Verdict, d.Cause)
	}
}

func TestRelayedPacketIsNotRelayedAgain(t *testing.T) {
	f := newFixture(t, 8, 14)
	f.status(carawaycart.EndpointOpen, true)
	for i := range 200 {
		for _, kind := range []carawaycart.PacketKind{carawaycart.PacketFirst, carawaycart.PacketMiddle} {
			p := packet(i, kind)
			p.Relayed = true
			if d := f.routers["i00"].Decide(&p, start); d.Verdict == carawaycart.VerdictRelay {
				t.Fatalf("packet %d of kind %d was relayed a second time", i, kind)
			}
		}
	}
}

func TestSpilledFlowsKeepTheirOwner(t *testing.T) {
	f := newFixture(t, 8, 14)
	var cold carawaycart.EndpointID = "e05"
	for _, b := range f.boards {
		if g := b.Entry(cold).Gate(); g != nil {
			g.Observe(carawaycart.Report{Cold: true}, start)
			g.Guard(false, start)
		}
		b.Entry(cold).State("keeper", carawaycart.EndpointCold, true)
	}
	now := start.Add(2 * time.Second)
	owners := f.openFlows(t, 3000, now)
	n := 0
	for _, o := range owners {
		if o == cold {
			n++
		}
	}
	if limit := f.config.Profiles["swift"].ColdFlows; n != limit {
		t.Errorf("got %d flows on the cold endpoint, want its limit of %d", n, limit)
	}
	f.check(t, "after the spill", owners, now)
	f.kill("i01")
	f.check(t, "after a death", owners, now)
}

// A record of an endpoint whose zone went out must not come back with the zone.
func TestRecordOfAZoneTakenOutIsForgotten(t *testing.T) {
	r := flow.NewRecords()
	r.Put(carawaycart.FlowRecord{Service: "desk", Fingerprint: 1, Endpoint: "e01"}, start)
	r.Owner(1, start, true) // the flow ended, its record lingers
	r.Put(carawaycart.FlowRecord{Service: "desk", Fingerprint: 2, Endpoint: "e01"}, start)
	r.Expire(nil, start, func(*carawaycart.FlowRecord) flow.Retention { return flow.Retention{} })
	if n := r.Len(); n != 0 {
		t.Errorf("got %d records, want none", n)
	}
}

func TestRetention(t *testing.T) {
	for _, test := range []struct {
		name      string
		retention flow.Retention
		after     time.Duration
		want      int
	}{
		{"before the idle limit", flow.Retention{Idle: time.Minute}, 59 * time.Second, 1},
		{"after the idle limit", flow.Retention{Idle: time.Minute}, time.Minute, 0},
		{"replicas see no packets", flow.Retention{Idle: time.Minute, Hold: true}, time.Hour, 1},
		{"keeper since a moment ago", flow.Retention{Idle: time.Minute, Since: start.Add(50 * time.Second)}, time.Minute, 1},
	} {
		r := flow.NewRecords()
		r.Put(carawaycart.FlowRecord{Fingerprint: 1, Endpoint: "e01"}, start)
		r.Expire(nil, start.Add(test.after), func(*carawaycart.FlowRecord) flow.Retention { return test.retention })
		if got := r.Len(); got != test.want {
			t.Errorf("%s: got %d records, want %d", test.name, got, test.want)
		}
	}
}

// Records made on both sides of a partition merge to the same owner.
func TestPutMergesTheSameWayInAnyOrder(t *testing.T) {
	newer := carawaycart.FlowRecord{Fingerprint: 1, Endpoint: "newer", Revision: 8, OpenedUnix: 5}
	early := carawaycart.FlowRecord{Fingerprint: 1, Endpoint: "early", Revision: 7, OpenedUnix: 1}
	late := carawaycart.FlowRecord{Fingerprint: 1, Endpoint: "late", Revision: 7, OpenedUnix: 2}
	for _, test := range []struct {
		records []carawaycart.FlowRecord
		want    carawaycart.EndpointID
	}{
		{[]carawaycart.FlowRecord{early, late}, "early"},
		{[]carawaycart.FlowRecord{late, early}, "early"},
		{[]carawaycart.FlowRecord{newer, early, late}, "newer"},
		{[]carawaycart.FlowRecord{late, newer}, "newer"},
	} {
		r := flow.NewRecords()
		for _, rec := range test.records {
			r.Put(rec, start)
		}
		if got, _ := r.Owner(1, start, false); got != test.want {
			t.Errorf("%v: got %s, want %s", test.records, got, test.want)
		}
	}
}
