package member_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycart"
	"carawaycart/core/member"
	"carawaycart/internal/rendezvous"
)

var start = time.Unix(1000, 0)

// memberOf returns an instance whose zone is "z" and the first letter of id.
func memberOf(id string, incarnation int, state carawaycart.MemberState) carawaycart.Member {
	return carawaycart.Member{
		ID: carawaycart.InstanceID(id), Zone: carawaycart.ZoneID("z" + id[:1]),
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: carawaycart.Incarnation(incarnation), State: state,
	}
}

// stateOf returns the state of instance id, or a value beyond all states if t does
// not contain it.
func stateOf(t *member.Table, id string) carawaycart.MemberState {
	for _, m := range t.Members() {
		if m.ID == carawaycart.InstanceID(id) {
			return m.State
		}
	}
	return carawaycart.MemberDead + 1
}

// A suspect must not be declared dead before its deadline, nor if it refutes the
// suspicion, and must not remain suspect for longer.
func TestSuspectDiesUnlessRefuted(t *testing.T) {
	for _, test := range []struct {
		name   string
		refute bool
		after  time.Duration
		want   carawaycart.MemberState
	}{
		{"not refuted, before the deadline", false, time.Second, carawaycart.MemberSuspect},
		{"not refuted, after the deadline", false, 2 * time.Second, carawaycart.MemberDead},
		{"refuted", true, 2 * time.Second, carawaycart.MemberReady},
	} {
		table := member.NewTable(memberOf("a1", 1, carawaycart.MemberReady))
		table.Merge(memberOf("b1", 1, carawaycart.MemberReady), start)
		table.MarkSuspect("b1", start)
		if test.refute {
			table.Merge(memberOf("b1", 2, carawaycart.MemberReady), start)
		}
		table.Tick(start.Add(test.after))
		if got := stateOf(table, "b1"); got != test.want {
			t.Errorf("%s: got state %s, want %s", test.name, got, test.want)
		}
	}
}

// An instance that its peers declare dead although it runs must refute this and tell
// its peers, or it would remain excluded.
func TestMergeRefutesOwnDeath(t *testing.T) {
	table := member.NewTable(memberOf("a1", 5, carawaycart.MemberReady))
	table.PopUpdates()
	table.Merge(memberOf("a1", 5, carawaycart.MemberDead), start)
	self := table.Self()
	if self.State != carawaycart.MemberReady || self.Incarnation <= 5 {
		t.Errorf("got state %s in incarnation %d, want ready in one after 5", self.State, self.Incarnation)
	}
	if updates := table.PopUpdates(); len(updates) != 1 || updates[0].ID != "a1" {
		t.Errorf("got queued updates %v, want the refutation", updates)
	}
}

func TestMergeIgnoresOldUpdates(t *testing.T) {
	table := member.NewTable(memberOf("a1", 1, carawaycart.MemberReady))
	table.Merge(memberOf("b1", 7, carawaycart.MemberReady), start)
	for _, old := range []carawaycart.Member{
		memberOf("b1", 6, carawaycart.MemberDead), memberOf("b1", 7, carawaycart.MemberJoining),
	} {
		if table.Merge(old, start) {
			t.Errorf("update %s in incarnation %d changed the table", old.State, old.Incarnation)
		}
	}
}

// Tables that merge the same updates in any order must have equal digests.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []carawaycart.Member
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			id := rapid.SampledFrom([]string{"b1", "b2", "c1"}).Draw(t, "id")
			state := rapid.IntRange(int(carawaycart.MemberJoining), int(carawaycart.MemberDead)).Draw(t, "state")
			all = append(all, memberOf(id, rapid.IntRange(1, 3).Draw(t, "incarnation"), carawaycart.MemberState(state)))
		}
		x := member.NewTable(memberOf("a1", 1, carawaycart.MemberReady))
		y := member.NewTable(memberOf("a1", 1, carawaycart.MemberReady))
		for _, m := range all {
			x.Merge(m, start)
		}
		for _, m := range rapid.Permutation(all).Draw(t, "order") {
			y.Merge(m, start)
		}
		if x.Digest() != y.Digest() {
			t.Fatalf("got members %v and %v with different digests, want equal ones", x.Members(), y.Members())
		}
	})
}

func fullDuty(carawaycart.ZoneID) member.Eligibility { return member.KeeperEligible }

// twelveMembers returns three ready instances in each of four zones, za to zd.
func twelveMembers() []carawaycart.Member {
	var all []carawaycart.Member
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3", "d1", "d2", "d3"} {
		all = append(all, memberOf(id, 1, carawaycart.MemberReady))
	}
	return all
}

// When the keeper or its whole zone is lost, the next keeper must have held the
// state before.
func TestNextKeeperIsHolder(t *testing.T) {
	all := twelveMembers()
	before := member.NewView(all, fullDuty)
	for k := range rendezvous.Key(2000) {
		h := before.Holders(k)
		for _, lost := range []func(carawaycart.Member) bool{
			func(m carawaycart.Member) bool { return m.ID == h.Keeper },
			func(m carawaycart.Member) bool { return m.Zone == carawaycart.ZoneID("z"+h.Keeper[:1]) },
		} {
			var rest []carawaycart.Member
			for _, m := range all {
				if !lost(m) {
					rest = append(rest, m)
				}
			}
			next := member.NewView(rest, fullDuty).Holders(k).Keeper
			if !h.Contains(next) {
				t.Fatalf("key %d: keeper %s is followed by %s, which did not hold the state", k, h.Keeper, next)
			}
		}
	}
}

