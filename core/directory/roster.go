package directory

import (
	"net/netip"
	"time"

	"carawaycart"
)

// Presence is the state of a lifetime as derived from the store.
type Presence uint8

// The presences, in the order in which a lifetime passes through them.
const (
	Present Presence = iota // its entry is in the store
	Lapsed                  // its entry is absent, which does not yet prove that it ended
	Ended                   // the endpoint has stopped, started again or lost its address
)

const (
	// lapsedGrace is how long a lapsed entry has to reappear. The platform
	// promises that this takes about 2 s.
	lapsedGrace = 2500 * time.Millisecond
	// failureWindow is how long after a store failure an absent entry counts as
	// lapsed instead of ended.
	failureWindow = 8 * time.Second
	// endedRetention is how long ended lifetimes are retained. The platform's
	// flows last 60 s.
	endedRetention = 70 * time.Second
)

// Seen is a tracked lifetime with its presence.
type Seen struct {
	Lifetime  carawaycart.Lifetime
	Presence  Presence
	Revision  carawaycart.StoreRevision // of the entry that Lifetime was read from
	ColdUntil time.Time                 // when the endpoint stops being cold
	Deadline  time.Time                 // when a lapsed lifetime ends or an ended one is removed
}

// Roster tracks the presence of lifetimes across successive contents of a
// directory; it is not safe for concurrent use.
type Roster struct {
	lifetimes   map[carawaycart.LifetimeKey]*Seen
	lastFailure time.Time // when the store last failed, as far as known
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{lifetimes: make(map[carawaycart.LifetimeKey]*Seen)}
}

// Trouble records that the store failed to answer properly at now.
func (r *Roster) Trouble(now time.Time) { r.lastFailure = now }

// Update applies the contents of the directory as of now.
func (r *Roster) Update(c *Contents, now time.Time) {
	bornByID := make(map[carawaycart.EndpointID]carawaycart.UnixMillis, len(c.Lifetimes))
	newestByAddress := make(map[netip.AddrPort]carawaycart.UnixMillis, len(c.Lifetimes))
	for _, l := range c.Lifetimes {
		bornByID[l.ID] = l.Born
		newestByAddress[l.Address] = max(newestByAddress[l.Address], l.Born)
		r.record(l, c.Revisions[l.Key()], now)
	}
	for key, s := range r.lifetimes {
		born, listed := bornByID[key.ID]
		switch {
		case s.Lifetime.Born < newestByAddress[s.Lifetime.Address]:
			r.markEnded(s, now) // the address is reassigned only after its previous owner has ended
		case listed && born == key.Born:
		case listed:
			r.markEnded(s, now) // the endpoint has restarted
		case s.Presence == Present:
			r.handleAbsent(s, now)
		}
	}
	r.Tick(now)
}

// record marks the lifetime of an existing entry as present.
func (r *Roster) record(l *carawaycart.Lifetime, revision carawaycart.StoreRevision, now time.Time) {
	s := r.lifetimes[l.Key()]
	if s == nil {
		s = &Seen{}
		r.lifetimes[l.Key()] = s
	}
	if s.Revision != revision {
		// The remaining cold time counts from when the entry was written, which
		// was no later than now.
		s.ColdUntil = now.Add(l.ColdLeft)
		s.Revision = revision
	}
	s.Lifetime, s.Presence = *l, Present
}

// handleAbsent marks a lifetime whose entry has just disappeared as lapsed if
// the store failed recently, and as ended otherwise.
func (r *Roster) handleAbsent(s *Seen, now time.Time) {
	if r.lastFailure.IsZero() || now.Sub(r.lastFailure) > failureWindow {
		r.markEnded(s, now)
		return
	}
	s.Presence, s.Deadline = Lapsed, now.Add(lapsedGrace)
}

// markEnded marks a lifetime as ended, unless it is, and starts its retention.
func (r *Roster) markEnded(s *Seen, now time.Time) {
	if s.Presence == Ended {
		return
	}
	s.Presence, s.Deadline = Ended, now.Add(endedRetention)
}

// Tick ends lapsed lifetimes and removes ended ones whose deadlines have passed.
// While the store is failing no lapsed lifetime ends, since its entry could not
// reappear.
func (r *Roster) Tick(now time.Time) {
	for key, s := range r.lifetimes {
		switch {
		case s.Presence == Lapsed && !now.Before(later(s.Deadline, r.lastFailure.Add(lapsedGrace))):
			r.markEnded(s, now)
		case s.Presence == Ended && !now.Before(s.Deadline):
			delete(r.lifetimes, key)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Lapsing reports whether any lifetime is lapsed, so that Tick may end it without
// an Update.
func (r *Roster) Lapsing() bool {
	for _, s := range r.lifetimes {
		if s.Presence == Lapsed {
			return true
		}
	}
	return false
}

// Ended returns the retained lifetimes that have ended, in no particular order.
func (r *Roster) Ended() []carawaycart.LifetimeKey {
	var keys []carawaycart.LifetimeKey
	for key, s := range r.lifetimes {
		if s.Presence == Ended {
			keys = append(keys, key)
		}
	}
	return keys
}

// Remember records lifetimes that a peer reports as ended, and reports whether
// any was new. It ignores lifetimes that the roster already tracks.
func (r *Roster) Remember(keys []carawaycart.LifetimeKey, now time.Time) bool {
	added := false
	for _, key := range keys {
		if r.lifetimes[key] != nil {
			continue
		}
		added = true
		r.lifetimes[key] = &Seen{
			Lifetime: carawaycart.Lifetime{ID: key.ID, Born: key.Born}, Presence: Ended, Deadline: now.Add(endedRetention),
		}
	}
	return added
}

// All calls f with each tracked lifetime, in no particular order.
func (r *Roster) All(f func(*Seen)) {
	for _, s := range r.lifetimes {
		f(s)
	}
}
