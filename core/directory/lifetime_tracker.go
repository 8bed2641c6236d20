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
	Lapsed                  // its entry disappeared, but the endpoint may still be running
	Ended                   // the endpoint has stopped, started again or lost its address
)

const (
	// lapsedGrace is how long the tracker waits for a lapsed entry to reappear
	// before the lifetime counts as ended. The platform promises that this takes
	// about 2 s.
	lapsedGrace = 2500 * time.Millisecond
	// failureWindow is how long after a store failure an entry that disappears
	// counts as lapsed instead of ended.
	failureWindow = 8 * time.Second
	// endedRetention is how long ended lifetimes are retained. It exceeds the
	// 60 s for which their flows may last on the platform.
	endedRetention = 70 * time.Second
)

// Seen is a tracked lifetime with its presence. If only a peer has reported the
// lifetime, Lifetime holds just its key, and Revision and ColdUntil are zero.
type Seen struct {
	Lifetime carawaycart.Lifetime
	Presence Presence
	// Revision is that of the store item from which Lifetime was read.
	Revision carawaycart.StoreRevision
	// ColdUntil is when the endpoint stops being cold. A cold endpoint has
	// recently started and receives only limited load.
	ColdUntil time.Time
	// Deadline is when a lapsed lifetime ends or an ended one is removed. It has
	// no meaning for a present one.
	Deadline time.Time
}

// Roster tracks the presence of lifetimes across successive contents of a
// directory; it is not safe for concurrent use.
type Roster struct {
	lifetimes   map[carawaycart.LifetimeKey]*Seen
	lastFailure time.Time // latest known failure of the store; zero if none
}

// NewRoster returns a tracker without lifetimes.
func NewRoster() *Roster {
	return &Roster{lifetimes: make(map[carawaycart.LifetimeKey]*Seen)}
}

// Trouble records a store failure at now, such as a read that failed.
func (t *Roster) Trouble(now time.Time) { t.lastFailure = now }

// Update applies the contents of the directory as of now, and then does what Tick
// does.
func (t *Roster) Update(c *Contents, now time.Time) {
	bornByID := make(map[carawaycart.EndpointID]carawaycart.UnixMillis, len(c.Lifetimes))
	newestByAddress := make(map[netip.AddrPort]carawaycart.UnixMillis, len(c.Lifetimes))
	for _, l := range c.Lifetimes {
		bornByID[l.ID] = l.Born
		newestByAddress[l.Address] = max(newestByAddress[l.Address], l.Born)
		t.record(l, c.Revisions[l.Key()], now)
	}
	for key, s := range t.lifetimes {
		born, listed := bornByID[key.ID]
		switch {
		case s.Lifetime.Born < newestByAddress[s.Lifetime.Address]:
			t.markEnded(s, now) // the address is reassigned only after its previous owner has ended
		case listed && born == key.Born:
		case listed:
			t.markEnded(s, now) // the endpoint has restarted
		case s.Presence == Present:
			t.handleAbsent(s, now)
		}
	}
	t.Tick(now)
}

// record marks l, which was read from an item with the given revision, as present.
func (t *Roster) record(l *carawaycart.Lifetime, revision carawaycart.StoreRevision, now time.Time) {
	s := t.lifetimes[l.Key()]
	if s == nil {
		s = &Seen{}
		t.lifetimes[l.Key()] = s
	}
	if s.Revision != revision {
		// ColdLeft counts from when the entry was written. That time is unknown
		// but no later than now, so ColdUntil may be late but not early.
		s.ColdUntil = now.Add(l.ColdLeft)
		s.Revision = revision
	}
	s.Lifetime, s.Presence = *l, Present
}

// handleAbsent marks a lifetime whose entry has just disappeared as lapsed if
// the store failed within the last failureWindow, and as ended otherwise.
func (t *Roster) handleAbsent(s *Seen, now time.Time) {
	if t.lastFailure.IsZero() || now.Sub(t.lastFailure) > failureWindow {
		t.markEnded(s, now)
		return
	}
	s.Presence, s.Deadline = Lapsed, now.Add(lapsedGrace)
}

// markEnded marks a lifetime as ended and starts its retention, unless it has
// ended already.
func (t *Roster) markEnded(s *Seen, now time.Time) {
	if s.Presence == Ended {
		return
	}
	s.Presence, s.Deadline = Ended, now.Add(endedRetention)
}

// Tick ends lapsed lifetimes and removes ended ones whose deadlines have passed.
// No lapsed lifetime ends within lapsedGrace after a store failure, since its
// entry cannot reappear while the store fails.
func (t *Roster) Tick(now time.Time) {
	for key, s := range t.lifetimes {
		switch {
		case s.Presence == Lapsed && !now.Before(later(s.Deadline, t.lastFailure.Add(lapsedGrace))):
			t.markEnded(s, now)
		case s.Presence == Ended && !now.Before(s.Deadline):
			delete(t.lifetimes, key)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Lapsing reports whether any lifetime is lapsed. If so, the passing of time alone
// may end it, without a change of the directory.
func (t *Roster) Lapsing() bool {
	for _, s := range t.lifetimes {
		if s.Presence == Lapsed {
			return true
		}
	}
	return false
}

// Ended returns the retained lifetimes that have ended, in no particular order.
func (t *Roster) Ended() []carawaycart.LifetimeKey {
	var keys []carawaycart.LifetimeKey
	for key, s := range t.lifetimes {
		if s.Presence == Ended {
			keys = append(keys, key)
		}
	}
	return keys
}

// Remember records lifetimes that a peer reports as ended, and reports whether
// any was new. It ignores lifetimes that are already tracked, ended or not.
func (t *Roster) Remember(keys []carawaycart.LifetimeKey, now time.Time) bool {
	added := false
	for _, key := range keys {
		if t.lifetimes[key] != nil {
			continue
		}
		added = true
		t.lifetimes[key] = &Seen{
			Lifetime: carawaycart.Lifetime{ID: key.ID, Born: key.Born}, Presence: Ended, Deadline: now.Add(endedRetention),
		}
	}
	return added
}

// All calls f with each tracked lifetime, in no particular order.
func (t *Roster) All(f func(*Seen)) {
	for _, s := range t.lifetimes {
		f(s)
	}
}
