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

func statement(id string, incarnation int, state carawaycart.MemberState) carawaycart.Member {
	return carawaycart.Member{
		ID: carawaycart.InstanceID(id), Zone: carawaycart.ZoneID("z" + id[:1]),
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: carawaycart.Incarnation(incarnation), State: state,
	}
}

func stateOf(t *member.Table, id string) carawaycart.MemberState {
	for _, m := range t.Members() {
		if m.ID == carawaycart.InstanceID(id) {
			return m.State
		}
	}
	return carawaycart.MemberDead + 1
}

func TestSuspicionEndsInDeathOrRefutation(t *testing.T) {
	for _, test := range []struct {
		name   string
		refute bool
		after  time.Duration
		want   carawaycart.MemberState
	}{
		{"within the deadline", false, time.Second, carawaycart.MemberSuspect},
		{"past the deadline", false, 2 * time.Second, carawaycart.MemberDead},
		{"refuted", true, 2 * time.Second, carawaycart.MemberReady},
	} {
		table := member.NewTable(statement("a1", 1, carawaycart.MemberReady))
		table.Merge(statement("b1", 1, carawaycart.MemberReady), start)
		table.Suspect("b1", start)
		if test.refute {
			table.Merge(statement("b1", 2, carawaycart.MemberReady), start)
		}
		table.Tick(start.Add(test.after))
		if got := stateOf(table, "b1"); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

func TestInstanceRefutesItsOwnDeath(t *testing.T) {
	table := member.NewTable(statement("a1", 5, carawaycart.MemberReady))
	table.TakeNews()
	table.Merge(statement("a1", 5, carawaycart.MemberDead), start)
	self := table.Self()
	if self.State != carawaycart.MemberReady || self.Incarnation <= 5 {
		t.Errorf("got %s in incarnation %d, want ready in a later one", self.State, self.Incarnation)
	}
	if news := table.TakeNews(); len(news) != 1 || news[0].ID != "a1" {
		t.Errorf("got news %v, want the refutation", news)
	}
}

func TestOldStatementsChangeNothing(t *testing.T) {
	table := member.NewTable(statement("a1", 1, carawaycart.MemberReady))
	table.Merge(statement("b1", 7, carawaycart.MemberReady), start)
	for _, old := range []carawaycart.Member{
		statement("b1", 6, carawaycart.MemberDead), statement("b1", 7, carawaycart.MemberJoining),
	} {
		if table.Merge(old, start) {
			t.Errorf("statement %s in incarnation %d changed the table", old.State, old.Incarnation)
		}
	}
}

// Tables that merge the same statements in any order agree.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []carawaycart.Member
		for range rapid.IntRange(1, 12).Draw(t, "statements") {
			id := rapid.SampledFrom([]string{"b1", "b2", "c1"}).Draw(t, "id")
			state := rapid.IntRange(int(carawaycart.MemberJoining), int(carawaycart.MemberDead)).Draw(t, "state")
			all = append(all, statement(id, rapid.IntRange(1, 3).Draw(t, "incarnation"), carawaycart.MemberState(state)))
		}
		x := member.NewTable(statement("a1", 1, carawaycart.MemberReady))
		y := member.NewTable(statement("a1", 1, carawaycart.MemberReady))
		for _, m := range all {
			x.Merge(m, start)
		}
		for _, m := range rapid.Permutation(all).Draw(t, "order") {
			y.Merge(m, start)
		}
		if x.Digest() != y.Digest() {
			t.Fatalf("got %v and %v", x.Members(), y.Members())
		}
	})
}

func full(carawaycart.ZoneID) member.Duty { return member.DutyFull }

func fleet() []carawaycart.Member {
	var all []carawaycart.Member
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3", "d1", "d2", "d3"} {
		all = append(all, statement(id, 1, carawaycart.MemberReady))
	}
	return all
}

// Whichever instance or zone is lost, the next keeper held the state before.
func TestNextKeeperHeldTheState(t *testing.T) {
	all := fleet()
	before := member.NewView(all, full)
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
			next := member.NewView(rest, full).Holders(k).Keeper
			if !h.Contains(next) {
				t.Fatalf("key %d: keeper %s is followed by %s, which held nothing", k, h.Keeper, next)
			}
		}
	}
}

func TestJoiningInstanceHoldsWhatItWillKeep(t *testing.T) {
	all := fleet()
	joining := statement("b9", 1, carawaycart.MemberJoining)
	ready := statement("b9", 1, carawaycart.MemberReady)
	before := member.NewView(append(all, joining), full)
	after := member.NewView(append(all, ready), full)
	kept := 0
	for k := range rendezvous.Key(2000) {
		h := before.Holders(k)
		if h.Keeper == "b9" {
			t.Fatalf("key %d: a joining instance is keeper", k)
		}
		if after.Holders(k).Keeper == "b9" {
			kept++
			if !h.Contains("b9") {
				t.Fatalf("key %d: b9 becomes keeper without having held the state", k)
			}
		}
	}
	if kept == 0 {
		t.Error("the instance that joined keeps nothing")
	}
}

func TestDuties(t *testing.T) {
	duty := func(d member.Duty) func(carawaycart.ZoneID) member.Duty {
		return func(z carawaycart.ZoneID) member.Duty {
			if z == "za" {
				return d
			}
			return member.DutyFull
		}
	}
	for _, test := range []struct {
		name         string
		duty         func(carawaycart.ZoneID) member.Duty
		ready, total int
	}{
		{"zone in service", duty(member.DutyFull), 12, 12},
		{"zone that came back", duty(member.DutyReplica), 9, 12},
		{"zone out", duty(member.DutyNone), 9, 9},
		{"all zones out", func(carawaycart.ZoneID) member.Duty { return member.DutyNone }, 12, 12},
	} {
		v := member.NewView(fleet(), test.duty)
		if len(v.Ready()) != test.ready || v.Len() != test.total {
			t.Errorf("%s: got %d ready of %d, want %d of %d", test.name, len(v.Ready()), v.Len(), test.ready, test.total)
		}
	}
}

// Probing neighbours reaches every instance, so news does too.
func TestNeighboursConnectTheFleet(t *testing.T) {
	v := member.NewView(fleet(), full)
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

// Holders that Unchanged vouches for are those that the new view gives, whatever
// instances come, go or change.
func TestUnchangedIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []carawaycart.MemberState{carawaycart.MemberReady, carawaycart.MemberJoining, carawaycart.MemberDead}
		draw := func(label string) *member.View {
			var all []carawaycart.Member
			for _, m := range fleet() {
				m.State = rapid.SampledFrom(states).Draw(t, label)
				all = append(all, m)
			}
			return member.NewView(all, full)
		}
		before, after := draw("before"), draw("after")
		after.Follow(before)
		for k := range rendezvous.Key(50) {
			old, now := before.Holders(k), after.Holders(k)
			if !after.Unchanged(before, &old, k) {
				continue
			}
			if old.Keeper != now.Keeper || old.Replicas != now.Replicas {
				t.Fatalf("key %d: got %v unchanged, want %v", k, old, now)
			}
		}
	})
}

func TestUnchangedSparesMostKeys(t *testing.T) {
	all := fleet()
	before := member.NewView(all, full)
	after := member.NewView(all[:len(all)-1], full)
	after.Follow(before)
	spared := 0
	for k := range rendezvous.Key(1000) {
		if h := before.Holders(k); after.Unchanged(before, &h, k) {
			spared++
		}
	}
	if spared < 600 {
		t.Errorf("got %d of 1000 keys spared when one of 12 instances goes, want most", spared)
	}
}
