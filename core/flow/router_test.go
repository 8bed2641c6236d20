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

// fixture is a set of instances that apply the same sequence of configurations,
// each at its own time. The only service is "desk".
type fixture struct {
	config  *config.Configuration
	members []carawaycart.Member
	boards  map[carawaycart.InstanceID]*board.Board
	records map[carawaycart.InstanceID]*flow.Records
	routers map[carawaycart.InstanceID]*flow.Router
}

// newFixture returns a fixture of the given number of instances in two zones and
// one service with the given number of endpoints. All slots are clean and all
// endpoints open.
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
		f.put(tb, carawaycart.KindZone, string(z), carawaycart.Zone{ID: z})
	}
	f.put(tb, carawaycart.KindService, "desk", carawaycart.Service{ID: "desk", Address: address, Profile: "swift"})
	for i := range endpoints {
		id := carawaycart.EndpointID(fmt.Sprintf("e%02d", i))
		f.put(tb, carawaycart.KindEndpoint, string(id), carawaycart.Endpoint{
			ID: id, Service: "desk", Zone: zones[i%2], FlowAddress: netip.MustParseAddrPort("127.0.0.1:1"), MaxFlows: 1000, RequestSlots: 2,
		})
	}
	f.cleanSlots(tb)
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
		f.applyConfig(id, start)
	}
	f.setLimiters(start)
	return f
}

func (f *fixture) put(tb testing.TB, kind carawaycart.ObjectKind, name string, object any) {
	tb.Helper()
	f.config = configtest.MustPut(tb, f.config, kind, name, object)
}

// cleanSlots replaces the base of every slot by its current endpoint.
func (f *fixture) cleanSlots(tb testing.TB) {
	t := f.config.Slots["desk"]
	var s config.BaseReplacement
	for i := range t.Base {
		if t.Base[i] != t.Current[i] {
			s.Moves = append(s.Moves, config.BaseMove{
				Base: t.Members[t.Base[i]], Current: t.Members[t.Current[i]], Slots: []carawaycart.SlotIndex{carawaycart.SlotIndex(i)},
			})
		}
	}
	f.put(tb, carawaycart.KindSettle, "desk", s)
}

// markLeaving marks endpoint id as leaving. The instances receive the change with
// applyConfig.
func (f *fixture) markLeaving(tb testing.TB, id carawaycart.EndpointID) {
	e := f.config.Endpoints[id]
	e.Mark = carawaycart.MarkLeaving
	f.put(tb, carawaycart.KindEndpoint, string(id), e)
}

// applyConfig applies the latest configuration to instance id at now.
func (f *fixture) applyConfig(id carawaycart.InstanceID, now time.Time) {
	f.boards[id].SetConfig(f.config, now)
	f.boards[id].AllowDecisionsUntil(now.Add(time.Hour))
}

// setLimiters makes each keeper limit its endpoints. All endpoints are past their
// warm-up and open.
func (f *fixture) setLimiters(now time.Time) {
	for id, b := range f.boards {
		for e := range f.config.Endpoints {
			entry := b.Entry(e)
			if entry.Holders(b.Members()).Keeper != id {
				continue
			}
			limiter := limit.NewLimiter(*entry.Endpoint(), f.config.Profiles["swift"], carawaycart.EndpointStatus{}, now.Add(-time.Hour))
			limiter.RecordReport(carawaycart.LoadReport{}, now.Add(-time.Hour))
			entry.SetLimiter(limiter, now)
		}
	}
	f.setStatus(carawaycart.EndpointOpen, false)
}

// setStatus sets the status of all endpoints at all instances.
func (f *fixture) setStatus(state carawaycart.EndpointState, guarded bool) {
	for _, b := range f.boards {
		for e := range f.config.Endpoints {
			b.Entry(e).UpdateStatus("any", state, guarded)
		}
	}
}

