package slot

import (
	"cmp"
	"slices"

	"carawaycart"
	"carawaycart/internal/rendezvous"
)

const (
	// minSlots and maxSlots limit the number of slots of a service.
	minSlots = 64
	maxSlots = 1 << 15

	// slotsPerEndpoint is the minimum mean number of slots per endpoint, as far as
	// maxSlots allows. With 64 slots, rounding a share changes the load of an
	// endpoint by at most 1/64.
	slotsPerEndpoint = 64
)

// Candidate is an endpoint that may receive new flows.
type Candidate struct {
	ID     carawaycart.EndpointID
	Weight int // relative share of slots; must be positive
}

// Count returns the number of slots of a service with n endpoints, a power of two.
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

// Grow returns t doubled until it has at least count slots; a table without
// slots stays empty. Every flow keeps its base and current endpoints. The result may share
// memory with t.
func Grow(t carawaycart.SlotTable, count int) carawaycart.SlotTable {
	for len(t.Base) > 0 && len(t.Base) < count {
		t.Base = append(t.Base, t.Base...)
		t.Current = append(t.Current, t.Current...)
	}
	return t
}

// Reassign returns a table whose current endpoints are the candidates, each
// within one slot of its weighted share. Bases are unchanged, except that a slot
// without a base gets its current endpoint as base. There must be at least one
// candidate. The table t is not modified.
func Reassign(t carawaycart.SlotTable, candidates []Candidate) carawaycart.SlotTable {
	r := newReassignment(t, candidates)
	r.retainCurrent()
	r.assignFree()
	for i, b := range r.table.Base {
		if b == carawaycart.NoMember {
			r.table.Base[i] = r.table.Current[i]
		}
	}
	return compact(r.table)
}

// ReplaceRemovedBases returns a table in which every base for which removed returns
// true is replaced by the current endpoint of its slot. The table t is not modified.
func ReplaceRemovedBases(t carawaycart.SlotTable, removed func(carawaycart.EndpointID) bool) carawaycart.SlotTable {
	t = Clone(t)
	for i, b := range t.Base {
		if b != carawaycart.NoMember && removed(t.Members[b]) {
			t.Base[i] = t.Current[i]
		}
	}
	return compact(t)
}

// Retain returns a table without the endpoints for which retained returns false. A
// slot that loses one of its two endpoints gets the other one as base and current;
// a slot that loses both has no endpoint. The table t is not modified.
func Retain(t carawaycart.SlotTable, retained func(carawaycart.EndpointID) bool) carawaycart.SlotTable {
	t = Clone(t)
	keeps := func(m uint16) bool { return m != carawaycart.NoMember && retained(t.Members[m]) }
	for i := range t.Base {
		if !keeps(t.Current[i]) {
			t.Current[i] = t.Base[i]
		}
		if !keeps(t.Current[i]) {
			t.Current[i] = carawaycart.NoMember
		}
		if !keeps(t.Base[i]) {
			t.Base[i] = t.Current[i]
		}
	}
	return compact(t)
}

