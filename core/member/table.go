package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
)

const (
	// suspicionTimeout is how long an instance may be suspect before it is
	// declared dead.
	suspicionTimeout = 1500 * time.Millisecond
	// departedRetention is how long dead and left instances are retained.
	departedRetention = 2 * time.Minute
)

// Table holds the latest update about each instance, which contains its
// incarnation and state; it is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    carawaycart.Member
	entries map[carawaycart.InstanceID]*entry
	pending []carawaycart.Member // queued updates, which are to be disseminated
}

// entry is the latest update about an instance.
type entry struct {
	member carawaycart.Member
	// deadline is when a suspect becomes dead, or a dead or left instance is
	// removed; it is zero in the other states.
	deadline time.Time
}

// NewTable returns a table that contains only self.
func NewTable(self carawaycart.Member) *Table {
	t := &Table{self: self, entries: make(map[carawaycart.InstanceID]*entry)}
	t.entries[self.ID] = &entry{member: self}
	t.pending = append(t.pending, self)
	return t
}

// Self returns the latest update of the instance about itself.
func (t *Table) Self() carawaycart.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetRevision sets the revision of the configuration that the instance runs. It
// neither begins a new incarnation nor queues an update.
func (t *Table) SetRevision(r carawaycart.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Revision = r
	t.entries[t.self.ID].member = t.self
}

// SetState sets the instance's own state under a new incarnation and queues the
// update.
func (t *Table) SetState(s carawaycart.MemberState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = s
	t.publishSelf()
}

// publishSelf queues self as an update under the next incarnation; t.mu must
// be held.
func (t *Table) publishSelf() {
	t.self.Incarnation++
	t.entries[t.self.ID].member = t.self
	t.pending = append(t.pending, t.self)
}

// Merge applies an update received at now and reports whether it changed the
// state or incarnation of an instance. An update about the instance itself that
// overrides its own state is refuted by a new incarnation. An update of the same
// incarnation that changes no state may still raise the configuration revision.
func (t *Table) Merge(m carawaycart.Member, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.ID == t.self.ID {
		return t.mergeSelf(m)
	}
	e, ok := t.entries[m.ID]
	if !ok {
		t.entries[m.ID] = &entry{member: m, deadline: deadline(m.State, now)}
		t.pending = append(t.pending, m)
		return true
	}
	if !overrides(m, e.member) {
		if m.Incarnation == e.member.Incarnation {
			e.member.Revision = max(e.member.Revision, m.Revision)
		}
		return false
	}
	m.Revision = max(m.Revision, e.member.Revision)
	e.member = m
	e.deadline = deadline(m.State, now)
	t.pending = append(t.pending, m)
	return true
}

// mergeSelf begins a new incarnation and returns true if m, an update about the
// instance itself, overrides its own state; t.mu must be held.
func (t *Table) mergeSelf(m carawaycart.Member) bool {
	if !overrides(m, t.self) {
		return false
	}
	t.self.Incarnation = m.Incarnation
	t.publishSelf()
	return true
}

// overrides reports whether m replaces old: the greater incarnation wins, and
// within one incarnation the greater state.
func overrides(m, old carawaycart.Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// deadline returns the deadline of an instance that enters state s at now, or
// the zero time if the state has none.
func deadline(s carawaycart.MemberState, now time.Time) time.Time {
	switch s {
	case carawaycart.MemberSuspect:
		return now.Add(suspicionTimeout)
	case carawaycart.MemberDead, carawaycart.MemberLeft:
		return now.Add(departedRetention)
	}
	return time.Time{}
}

// MarkSuspect marks instance id as suspect, because it did not answer a probe at now.
// It ignores the instance itself, unknown instances, and those that are suspect,
// left or dead already.
func (t *Table) MarkSuspect(id carawaycart.InstanceID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || id == t.self.ID || e.member.State >= carawaycart.MemberSuspect {
		return
	}
	e.member.State = carawaycart.MemberSuspect
	e.deadline = deadline(carawaycart.MemberSuspect, now)
	t.pending = append(t.pending, e.member)
}

// Tick declares suspects dead and removes dead and left instances whose
// deadlines have passed.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.deadline.IsZero() || now.Before(e.deadline) {
			continue
		}
		if e.member.State != carawaycart.MemberSuspect {
			delete(t.entries, id)
			continue
		}
		e.member.State = carawaycart.MemberDead
		e.deadline = deadline(carawaycart.MemberDead, now)
		t.pending = append(t.pending, e.member)
	}
}

// PopUpdates removes the queued updates and returns them in the order in which they
// were made.
func (t *Table) PopUpdates() []carawaycart.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	updates := t.pending
	t.pending = nil
	return updates
}

// Members returns the latest updates about all instances, ordered by ID.
func (t *Table) Members() []carawaycart.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]carawaycart.Member, 0, len(t.entries))
	for _, e := range t.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b carawaycart.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Digest returns a hash of the identities, incarnations and states of the
// instances that are neither dead nor left; tables that agree on these have
// equal digests.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	var b [17]byte
	for id, e := range t.entries {
		if e.member.State > carawaycart.MemberSuspect {
			continue
		}
		binary.LittleEndian.PutUint64(b[0:8], xxhash.Sum64String(string(id)))
		binary.LittleEndian.PutUint64(b[8:16], uint64(e.member.Incarnation))
		b[16] = byte(e.member.State)
		sum ^= xxhash.Sum64(b[:])
	}
	return sum
}