// send passes packet p to instance id and, if that relays it, to the next instance.
// It copies a new record to the replicas and returns the last decision.
func (f *fixture) send(id carawaycart.InstanceID, p carawaycart.Packet, now time.Time) carawaycart.Decision {
	d := f.routers[id].Decide(&p, now)
	if d.Verdict == carawaycart.VerdictRelay {
		id = d.Instance
		p.Relayed = true
		d = f.routers[id].Decide(&p, now)
	}
	if d.RecordCreated {
		f.replicate(id, &p, now)
	}
	return d
}

// replicate copies the record of the flow of p from keeper id to the replicas.
func (f *fixture) replicate(id carawaycart.InstanceID, p *carawaycart.Packet, now time.Time) {
	record, _ := f.records[id].Get(p.Key.Fingerprint())
	route := f.boards[id].View().Service(address)
	current := route.Active.Slot(route.Active.Index(p.Key.Fingerprint())).Current
	h := current.Holders(f.boards[id].Members())
	for _, r := range h.Replicas[:h.ReplicaCount] {
		f.records[r].Merge(record, now)
	}
}

// removeInstance removes instance id from the fixture and from the members that
// the other instances know.
func (f *fixture) removeInstance(id carawaycart.InstanceID) {
	delete(f.boards, id)
	var remaining []carawaycart.Member
	for _, m := range f.members {
		if m.ID != id {
			remaining = append(remaining, m)
		}
	}
	f.members = remaining
	for _, b := range f.boards {
		b.SetMembers(remaining)
	}
}

func (f *fixture) instanceID(i int) carawaycart.InstanceID { return f.members[i%len(f.members)].ID }

// packet returns a packet of flow i; each flow has its own caller.
func packet(i int, kind carawaycart.PacketKind) carawaycart.Packet {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i / 50000)}), uint16(10000+i%50000))
	return carawaycart.Packet{Key: carawaycart.FlowKey{Caller: caller, Service: address, Protocol: carawaycart.TCP}, Kind: kind}
}

// openFlows opens n flows, spread over all instances, and returns their owners.
func (f *fixture) openFlows(t *testing.T, n int, now time.Time) []carawaycart.EndpointID {
	t.Helper()
	owners := make([]carawaycart.EndpointID, n)
	for i := range owners {
		d := f.send(f.instanceID(i), packet(i, carawaycart.PacketFirst), now)
		if d.Verdict != carawaycart.VerdictForward {
			t.Fatalf("flow %d: got verdict %d with cause %s, want it forwarded", i, d.Verdict, d.Cause)
		}
		owners[i] = d.Endpoint
	}
	return owners
}

