package directory

import (
	"net/netip"
	"time"

	"carawaycart"
)

// Presence tells whether a lifetime goes on.
type Presence uint8

// The presences, in the order in which a lifetime passes through them.
const (
	Present Presence = iota // its entry lies in the store
	Lapsed                  // its entry is missing, but that proves nothing yet
	Ended                   // it is over
)

const (
	returnPeriod  = 2500 * time.Millisecond // for lapsed entries to come back; the platform promises about 2 s
	troublePeriod = 8 * time.Second         // after which trouble of the store explains no missing entry
	memoryPeriod  = 70 * time.Second        // ended lifetimes are remembered; the platform's flows last 60 s
)

// Seen is a lifetime with its presence.
type Seen struct {
	Lifetime  carawaycart.Lifetime
	Presence  Presence
	Revision  carawaycart.StoreRevision // of the entry that Lifetime was read from
	ColdUntil time.Time
	Deadline  time.Time // a lapsed one ends, an ended one is forgotten
}

// Roster follows lifetimes through the contents of a directory; it is not safe
// for concurrent use.
type Roster struct {
	seen    map[carawaycart.LifetimeKey]*Seen
	trouble time.Time // the last time at which the store was known to be in trouble
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{seen: make(map[carawaycart.LifetimeKey]*Seen)}
}

// Trouble notes that the store did not answer as it should at now.
func (r *Roster) Trouble(now time.Time) { r.trouble = now }

// Update takes in the contents that were known at now.
func (r *Roster) Update(c *Contents, now time.Time) {
	current := make(map[carawaycart.EndpointID]carawaycart.UnixMillis, len(c.Lifetimes))
	youngest := make(map[netip.AddrPort]carawaycart.UnixMillis, len(c.Lifetimes))
	for _, l := range c.Lifetimes {
		current[l.ID] = l.Born
		youngest[l.Address] = max(youngest[l.Address], l.Born)
		r.note(l, c.Revisions[l.Key()], now)
	}
	for key, s := range r.seen {
		born, listed := current[key.ID]
		switch {
		case s.Lifetime.Born < youngest[s.Lifetime.Address]:
			r.end(s, now) // its address is another's, and is given out only after an end
		case listed && born == key.Born:
		case listed:
			r.end(s, now) // the endpoint has started again
		case s.Presence == Present:
			r.miss(s, now)
		}
	}
	r.Tick(now)
}

func (r *Roster) note(l *carawaycart.Lifetime, revision carawaycart.StoreRevision, now time.Time) {
	s := r.seen[l.Key()]
	if s == nil {
		s = &Seen{}
		r.seen[l.Key()] = s
	}
	if s.Revision != revision {
		// The rest of the cold time counts from when the entry was written,
		// which was no later than now.
		s.ColdUntil = now.Add(l.ColdLeft)
		s.Revision = revision
	}
	s.Lifetime, s.Presence = *l, Present
}

// miss decides about a lifetime whose entry has just gone missing.
func (r *Roster) miss(s *Seen, now time.Time) {
	if r.trouble.IsZero() || now.Sub(r.trouble) > troublePeriod {
		r.end(s, now)
		return
	}
	s.Presence, s.Deadline = Lapsed, now.Add(returnPeriod)
}

func (r *Roster) end(s *Seen, now time.Time) {
	if s.Presence == Ended {
		return
	}
	s.Presence, s.Deadline = Ended, now.Add(memoryPeriod)
}

// Tick lets deadlines pass. While the store is in trouble no lapsed lifetime
// ends, since its entry could not come back.
func (r *Roster) Tick(now time.Time) {
	for key, s := range r.seen {
		switch {
		case s.Presence == Lapsed && !now.Before(later(s.Deadline, r.trouble.Add(returnPeriod))):
			r.end(s, now)
		case s.Presence == Ended && !now.Before(s.Deadline):
			delete(r.seen, key)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Lapsing reports whether a deadline may change a presence without news.
func (r *Roster) Lapsing() bool {
	for _, s := range r.seen {
		if s.Presence == Lapsed {
			return true
		}
	}
	return false
}

// Ended returns the lifetimes that are remembered as ended.
func (r *Roster) Ended() []carawaycart.LifetimeKey {
	var keys []carawaycart.LifetimeKey
	for key, s := range r.seen {
		if s.Presence == Ended {
			keys = append(keys, key)
		}
	}
	return keys
}

// Remember takes in lifetimes that ended before the instance knew them, and
// reports whether any was new.
func (r *Roster) Remember(keys []carawaycart.LifetimeKey, now time.Time) bool {
	added := false
	for _, key := range keys {
		if r.seen[key] != nil {
			continue
		}
		added = true
		r.seen[key] = &Seen{
			Lifetime: carawaycart.Lifetime{ID: key.ID, Born: key.Born}, Presence: Ended, Deadline: now.Add(memoryPeriod),
		}
	}
	return added
}

// All calls f with each lifetime that is remembered, in no order.
func (r *Roster) All(f func(*Seen)) {
	for _, s := range r.seen {
		f(s)
	}
}