// ReplaceBase returns a table in which the base of the given slots is replaced by
// their current endpoint. A slot whose base is not the argument base, or whose
// current endpoint is not the argument current, is left unchanged, and an index out
// of range is ignored. The table t is not modified.
func ReplaceBase(t carawaycart.SlotTable, base, current carawaycart.EndpointID, slots []carawaycart.SlotIndex) carawaycart.SlotTable {
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

// DirtyCount returns the number of slots of t whose base is not their current endpoint.
func DirtyCount(t carawaycart.SlotTable) int {
	n := 0
	for i := range t.Base {
		if t.Base[i] != t.Current[i] {
			n++
		}
	}
	return n
}

// compact returns t without the members that no slot refers to. It modifies the
// slots of t, which hold member indices, in place.
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

// renumber replaces each old member index in slots by its new one, index[old].
func renumber(slots, index []uint16) {
	for i, m := range slots {
		if m != carawaycart.NoMember {
			slots[i] = index[m]
		}
	}
}

// reassignment is the working state of Reassign. Candidates are numbered from zero
// in the order of their IDs.
type reassignment struct {
	table       carawaycart.SlotTable
	memberIndex []uint16          // index in table.Members of each candidate
	hashes      []rendezvous.Name // hash of the ID of each candidate
	remaining   []int             // number of slots still to be assigned to each candidate
	candidateOf map[uint16]int    // number of the candidate with each member index
}

// newReassignment returns the state before the first slot is assigned. It adds the
// candidates that t does not contain to the members of the new table.
func newReassignment(t carawaycart.SlotTable, candidates []Candidate) *reassignment {
	r := &reassignment{table: Clone(t), candidateOf: make(map[uint16]int, len(candidates))}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	r.remaining = quotas(len(t.Base), sorted)
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
		r.memberIndex = append(r.memberIndex, m)
		r.hashes = append(r.hashes, rendezvous.NewName(string(c.ID)))
		r.candidateOf[m] = i
	}
	return r
}

// retainCurrent leaves each candidate the current endpoint of the slots that it has,
// up to its quota: it prefers clean slots to dirty ones, and then those with the
// highest rendezvous score. It leaves all other slots without a current endpoint.
func (r *reassignment) retainCurrent() {
	held := make([][]int, len(r.memberIndex))
	for s, m := range r.table.Current {
		if c, ok := r.candidateOf[m]; ok {
			held[c] = append(held[c], s)
		}
		r.table.Current[s] = carawaycart.NoMember
	}
	for c, slots := range held {
		m := r.memberIndex[c]
		slices.SortFunc(slots, func(a, b int) int {
			if d := r.dirtyRank(a, m) - r.dirtyRank(b, m); d != 0 {
				return d
			}
			return cmp.Compare(r.score(c, b), r.score(c, a))
		})
		for _, s := range slots[:min(len(slots), r.remaining[c])] {
			r.table.Current[s] = m
			r.remaining[c]--
		}
	}
}

// dirtyRank returns 0 if slot s would be clean with member m as its current
// endpoint, and 1 otherwise.
func (r *reassignment) dirtyRank(s int, m uint16) int {
	if r.table.Base[s] == m {
		return 0
	}
	return 1
}

// score returns the rendezvous score of candidate c for slot s.
func (r *reassignment) score(c, s int) uint64 {
	return rendezvous.Score(r.hashes[c], rendezvous.Key(s))
}

// assignFree assigns each slot without a current endpoint to its base if that is a
// candidate with quota left, and otherwise to the candidate with quota left that
// has the highest rendezvous score.
func (r *reassignment) assignFree() {
	for s, m := range r.table.Current {
		if m != carawaycart.NoMember {
			continue
		}
		c, ok := r.candidateOf[r.table.Base[s]]
		if !ok || r.remaining[c] <= 0 {
			c = r.bestCandidate(s)
		}
		r.table.Current[s] = r.memberIndex[c]
		r.remaining[c]--
	}
}

// bestCandidate returns the candidate with quota left that has the highest
// rendezvous score for slot s, or 0 if no candidate has quota left.
func (r *reassignment) bestCandidate(s int) int {
	best, found := 0, false
	var bestScore uint64
	for c := range r.memberIndex {
		if r.remaining[c] <= 0 {
			continue
		}
		if sc := r.score(c, s); !found || sc > bestScore {
			best, bestScore, found = c, sc, true
		}
	}
	return best
}

// quotas divides n slots in proportion to the candidates' weights by the largest
// remainder method. The quotas sum to n, or to zero if the total weight is zero.
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
	unassigned := n
	for i, c := range candidates {
		order[i] = i
		quota[i] = n * c.Weight / total
		unassigned -= quota[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(n*candidates[b].Weight%total, n*candidates[a].Weight%total)
	})
	for _, i := range order[:unassigned] {
		quota[i]++
	}
	return quota
}