// checkOwners sends a packet of each flow through every instance and fails the
// test unless it is forwarded to the owner of the flow.
func (f *fixture) checkOwners(t *testing.T, when string, owners []carawaycart.EndpointID, now time.Time) {
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

// Guards against memory use in steady state: flows of clean slots must reach their
// owner without any record.
func TestCleanSlotsNeedNoRecords(t *testing.T) {
	f := newFixture(t, 8, 14)
	f.checkOwners(t, "steady", f.openFlows(t, 500, start), start)
	for id, r := range f.records {
		if r.Len() != 0 {
			t.Errorf("%s: got %d records, want none", id, r.Len())
		}
	}
}

// Guards against flows that are forwarded to another endpoint, and new flows on the
// leaving one, while instances apply the mark of a leaving endpoint at different
// times.
func TestDrainKeepsFlows(t *testing.T) {
	f := newFixture(t, 8, 14)
	owners := f.openFlows(t, 500, start)
	f.markLeaving(t, "e03")
	ids := make([]carawaycart.InstanceID, 0, len(f.boards))
	for id := range f.boards {
		ids = append(ids, id)
	}
	for i, id := range ids { // the instances apply the change at different times
		f.applyConfig(id, start.Add(time.Duration(i)*100*time.Millisecond))
		f.checkOwners(t, "while instances apply the change", owners, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	for at := time.Second; at < 4*time.Second; at += 250 * time.Millisecond {
		for _, b := range f.boards {
			b.Tick(start.Add(at))
		}
		f.checkOwners(t, "after "+at.String(), owners, start.Add(at))
	}
	now := start.Add(5 * time.Second)
	for i := range 500 {
		d := f.send(f.instanceID(i), packet(10000+i, carawaycart.PacketFirst), now)
		if d.Endpoint == "e03" {
			t.Fatalf("new flow %d went to the leaving endpoint", i)
		}
	}
	f.checkOwners(t, "after new flows", owners, now)
}

// Guards against loss of flows when all endpoints of a service are marked as
// leaving before any replacement has been added.
func TestDrainOfAllEndpointsKeepsFlows(t *testing.T) {
	f := newFixture(t, 4, 3)
	owners := f.openFlows(t, 200, start)
	for _, id := range []carawaycart.EndpointID{"e00", "e01", "e02"} {
		f.markLeaving(t, id)
	}
	for id := range f.boards {
		f.applyConfig(id, start)
	}
	for at := time.Duration(0); at <= 4*time.Second; at += 500 * time.Millisecond {
		for _, b := range f.boards {
			b.Tick(start.Add(at))
		}
		f.checkOwners(t, "after "+at.String(), owners, start.Add(at))
	}
	d := f.send("i00", packet(999, carawaycart.PacketFirst), start.Add(5*time.Second))
	if d.Verdict != carawaycart.VerdictDrop {
		t.Errorf("a new flow went to %s, which is leaving", d.Endpoint)
	}
}

// Guards against recorded flows that are lost with their keeper: the replica that
// becomes keeper must forward by its copy of the record.
func TestKeeperFailureKeepsRecordedFlows(t *testing.T) {
	f := newFixture(t, 8, 14)
	f.markLeaving(t, "e03")
	for id := range f.boards {
		f.applyConfig(id, start)
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
		t.Fatal("no flow was recorded; the test needs recorded flows")
	}
	f.removeInstance("i02")
	f.checkOwners(t, "after the keeper failed", owners, now)
}

// Guards against flows with two owners: an instance that cannot know the owner must
// drop the first packet instead of choosing one.
func TestFirstPacketIsDroppedWhenOwnerIsUncertain(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*fixture, *testing.T)
		want    carawaycart.Cause
	}{
		{"no configuration", func(f *fixture, _ *testing.T) { f.boards["i00"], f.routers["i00"] = newEmptyRouter() }, carawaycart.CauseNotReady},
		{"no ready member", func(f *fixture, _ *testing.T) { f.boards["i00"].SetMembers(nil) }, carawaycart.CauseNoKeeper},
		{"paused instance", func(f *fixture, _ *testing.T) {
			for _, b := range f.boards {
				b.AllowDecisionsUntil(start)
			}
		}, carawaycart.CauseNotReady},
		{"endpoint full, guard not yet known to all instances", func(f *fixture, _ *testing.T) {
			for _, b := range f.boards {
				b.ForEachEntry(func(e *board.Entry) {
					if limiter := e.Limiter(); limiter != nil {
						limiter.RecordReport(carawaycart.LoadReport{Shedding: true}, start)
						limiter.UpdateGuard(false, start)
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

// Guards against forwarding by an outdated table: an instance that was paused may
// not know that a slot is no longer clean.
func TestPausedInstanceForwardsNothing(t *testing.T) {
	f := newFixture(t, 4, 4)
	f.boards["i00"].AllowDecisionsUntil(start)
	for i := range 100 {
		p := packet(i, carawaycart.PacketMiddle)
		if d := f.routers["i00"].Decide(&p, start); d.Verdict != carawaycart.VerdictDrop || d.Cause != carawaycart.CauseNotReady {
			t.Fatalf("packet %d: got verdict %d with cause %s, want a drop for notReady", i, d.Verdict, d.Cause)
		}
	}
}

func newEmptyRouter() (*board.Board, *flow.Router) {
	b := board.New("i00")
	return b, flow.NewRouter(b, flow.NewRecords())
}

func TestPacketOfUnknownServiceIsDropped(t *testing.T) {
	f := newFixture(t, 4, 4)
	p := packet(1, carawaycart.PacketMiddle)
	p.Key.Service = netip.MustParseAddrPort("192.0.2.9:443")
	if d := f.send("i00", p, start); d.Cause != carawaycart.CauseUnknownService {
		t.Errorf("got verdict %d with cause %s, want a drop for unknownService", d.Verdict, d.Cause)
	}
}

// Guards against relay loops between instances that regard each other as the keeper.
func TestRelayedPacketIsNotRelayedAgain(t *testing.T) {
	f := newFixture(t, 8, 14)
	f.setStatus(carawaycart.EndpointOpen, true)
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

// Guards against packets of flows that were admitted to another endpoint reaching
// the current endpoint of their slot, and against more flows on a cold endpoint
// than its profile allows.
func TestSpilledFlowsKeepTheirOwner(t *testing.T) {
	f := newFixture(t, 8, 14)
	var cold carawaycart.EndpointID = "e05"
	for _, b := range f.boards {
		if limiter := b.Entry(cold).Limiter(); limiter != nil {
			limiter.RecordReport(carawaycart.LoadReport{Cold: true}, start)
			limiter.UpdateGuard(false, start)
		}
		b.Entry(cold).UpdateStatus("keeper", carawaycart.EndpointCold, true)
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
	f.checkOwners(t, "after the spillover", owners, now)
	f.removeInstance("i01")
	f.checkOwners(t, "after an instance failed", owners, now)
}

// Guards against records that are retained after their zone is taken out: once the
// zone is back in service, packets of its earlier flows would be forwarded by them.
func TestRecordsOfZoneTakenOutExpire(t *testing.T) {
	r := flow.NewRecords()
	r.Merge(carawaycart.FlowRecord{Service: "desk", Fingerprint: 1, Endpoint: "e01"}, start)
	r.OwnerForPacket(1, start, true) // the flow has ended, its record is retained for late packets
	r.Merge(carawaycart.FlowRecord{Service: "desk", Fingerprint: 2, Endpoint: "e01"}, start)
	r.Expire(nil, start, func(*carawaycart.FlowRecord) flow.Retention { return flow.Retention{} })
	if n := r.Len(); n != 0 {
		t.Errorf("got %d records, want none", n)
	}
}

// Guards against records of live flows that expire where no packets arrive: at
// replicas, and at a keeper before its takeover.
func TestRetention(t *testing.T) {
	for _, test := range []struct {
		name      string
		retention flow.Retention
		after     time.Duration
		want      int
	}{
		{"before the idle timeout", flow.Retention{IdleTimeout: time.Minute}, 59 * time.Second, 1},
		{"after the idle timeout", flow.Retention{IdleTimeout: time.Minute}, time.Minute, 0},
		{"no idle timeout at replicas, which receive no packets", flow.Retention{IdleTimeout: time.Minute, NoIdleTimeout: true}, time.Hour, 1},
		{"idle time counts from the takeover by a new keeper", flow.Retention{IdleTimeout: time.Minute, IdleSince: start.Add(50 * time.Second)}, time.Minute, 1},
	} {
		r := flow.NewRecords()
		r.Merge(carawaycart.FlowRecord{Fingerprint: 1, Endpoint: "e01"}, start)
		r.Expire(nil, start.Add(test.after), func(*carawaycart.FlowRecord) flow.Retention { return test.retention })
		if got := r.Len(); got != test.want {
			t.Errorf("%s: got %d records, want %d", test.name, got, test.want)
		}
	}
}

// Guards against diverging owners after a partition: records of one flow made on
// both sides must merge to the same owner in any order.
func TestMergeOfRecordsIsOrderIndependent(t *testing.T) {
	newer := carawaycart.FlowRecord{Fingerprint: 1, Endpoint: "newer", Revision: 8, OpenedUnixNano: 5}
	early := carawaycart.FlowRecord{Fingerprint: 1, Endpoint: "early", Revision: 7, OpenedUnixNano: 1}
	late := carawaycart.FlowRecord{Fingerprint: 1, Endpoint: "late", Revision: 7, OpenedUnixNano: 2}
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
			r.Merge(rec, start)
		}
		if got, _ := r.OwnerForPacket(1, start, false); got != test.want {
			t.Errorf("%v: got %s, want %s", test.records, got, test.want)
		}
	}
}
