package board

import (
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/core/slot"
)

// Slot is one slot with the entries of its endpoints, nil where it has none.
type Slot struct {
	Base    *Entry
	Current *Entry
}

// Clean reports whether no keeper needs to be asked about the slot's flows.
func (s Slot) Clean() bool { return s.Base == s.Current && !s.Base.Guarded() }

// Table is a slot table resolved to entries; it is immutable.
type Table struct {
	slots   carawaycart.SlotTable
	entries []*Entry
	since   time.Time // when the table arrived
}

// Len returns the number of slots.
func (t *Table) Len() int { return len(t.slots.Base) }

// Index returns the slot of fingerprint f.
func (t *Table) Index(f carawaycart.Fingerprint) carawaycart.SlotIndex { return slot.Index(f, t.Len()) }

// Slot returns the slot with index i.
func (t *Table) Slot(i carawaycart.SlotIndex) Slot {
	return Slot{Base: t.entry(t.slots.Base[i]), Current: t.entry(t.slots.Current[i])}
}

// Since returns when the table arrived.
func (t *Table) Since() time.Time { return t.since }

// Entries returns the entries of the endpoints that own or take flows; the
// slice must not be modified.
func (t *Table) Entries() []*Entry { return t.entries }

// Dirty returns how many slots have a base other than their current endpoint.
func (t *Table) Dirty() int { return slot.Dirty(t.slots) }

func (t *Table) entry(m uint16) *Entry {
	if m == carawaycart.NoMember {
		return nil
	}
	return t.entries[m]
}

// ServiceRoute is how packets of one service are routed; it is immutable but
// for the activity of its slots.
type ServiceRoute struct {
	Service carawaycart.Service
	Profile carawaycart.Profile
	// Entries are all configured endpoints of the service, in order of ID.
	Entries []*Entry
	// Active is the table that packets follow.
	Active *Table
	// Recent holds the tables of the last stablePeriod, oldest first; the last
	// one is the latest.
	Recent []*Table

	members  []carawaycart.EndpointID // of the service, as configured
	activity *activity
}

// activity holds for each slot when a packet last went to its base without a
// record, in Unix seconds.
type activity struct{ seen []atomic.Uint32 }

// Latest returns the table of the latest revision.
func (r *ServiceRoute) Latest() *Table { return r.Recent[len(r.Recent)-1] }

// Stable reports whether all recent tables agree about the slot of f, and
// BaseStable whether they agree about its base.
func (r *ServiceRoute) Stable(f carawaycart.Fingerprint) (stable, baseStable bool) {
	if len(r.Recent) == 1 && r.Active == r.Recent[0] {
		return true, true
	}
	want := r.Active.Slot(r.Active.Index(f))
	stable, baseStable = true, true
	for _, t := range r.Recent {
		s := t.Slot(t.Index(f))
		stable = stable && s == want
		baseStable = baseStable && s.Base == want.Base
	}
	return stable, baseStable
}

// NoteBase notes that at now a packet of slot i went to its base without a record.
func (r *ServiceRoute) NoteBase(i carawaycart.SlotIndex, now time.Time) {
	if r.activity != nil && int(i) < len(r.activity.seen) {
		r.activity.seen[i].Store(uint32(now.Unix()))
	}
}

// BaseSeen returns when a packet of slot i last went to its base without a
// record, or when the table arrived if that is later.
func (r *ServiceRoute) BaseSeen(i carawaycart.SlotIndex) time.Time {
	since := r.Latest().since
	if r.activity == nil || int(i) >= len(r.activity.seen) {
		return since
	}
	if seen := time.Unix(int64(r.activity.seen[i].Load()), 0); seen.After(since) {
		return seen
	}
	return since
}
