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
	suspicionPeriod = 1500 * time.Millisecond
	forgetPeriod    = 2 * time.Minute
)

// Table is the merged statements about all instances; it is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	self    carawaycart.Member
	entries map[carawaycart.InstanceID]*entry
	news    []carawaycart.Member
}

type entry struct {
	member   carawaycart.Member
	deadline time.Time // suspects become dead, dead and left ones are forgotten
}

// NewTable returns a table that knows only self.
func NewTable(self carawaycart.Member) *Table {
	t := &Table{self: self, entries: make(map[carawaycart.InstanceID]*entry)}
	t.entries[self.ID] = &entry{member: self}
	t.news = append(t.news, self)
	return t
}

// Self returns the instance's statement about itself.
func (t *Table) Self() carawaycart.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetRevision states the configuration that the instance runs.
func (t *Table) SetRevision(r carawaycart.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Revision = r
	t.entries[t.self.ID].member = t.self
}

// SetState makes a new statement of the instance about itself.
func (t *Table) SetState(s carawaycart.MemberState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = s
	t.state()
}

// state publishes self under the next incarnation.
func (t *Table) state() {
	t.self.Incarnation++
	t.entries[t.self.ID].member = t.self
	t.news = append(t.news, t.self)
}

// Merge takes in a statement and reports whether it changed the table. A
// statement that calls the instance itself anything but what it says of itself
// is refuted by a new incarnation.
func (t *Table) Merge(m carawaycart.Member, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.ID == t.self.ID {
		return t.mergeSelf(m)
	}
	e, ok := t.entries[m.ID]
	if !ok {
		t.entries[m.ID] = &entry{member: m, deadline: deadline(m.State, now)}
		t.news = append(t.news, m)
		return true
	}
	if !overrides(m, e.member) {
		if m.Incarnation == e.member.Incarnation {
			e.member.Revision = max(e.member.Revision, m.Revision)
		}
		return false
	}
	e.member = m
	e.deadline = deadline(m.State, now)
	t.news = append(t.news, m)
	return true
}

func (t *Table) mergeSelf(m carawaycart.Member) bool {
	if !overrides(m, t.self) {
		return false
	}
	t.self.Incarnation = m.Incarnation
	t.state()
	return true
}

func overrides(m, old carawaycart.Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

func deadline(s carawaycart.MemberState, now time.Time) time.Time {
	switch s {
	case carawaycart.MemberSuspect:
		return now.Add(suspicionPeriod)
	case carawaycart.MemberDead, carawaycart.MemberLeft:
		return now.Add(forgetPeriod)
	}
	return time.Time{}
}

// Suspect notes that id did not answer a probe at now.
func (t *Table) Suspect(id carawaycart.InstanceID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || id == t.self.ID || e.member.State >= carawaycart.MemberSuspect {
		return
	}
	e.member.State = carawaycart.MemberSuspect
	e.deadline = deadline(carawaycart.MemberSuspect, now)
	t.news = append(t.news, e.member)
}

// Tick declares suspects dead and forgets the departed as their deadlines pass.
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
		t.news = append(t.news, e.member)
	}
}

// TakeNews returns the statements that changed since the last call.
func (t *Table) TakeNews() []carawaycart.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.news
	t.news = nil
	return n
}

// Members returns all statements, ordered by ID.
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

// Digest returns a hash of the statements about instances that have not
// departed; tables with equal statements have equal digests.
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
