package directory

import (
	"net/netip"
	"time"

	"carawaycart"
)

// Presence is the state of a lifetime as derived from the store.
type Presence uint8

// The presences of a lifetime. A lapsed or ended lifetime whose entry reappears is
// present again.
const (
	Present Presence = iota // its entry is in the store
	Lapsed                  // its entry disappeared, or another has its address, but the endpoint may still be running
	Ended                   // the endpoint has stopped, started again or lost its address, as far as the store tells
)

const (
	// lapsedGrace is how long the tracker waits for a lapsed entry to reappear
	// before the lifetime counts as ended. The platform guarantees that this
	// takes about 2 s.
	lapsedGrace = 2500 * time.Millisecond
	// minOutage is the time without a read by any instance from which entries may have
	// expired although their endpoints run: three of their heartbeats of 0.77 s or more,
	// less the time since the last one. Reads are normally less than a second apart.
	minOutage = 1500 * time.Millisecond
	// failureWindow is how long after a store failure an entry that disappears
	// counts as lapsed instead of ended.
	failureWindow = 8 * time.Second
	// restoreGrace is how long after a restore of the store an entry or a mark may be
	// older than one that was read before. Endpoints and operators write theirs again
	// within seconds.
	restoreGrace = 8 * time.Second
	// endedRetention is how long ended lifetimes are retained. It exceeds the
	// 60 s for which their flows may last on the platform.
	endedRetention = 70 * time.Second
)

// TrackedLifetime is a tracked lifetime with its presence. If only a peer has
// reported the lifetime, Lifetime is as in EndedLifetime, and WrittenAt and ColdUntil are
// zero.
type TrackedLifetime struct {
	Lifetime carawaycart.Lifetime
	Presence Presence
	// WrittenAt is that of the store item from which Lifetime was read.
	WrittenAt Position
	// ColdUntil is when the endpoint stops being cold. A cold endpoint has
	// recently started and receives only limited load.
	ColdUntil time.Time
	// Deadline is when a lapsed lifetime ends or an ended one is removed. It has
	// no meaning for a present one.
	Deadline time.Time

	// Absent tells of an ended lifetime that nothing speaks against it but that its entry
	// is missing, or that it is listed with an earlier start than is known: its endpoint may
	// still run.
	Absent bool

	contested    bool // whether its entry, or that of its address, seems to be that of another writer
	heldDraining bool // whether it counts as draining although its entry does not say so
}

// LifetimeTracker tracks the presence of lifetimes across successive contents of a
// directory; it is not safe for concurrent use.
type LifetimeTracker struct {
	lifetimes   map[carawaycart.LifetimeKey]*TrackedLifetime
	lastFailure time.Time // latest known failure of the store; zero if none
	lastGap     time.Time // end of the last long time without a read; zero if none
	lastRead    time.Time // start of the last known read of the store; zero if none
	// settledAt is when the entries that a restore of the store has removed or replaced
	// by older ones are written again; zero if there was none.
	settledAt time.Time
}

// NewLifetimeTracker returns a tracker without lifetimes.
func NewLifetimeTracker() *LifetimeTracker {
	return &LifetimeTracker{lifetimes: make(map[carawaycart.LifetimeKey]*TrackedLifetime)}
}

// RecordStoreFailure records a store failure at now, such as a read that failed.
func (t *LifetimeTracker) RecordStoreFailure(now time.Time) {
	t.lastFailure = later(t.lastFailure, now)
}

// LastFailure returns when the last known failure of the store was, or zero.
func (t *LifetimeTracker) LastFailure() time.Time { return later(t.lastFailure, t.lastGap) }

// RecordRead records at now the result of a read of the store by any instance, which began
// at began. A long time without a read is a store failure that lasted until now, even if
// only other instances tried to read.
func (t *LifetimeTracker) RecordRead(began, now time.Time) {
	if !t.lastRead.IsZero() && now.Sub(t.lastRead) > minOutage {
		t.lastGap = now
	}
	t.lastRead = later(t.lastRead, began)
}

// RecordRestore records that the store was found at now to be restored from a copy.
func (t *LifetimeTracker) RecordRestore(now time.Time) {
	t.RecordStoreFailure(now)
	t.settledAt = now.Add(restoreGrace)
}

