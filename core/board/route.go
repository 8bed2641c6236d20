package board

import (
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/core/slot"
)

// Slot is one slot with the entries of its endpoints; an entry is nil if the slot
// has no such endpoint.
type Slot struct {
	Base    *Entry // receives packets of flows without a record
	Current *Entry // receives new flows
}

// Clean reports whether the slot's flows can be routed without asking a keeper. The
// slot must have a base or a current endpoint.
func (s Slot) Clean() bool { return s.Base == s.Current && !s.Base.Guarded() }

// Table is a slot table whose members are resolved to entries; it is immutable.
type Table struct {
	slots     carawaycart.SlotTable
	entries   []*Entry  // by the index of the member in slots
	arrivedAt time.Time // zero for the first table of a service
}

// Len returns the number of slots.
func (t *Table) Len() int { return len(t.slots.Base) }

// Index returns the index of the slot of fingerprint f.
func (t *Table) Index(f carawaycart.Fingerprint) carawaycart.SlotIndex { return slot.Index(f, t.Len()) }

// Slot returns the slot with index i.
func (t *Table) Slot(i carawaycart.SlotIndex) Slot {
	return Slot{Base: t.entry(t.slots.Base[i]), Current: t.entry(t.slots.Current[i])}
}

// ArrivedAt returns when the table arrived, or the zero time for the first table of a
// service.
func (t *Table) ArrivedAt() time.Time { return t.arrivedAt }

// Entries returns the entries of the endpoints that are the base or current of a
// slot; the slice must not be modified.
func (t *Table) Entries() []*Entry { return t.entries }

// DirtyCount returns the number of slots whose base differs from their current
// endpoint.
func (t *Table) DirtyCount() int { return slot.DirtyCount(t.slots) }

// entry returns the entry of the endpoint with index m, or nil for NoMember.
func (t *Table) entry(m uint16) *Entry {
	if m == carawaycart.NoMember {
		return nil
	}
	return t.entries[m]
}

// ServiceRoute is the routing state of one service; it is immutable except for the
// activity of its slots.
type ServiceRoute struct {
	Service carawaycart.Service
	Profile carawaycart.Profile
	// Entries holds the configured endpoints of the service, ordered by ID.
	Entries []*Entry
	// Active is the table that packets follow.
	Active *Table
	// Recent holds, oldest first, the latest table and each table whose successor
	// arrived less than stabilityDelay ago.
	Recent []*Table

	endpointIDs  []carawaycart.EndpointID // IDs of the configured endpoints of the service
	baseActivity *baseActivity
}

// baseActivity holds for each slot when a packet was last sent to its base without
// a record of its flow, in Unix seconds, or zero if none was.
type baseActivity struct{ lastBaseUse []atomic.Uint32 }

// Latest returns the table of the latest revision received.
func (r *ServiceRoute) Latest() *Table { return r.Recent[len(r.Recent)-1] }

// Stable reports whether all recent tables agree with the active one on the base
// and current endpoint of the slot of f, and, as baseStable, whether they agree with
// it on the base.
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

// RecordBaseUse records that at now a packet of slot i was sent to its base without a
// record of its flow. It does nothing if the latest table has no dirty slot or no
// slot i.
func (r *ServiceRoute) RecordBaseUse(i carawaycart.SlotIndex, now time.Time) {
	if r.baseActivity != nil && int(i) < len(r.baseActivity.lastBaseUse) {
		r.baseActivity.lastBaseUse[i].Store(uint32(now.Unix()))
	}
}

// BaseLastUsed returns when a packet of slot i was last sent to its base without a
// record of its flow, or when the latest table arrived if that is later or there
// was no such packet.
func (r *ServiceRoute) BaseLastUsed(i carawaycart.SlotIndex) time.Time {
	arrivedAt := r.Latest().arrivedAt
	if r.baseActivity == nil || int(i) >= len(r.baseActivity.lastBaseUse) {
		return arrivedAt
	}
	if lastBaseUse := time.Unix(int64(r.baseActivity.lastBaseUse[i].Load()), 0); lastBaseUse.After(arrivedAt) {
		return lastBaseUse
	}
	return arrivedAt
}
