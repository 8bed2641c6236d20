package slot

import (
	"cmp"
	"slices"

	"carawaycart"
	"carawaycart/internal/rendezvous"
)

const (
	minSlots         = 64
	maxSlots         = 1 << 15
	slotsPerEndpoint = 64 // an uneven share then costs an endpoint at most 1/64 of its load
)

// Candidate is an endpoint that may take new flows.
type Candidate struct {
	ID     carawaycart.EndpointID
	Weight int // share relative to the other candidates; must be positive
}

// Count returns the number of slots for a service of n endpoints.
func Count(n int) int {
	count := minSlots
	for count < n*slotsPerEndpoint && count < maxSlots {
		count *= 2
	}
	return count
}

// Index returns the slot of fingerprint f in a table of n slots, where n is a
// power of two.
func Index(f carawaycart.Fingerprint, n int) carawaycart.SlotIndex {
	return carawaycart.SlotIndex(uint64(f) & uint64(n-1))
}

// New returns a table of count slots without endpoints; count must be a power
// of two.
func New(count int) carawaycart.SlotTable {
	t := carawaycart.SlotTable{Base: make([]uint16, count), Current: make([]uint16, count)}
	for i := range count {
		t.Base[i] = carawaycart.NoMember
		t.Current[i] = carawaycart.NoMember
	}
	return t
}

// Clone returns a deep copy of t.
func Clone(t carawaycart.SlotTable) carawaycart.SlotTable {
	return carawaycart.SlotTable{
		Members: slices.Clone(t.Members),
		Base:    slices.Clone(t.Base),
		Current: slices.Clone(t.Current),
	}
}

// Grow returns t with at least count slots; each old slot is split evenly, so
// that every flow keeps its base and current endpoints.
func Grow(t carawaycart.SlotTable, count int) carawaycart.SlotTable {
	for len(t.Base) < count {
		t.Base = append(t.Base, t.Base...)
		t.Current = append(t.Current, t.Current...)
	}
	return t
}

// Reassign returns a table whose current endpoints are the candidates, each
// within one slot of its weighted share. Bases stay, except that a slot without
// a base takes its current endpoint. There must be at least one candidate. The
// table t is not modified.
func Reassign(t carawaycart.SlotTable, candidates []Candidate) carawaycart.SlotTable {
	r := newReassignment(t, candidates)
	r.keep()
	r.place()
	for i, b := range r.table.Base {
		if b == carawaycart.NoMember {
			r.table.Base[i] = r.table.Current[i]
		}
	}
	return compact(r.table)
}

// Rebase returns a table in which every slot whose base is gone(ID) takes its
// current endpoint as base. The table t is not modified.
func Rebase(t carawaycart.SlotTable, gone func(carawaycart.EndpointID) bool) carawaycart.SlotTable {
	t = Clone(t)
	for i, b := range t.Base {
		if b != carawaycart.NoMember && gone(t.Members[b]) {
			t.Base[i] = t.Current[i]
		}
	}
	return compact(t)
}

// Retain returns a table in which every slot keeps those of its endpoints for
// which holding is true; a slot that keeps one of the two has it as both, and one
// that keeps none has no endpoint. The table t is not modified.
func Retain(t carawaycart.SlotTable, holding func(carawaycart.EndpointID) bool) carawaycart.SlotTable {
	t = Clone(t)
	holds := func(m uint16) bool { return m != carawaycart.NoMember && holding(t.Members[m]) }
	for i := range t.Base {
		if !holds(t.Current[i]) {
			t.Current[i] = t.Base[i]
		}
		if !holds(t.Current[i]) {
			t.Current[i] = carawaycart.NoMember
		}
		if !holds(t.Base[i]) {
			t.Base[i] = t.Current[i]
		}
	}
	return compact(t)
}

// Settle returns a table in which the given slots take their current endpoint
// as base, as far as their base and current endpoints are still the stated
// ones. The table t is not modified; indices out of range are ignored.
func Settle(t carawaycart.SlotTable, base, current carawaycart.EndpointID, slots []carawaycart.SlotIndex) carawaycart.SlotTable {
	t = Clone(t)
	b := slices.Index(t.Members, base)
	c := slices.Index(t.Members, current)
	if b < 0 || c < 0 {
		return t
	}
	for _, s := range slots {
		if int(s) < len(t.Base) && t.Base[s] == uint16(b) && t.Current[s] == uint16(c) {
			t.Base[s] = t.Current[s]
		}
	}
	return compact(t)
}

