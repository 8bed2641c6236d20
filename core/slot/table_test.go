package slot_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"carawaycart"
	"carawaycart/core/slot"
)

// candidates returns n candidates, e00 and so on, of the given weight.
func candidates(n, weight int) []slot.Candidate {
	var c []slot.Candidate
	for i := range n {
		c = append(c, slot.Candidate{ID: carawaycart.EndpointID(fmt.Sprintf("e%02d", i)), Weight: weight})
	}
	return c
}

// slotCounts returns of how many slots each endpoint is the current one.
func slotCounts(t carawaycart.SlotTable) map[carawaycart.EndpointID]int {
	n := make(map[carawaycart.EndpointID]int)
	for _, c := range t.Current {
		if c != carawaycart.NoMember {
			n[t.Members[c]]++
		}
	}
	return n
}

func TestReassignShares(t *testing.T) {
	for _, test := range []struct {
		name       string
		slots      int
		candidates []slot.Candidate
		want       map[carawaycart.EndpointID][2]int // minimum and maximum number of slots
	}{
		{"equal", 1024, candidates(4, 10), map[carawaycart.EndpointID][2]int{"e00": {256, 256}, "e03": {256, 256}}},
		{"uneven division", 64, candidates(3, 1), map[carawaycart.EndpointID][2]int{"e00": {21, 22}, "e02": {21, 22}}},
		{
			"weights", 100 - 36,
			[]slot.Candidate{{ID: "big", Weight: 3}, {ID: "small", Weight: 1}},
			map[carawaycart.EndpointID][2]int{"big": {48, 48}, "small": {16, 16}},
		},
	} {
		got := slotCounts(slot.Reassign(slot.New(test.slots), test.candidates))
		for id, bounds := range test.want {
			if got[id] < bounds[0] || got[id] > bounds[1] {
				t.Errorf("%s: got %d slots for %s, want %d to %d", test.name, got[id], id, bounds[0], bounds[1])
			}
		}
	}
}

// Guards against flows of other endpoints that move when an endpoint is removed.
func TestReassignMovesOnlySlotsOfRemovedEndpoint(t *testing.T) {
	before := slot.Reassign(slot.New(1024), candidates(14, 4200))
	after := slot.Reassign(before, candidates(13, 4200))
	moved := 0
	for i := range before.Current {
		if before.Members[before.Current[i]] != after.Members[after.Current[i]] {
			moved++
		}
	}
	if want := slotCounts(before)["e13"]; moved != want {
		t.Errorf("got %d slots moved, want the %d of the removed endpoint", moved, want)
	}
	if dirty := slot.DirtyCount(after); dirty != moved {
		t.Errorf("got %d dirty slots, want the %d that moved", dirty, moved)
	}
}

func TestRetain(t *testing.T) {
	// Half of the slots are clean with e00, the others have base e01 and current
	// endpoint e00.
	table := slot.Reassign(slot.Reassign(slot.New(64), candidates(2, 1)), candidates(1, 1))
	for _, test := range []struct {
		name     string
		retained []carawaycart.EndpointID
		bases    map[carawaycart.EndpointID]int
	}{
		{"both", []carawaycart.EndpointID{"e00", "e01"}, map[carawaycart.EndpointID]int{"e00": 32, "e01": 32}},
		{"only the current endpoint of dirty slots", []carawaycart.EndpointID{"e00"}, map[carawaycart.EndpointID]int{"e00": 64}},
		{"only the base of dirty slots", []carawaycart.EndpointID{"e01"}, map[carawaycart.EndpointID]int{"e01": 32}},
		{"none", nil, map[carawaycart.EndpointID]int{}},
	} {
		got := slot.Retain(table, func(id carawaycart.EndpointID) bool { return slices.Contains(test.retained, id) })
		bases := make(map[carawaycart.EndpointID]int)
		for i, b := range got.Base {
			if b == carawaycart.NoMember {
				if got.Current[i] != carawaycart.NoMember {
					t.Fatalf("%s: slot %d has a current endpoint and no base", test.name, i)
				}
				continue
			}
			bases[got.Members[b]]++
		}
		if !maps.Equal(bases, test.bases) {
			t.Errorf("%s: got bases %v, want %v", test.name, bases, test.bases)
		}
	}
}

// Guards against flows that get another base when the number of slots grows.
func TestGrowKeepsOwners(t *testing.T) {
	before := slot.Reassign(slot.New(64), candidates(3, 1))
	after := slot.Grow(slot.Clone(before), 256)
	for f := carawaycart.Fingerprint(0); f < 1000; f++ {
		b, a := before.Base[slot.Index(f, 64)], after.Base[slot.Index(f, 256)]
		if a != b {
			t.Fatalf("flow %d: got base %d, want %d", f, a, b)
		}
	}
}

// Guards against a base that is replaced by a request computed from an older table,
// in which the slot had other endpoints.
func TestReplaceBaseChangesOnlyTheGivenPair(t *testing.T) {
	table := slot.Reassign(slot.Reassign(slot.New(64), candidates(3, 1)), candidates(2, 1))
	all := make([]carawaycart.SlotIndex, 64)
	for i := range all {
		all[i] = carawaycart.SlotIndex(i)
	}
	dirty := slot.DirtyCount(table)
	if got := slot.DirtyCount(slot.ReplaceBase(table, "e01", "e00", all)); got != dirty {
		t.Errorf("got %d dirty slots after a replacement whose endpoints no slot has, want %d", got, dirty)
	}
	table = slot.ReplaceBase(table, "e02", "e00", all)
	table = slot.ReplaceBase(table, "e02", "e01", append(all, 5000))
	if got := slot.DirtyCount(table); got != 0 {
		t.Errorf("got %d dirty slots, want 0", got)
	}
}

// Guards against uneven shares and lost bases: after any sequence of changes, each
// candidate is within one slot of its share, and the base of a slot never
// changes, even if that endpoint is no longer a candidate.
func TestReassignProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := slot.New(256)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			all := candidates(12, 1)
			var chosen []slot.Candidate
			for _, c := range all {
				if rapid.Bool().Draw(t, string(c.ID)) {
					chosen = append(chosen, c)
				}
			}
			if len(chosen) == 0 {
				continue
			}
			next := slot.Reassign(table, chosen)
			for id, n := range slotCounts(next) {
				if least := 256 / len(chosen); n < least || n > least+1 {
					t.Fatalf("got %d slots for %s of %d candidates", n, id, len(chosen))
				}
			}
			for i, b := range table.Base {
				if b != carawaycart.NoMember && next.Members[next.Base[i]] != table.Members[b] {
					t.Fatalf("slot %d: base changed from %s to %s", i, table.Members[b], next.Members[next.Base[i]])
				}
			}
			table = next
		}
	})
}

func BenchmarkReassign(b *testing.B) {
	for _, n := range []int{14, 100, 500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			table := slot.Reassign(slot.New(slot.Count(n)), candidates(n, 1))
			fewer := candidates(n-1, 1)
			b.ReportAllocs()
			for b.Loop() {
				slot.Reassign(table, fewer)
			}
		})
	}
}