// ApplyContents applies the contents of the directory as of now, and does what Tick does,
// before and after: a lifetime whose time has passed must not outrank one that is listed.
func (t *LifetimeTracker) ApplyContents(c *Contents, now time.Time) {
	t.Tick(now)
	startByID := make(map[carawaycart.EndpointID]carawaycart.UnixMillis, len(c.Lifetimes))
	newestByAddress := make(map[netip.AddrPort]carawaycart.UnixMillis, len(c.Lifetimes))
	for _, l := range c.Lifetimes {
		startByID[l.ID] = l.StartedAt
		newestByAddress[l.Address] = max(newestByAddress[l.Address], l.StartedAt)
		t.markPresent(l, Position{Era: c.Era, Revision: c.Revisions[l.Key()]}, now)
	}
	for key, s := range t.lifetimes {
		startedAt, listed := startByID[key.ID]
		reassigned := s.Lifetime.StartedAt < newestByAddress[s.Lifetime.Address]
		switch {
		case listed && startedAt == key.StartedAt && reassigned:
			// Either the endpoint has crashed and its entry not expired yet, or the other
			// entry is wrong.
			s.Presence, s.Deadline = Lapsed, now.Add(endedRetention)
		case listed && startedAt == key.StartedAt:
		case c.Unconfigured[key.ID] && s.Presence == Present:
			// Another writer has replaced the entry: the endpoint keeps its flows and gets no
			// new ones.
			s.Presence, s.Deadline, s.Lifetime.Draining = Lapsed, now.Add(endedRetention), true
		case c.Unconfigured[key.ID]:
		case reassigned && s.contested:
			t.handleAbsent(s, now)
		case reassigned && s.Presence != Lapsed:
			t.markEnded(s, false, now) // the address is reassigned only after its previous owner has ended
		case listed && startedAt > key.StartedAt:
			t.markEnded(s, false, now) // the endpoint has restarted
		case listed && s.Presence == Present:
			// The entry is late or that of another writer. The endpoint writes its own again.
			s.Presence, s.Deadline = Lapsed, now.Add(lapsedGrace)
		case listed:
		case s.Presence == Present || s.contested:
			t.handleAbsent(s, now)
		}
		s.contested = s.Presence != Ended && (listed && startedAt == key.StartedAt && reassigned || c.Unconfigured[key.ID])
	}
	t.endSuperseded(startByID, now)
	t.Tick(now)
}

// endSuperseded ends the lifetimes whose endpoint has started again and runs, by the starts
// known of it. One that is listed, by startByID, may be the later one although its start
// is earlier, since the clock of the endpoint may have been set back.
func (t *LifetimeTracker) endSuperseded(startByID map[carawaycart.EndpointID]carawaycart.UnixMillis, now time.Time) {
	newest := make(map[carawaycart.EndpointID]carawaycart.UnixMillis, len(t.lifetimes))
	for key, s := range t.lifetimes {
		if s.Presence != Ended {
			newest[key.ID] = max(newest[key.ID], key.StartedAt)
		}
	}
	for key, s := range t.lifetimes {
		if key.StartedAt < newest[key.ID] {
			startedAt, listed := startByID[key.ID]
			t.markEnded(s, listed && startedAt == key.StartedAt, now)
		}
	}
}

// markPresent marks l, which was read from the item written at the given position, as
// present. An endpoint that was draining before a restore of the store stays so until
// settledAt, since the restored entry may be older.
func (t *LifetimeTracker) markPresent(l *carawaycart.Lifetime, writtenAt Position, now time.Time) {
	s := t.lifetimes[l.Key()]
	if s == nil {
		s = &TrackedLifetime{}
		t.lifetimes[l.Key()] = s
	}
	if s.WrittenAt != writtenAt {
		// ColdRemaining counts from when the entry was written. That time is unknown
		// but no later than now, so ColdUntil may be late but not early. A restored entry
		// may be from before the endpoint became cold.
		if now.Before(t.settledAt) {
			s.ColdUntil = later(s.ColdUntil, now.Add(l.ColdRemaining))
		} else {
			s.ColdUntil = now.Add(l.ColdRemaining)
		}
		s.WrittenAt = writtenAt
	}
	s.heldDraining = !l.Draining && s.Lifetime.Draining && now.Before(t.settledAt)
	s.Lifetime, s.Presence, s.Absent = *l, Present, false
	s.Lifetime.Draining = l.Draining || s.heldDraining
}

// handleAbsent marks a lifetime whose entry has just disappeared as lapsed if
// the store failed within the last failureWindow, and as ended otherwise.
func (t *LifetimeTracker) handleAbsent(s *TrackedLifetime, now time.Time) {
	if last := t.LastFailure(); last.IsZero() || now.Sub(last) > failureWindow {
		t.markEnded(s, true, now)
		return
	}
	s.Presence, s.Deadline = Lapsed, now.Add(lapsedGrace)
}