// Dirty returns how many slots of t have a base other than their current endpoint.
func Dirty(t carawaycart.SlotTable) int {
	n := 0
	for i := range t.Base {
		if t.Base[i] != t.Current[i] {
			n++
		}
	}
	return n
}

// compact drops members that no slot refers to.
func compact(t carawaycart.SlotTable) carawaycart.SlotTable {
	used := make([]bool, len(t.Members))
	for i := range t.Base {
		if b := t.Base[i]; b != carawaycart.NoMember {
			used[b] = true
		}
		if c := t.Current[i]; c != carawaycart.NoMember {
			used[c] = true
		}
	}
	if !slices.Contains(used, false) {
		return t
	}
	index := make([]uint16, len(t.Members))
	var members []carawaycart.EndpointID
	for i, u := range used {
		if u {
			index[i] = uint16(len(members))
			members = append(members, t.Members[i])
		}
	}
	renumber(t.Base, index)
	renumber(t.Current, index)
	t.Members = members
	return t
}

func renumber(slots, index []uint16) {
	for i, m := range slots {
		if m != carawaycart.NoMember {
			slots[i] = index[m]
		}
	}
}

// reassignment is the working state of Reassign.
type reassignment struct {
	table carawaycart.SlotTable
	index []uint16          // member index of each candidate
	name  []rendezvous.Name // hash of each candidate
	quota []int             // slots each candidate may still take
	owner map[uint16]int    // candidate of each member index
}

func newReassignment(t carawaycart.SlotTable, candidates []Candidate) *reassignment {
	r := &reassignment{table: Clone(t), owner: make(map[uint16]int, len(candidates))}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	r.quota = quotas(len(t.Base), sorted)
	known := make(map[carawaycart.EndpointID]uint16, len(t.Members))
	for i, m := range t.Members {
		known[m] = uint16(i)
	}
	for i, c := range sorted {
		m, ok := known[c.ID]
		if !ok {
			m = uint16(len(r.table.Members))
			r.table.Members = append(r.table.Members, c.ID)
		}
		r.index = append(r.index, m)
		r.name = append(r.name, rendezvous.NewName(string(c.ID)))
		r.owner[m] = i
	}
	return r
}

// keep lets candidates hold on to their slots up to their quota: clean slots
// before dirty ones, then those they score highest for.
func (r *reassignment) keep() {
	held := make([][]int, len(r.index))
	for s, m := range r.table.Current {
		if c, ok := r.owner[m]; ok {
			held[c] = append(held[c], s)
		}
		r.table.Current[s] = carawaycart.NoMember
	}
	for c, slots := range held {
		m := r.index[c]
		slices.SortFunc(slots, func(a, b int) int {
			if d := r.dirt(a, m) - r.dirt(b, m); d != 0 {
				return d
			}
			return cmp.Compare(r.score(c, b), r.score(c, a))
		})
		for _, s := range slots[:min(len(slots), r.quota[c])] {
			r.table.Current[s] = m
			r.quota[c]--
		}
	}
}

func (r *reassignment) dirt(s int, m uint16) int {
	if r.table.Base[s] == m {
		return 0
	}
	return 1
}

func (r *reassignment) score(c, s int) uint64 {
	return rendezvous.Score(r.name[c], rendezvous.Key(s))
}

// place gives each free slot to its base if that has room, else to the
// candidate with room that scores highest.
func (r *reassignment) place() {
	for s, m := range r.table.Current {
		if m != carawaycart.NoMember {
			continue
		}
		c, ok := r.owner[r.table.Base[s]]
		if !ok || r.quota[c] <= 0 {
			c = r.highest(s)
		}
		r.table.Current[s] = r.index[c]
		r.quota[c]--
	}
}

func (r *reassignment) highest(s int) int {
	best, found := 0, false
	var high uint64
	for c := range r.index {
		if r.quota[c] <= 0 {
			continue
		}
		if sc := r.score(c, s); !found || sc > high {
			best, high, found = c, sc, true
		}
	}
	return best
}

// quotas divides n slots in proportion to the candidates' weights by the
// largest remainder; they sum to n unless there is no candidate.
func quotas(n int, candidates []Candidate) []int {
	total := 0
	for _, c := range candidates {
		total += c.Weight
	}
	quota := make([]int, len(candidates))
	if total == 0 {
		return quota
	}
	order := make([]int, len(candidates))
	left := n
	for i, c := range candidates {
		order[i] = i
		quota[i] = n * c.Weight / total
		left -= quota[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(n*candidates[b].Weight%total, n*candidates[a].Weight%total)
	})
	for _, i := range order[:left] {
		quota[i]++
	}
	return quota
}