// An instance that becomes keeper when it is ready must have been a replica while
// it was joining, or it would decide without the state.
func TestJoiningInstanceIsReplicaBeforeKeeper(t *testing.T) {
	all := twelveMembers()
	joining := memberOf("b9", 1, carawaycart.MemberJoining)
	ready := memberOf("b9", 1, carawaycart.MemberReady)
	before := member.NewView(append(all, joining), fullDuty)
	after := member.NewView(append(all, ready), fullDuty)
	becameKeeper := 0
	for k := range rendezvous.Key(2000) {
		h := before.Holders(k)
		if h.Keeper == "b9" {
			t.Fatalf("key %d: a joining instance is keeper", k)
		}
		if after.Holders(k).Keeper == "b9" {
			becameKeeper++
			if !h.Contains("b9") {
				t.Fatalf("key %d: b9 becomes keeper without having held the state", k)
			}
		}
	}
	if becameKeeper == 0 {
		t.Error("the instance that joined became keeper of no key")
	}
}

// Instances of zones that are out must not be holders, and those of zones that
// returned to service not yet keepers, unless no instance could then be keeper.
func TestEligibility(t *testing.T) {
	eligible := func(d member.Eligibility) func(carawaycart.ZoneID) member.Eligibility {
		return func(z carawaycart.ZoneID) member.Eligibility {
			if z == "za" {
				return d
			}
			return member.KeeperEligible
		}
	}
	for _, test := range []struct {
		name              string
		eligibility       func(carawaycart.ZoneID) member.Eligibility
		candidates, total int
	}{
		{"zone in service", eligible(member.KeeperEligible), 12, 12},
		{"zone returned to service", eligible(member.ReplicaEligible), 9, 12},
		{"zone out", eligible(member.Ineligible), 9, 9},
		{"all zones out", func(carawaycart.ZoneID) member.Eligibility { return member.Ineligible }, 12, 12},
	} {
		v := member.NewView(twelveMembers(), test.eligibility)
		if len(v.KeeperCandidates()) != test.candidates || v.Len() != test.total {
			t.Errorf("%s: got %d of %d instances that can be keeper, want %d of %d", test.name, len(v.KeeperCandidates()), v.Len(), test.candidates, test.total)
		}
	}
}

// Updates are disseminated along the probes, so the neighbour relation must
// connect every instance.
func TestNeighboursConnectTheFleet(t *testing.T) {
	v := member.NewView(twelveMembers(), fullDuty)
	reached := map[carawaycart.InstanceID]bool{"a1": true}
	for queue := []carawaycart.InstanceID{"a1"}; len(queue) > 0; queue = queue[1:] {
		id := queue[0]
		neighbours := v.Neighbours(nil, id, carawaycart.ZoneID("z"+id[:1]))
		if len(neighbours) > 5 {
			t.Errorf("%s: got %d neighbours, want at most 5", id, len(neighbours))
		}
		for _, n := range neighbours {
			if !reached[n.ID] {
				reached[n.ID] = true
				queue = append(queue, n.ID)
			}
		}
	}
	if len(reached) != 12 {
		t.Errorf("got %d instances reached, want 12", len(reached))
	}
}

// Holders that HoldersUnchanged reports as unchanged must equal those of the new
// view, whichever instances join, leave or change.
func TestHoldersUnchangedIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []carawaycart.MemberState{carawaycart.MemberReady, carawaycart.MemberJoining, carawaycart.MemberDead}
		draw := func(label string) *member.View {
			var all []carawaycart.Member
			for _, m := range twelveMembers() {
				m.State = rapid.SampledFrom(states).Draw(t, label)
				all = append(all, m)
			}
			return member.NewView(all, fullDuty)
		}
		before, after := draw("before"), draw("after")
		after.SetPrevious(before)
		for k := range rendezvous.Key(50) {
			old, next := before.Holders(k), after.Holders(k)
			if !after.HoldersUnchanged(before, &old, k) {
				continue
			}
			if old.Keeper != next.Keeper || old.Replicas != next.Replicas {
				t.Fatalf("key %d: got holders %v reported as unchanged, want %v", k, old, next)
			}
		}
	})
}

// If HoldersUnchanged failed for keys that a change of the fleet does not affect,
// each change would compute the holders of all objects again.
func TestHoldersUnchangedCoversMostKeys(t *testing.T) {
	all := twelveMembers()
	before := member.NewView(all, fullDuty)
	after := member.NewView(all[:len(all)-1], fullDuty)
	after.SetPrevious(before)
	unchanged := 0
	for k := range rendezvous.Key(1000) {
		if h := before.Holders(k); after.HoldersUnchanged(before, &h, k) {
			unchanged++
		}
	}
	if unchanged < 600 {
		t.Errorf("got %d of 1000 keys unchanged when one of 12 instances leaves, want at least 600", unchanged)
	}
}

// Guards against an update that lowers the configuration revision of an instance: the
// configuration never reverts, so peers would take it for one that lags behind.
func TestMergeNeverLowersRevision(t *testing.T) {
	table := member.NewTable(carawaycart.Member{ID: "self"})
	now := time.Unix(1000, 0)
	table.Merge(carawaycart.Member{ID: "a", Incarnation: 1, Revision: 9}, now)
	table.Merge(carawaycart.Member{ID: "a", Incarnation: 2, Revision: 4}, now)
	for _, m := range table.Members() {
		if m.ID == "a" && (m.Incarnation != 2 || m.Revision != 9) {
			t.Errorf("got %+v, want incarnation 2 at revision 9", m)
		}
	}
}