// markEnded marks a lifetime as ended and starts its retention, unless it has
// ended already. The argument absent tells whether only its entry is missing.
func (t *LifetimeTracker) markEnded(s *TrackedLifetime, absent bool, now time.Time) {
	if s.Presence == Ended {
		s.Absent = s.Absent && absent
		return
	}
	s.Presence, s.Absent, s.Deadline = Ended, absent, now.Add(endedRetention)
}

// Tick ends lapsed lifetimes and removes ended ones whose deadlines have passed.
// No lapsed lifetime ends within lapsedGrace after a store failure, since its
// entry cannot reappear while the store fails, nor before a read that began after its
// deadline. Gaps between reads delay the end by failureWindow at most, since an instance
// that is cut off from its peers may always read that rarely.
func (t *LifetimeTracker) Tick(now time.Time) {
	readAt := now
	if !t.lastRead.IsZero() {
		readAt = t.lastRead
	}
	for key, s := range t.lifetimes {
		switch {
		case s.Presence == Lapsed && !readAt.Before(t.endOfLapse(s)):
			t.markEnded(s, true, now)
		case s.Presence == Ended && !now.Before(s.Deadline):
			delete(t.lifetimes, key)
		}
	}
}

// endOfLapse returns when s, which is lapsed, ends.
func (t *LifetimeTracker) endOfLapse(s *TrackedLifetime) time.Time {
	end := later(s.Deadline, t.lastFailure.Add(lapsedGrace))
	afterGap, latest := t.lastGap.Add(lapsedGrace), s.Deadline.Add(failureWindow)
	if afterGap.After(latest) {
		afterGap = latest
	}
	return later(end, afterGap)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldTolerance is the difference between two estimates of the end of a cold time that
// varying delays may cause.
const coldTolerance = 200 * time.Millisecond

// IsUrgent reports whether l, as read from its entry at now, limits the new flows of an
// endpoint that is taken to run: the endpoint has started again, or is cold for longer than
// known.
func (t *LifetimeTracker) IsUrgent(l *carawaycart.Lifetime, now time.Time) bool {
	urgent := false
	for key, s := range t.lifetimes {
		switch {
		case key.ID != l.ID || s.Presence == Ended && key.StartedAt < l.StartedAt:
		case key.StartedAt > l.StartedAt:
			return false // the entry is late or that of another writer
		case key.StartedAt == l.StartedAt:
			return l.ColdRemaining > 0 && now.Add(l.ColdRemaining-coldTolerance).After(s.ColdUntil)
		default:
			urgent = true
		}
	}
	return urgent
}

// MayChange reports whether the passing of time alone may change a lifetime, without a
// change of the directory: one that is lapsed, or that is held as draining.
func (t *LifetimeTracker) MayChange() bool {
	for _, s := range t.lifetimes {
		if s.Presence == Lapsed || s.heldDraining {
			return true
		}
	}
	return false
}

// EndedLifetime is a retained lifetime that has ended.
type EndedLifetime struct {
	// Lifetime holds only what identifies the endpoint and how it is reached.
	Lifetime carawaycart.Lifetime
	Absent   bool // see TrackedLifetime
}

// EndedLifetimes returns the retained lifetimes that have ended, in no particular
// order.
func (t *LifetimeTracker) EndedLifetimes() []EndedLifetime {
	var ended []EndedLifetime
	for key, s := range t.lifetimes {
		if s.Presence != Ended {
			continue
		}
		l := &s.Lifetime
		ended = append(ended, EndedLifetime{Absent: s.Absent, Lifetime: carawaycart.Lifetime{
			ID: key.ID, StartedAt: key.StartedAt, Number: l.Number, Service: l.Service, Zone: l.Zone, Address: l.Address,
		}})
	}
	return ended
}

// RecordEnded records lifetimes that a peer reports as ended, and reports whether
// any was new. It ignores lifetimes that are already tracked, ended or not.
func (t *LifetimeTracker) RecordEnded(ended []EndedLifetime, now time.Time) bool {
	added := false
	for _, e := range ended {
		if t.lifetimes[e.Lifetime.Key()] != nil {
			continue
		}
		added = true
		t.lifetimes[e.Lifetime.Key()] = &TrackedLifetime{
			Lifetime: e.Lifetime, Presence: Ended, Absent: e.Absent, Deadline: now.Add(endedRetention),
		}
	}
	return added
}

// ForEach calls f with each tracked lifetime, in no particular order.
func (t *LifetimeTracker) ForEach(f func(*TrackedLifetime)) {
	for _, s := range t.lifetimes {
		f(s)
	}
}
