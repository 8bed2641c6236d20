package steer

import (
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

// endpoint is one lifetime in a Table. It does not change; what is learnt about
// the lifetime stands in record, which later tables share.
type endpoint struct {
	lifetime  carawaycart.Lifetime
	token     carawaycart.Token
	presence  directory.Presence
	coldUntil time.Time
	coldShare ColdShare
	warmUntil time.Time // after the cold time, while its profile favours others
	returning time.Time // its zone was taken back; entries from before this may be old
	record    *record
}

// returnCold is how long the endpoints of a zone that comes back count as cold
// at least: their entries may be a heartbeat and a read old.
const returnCold = 3 * time.Second

// newEndpoint returns the endpoint for s at now. Previous is the same lifetime
// in the table before, or nil; returned tells that its zone was just taken back.
func newEndpoint(s *directory.Seen, previous *endpoint, returned bool, now time.Time) *endpoint {
	e := &endpoint{lifetime: s.Lifetime, presence: s.Presence, coldUntil: s.ColdUntil}
	if previous != nil {
		e.record, e.returning = previous.record, previous.returning
	} else {
		e.record = &record{}
	}
	if returned {
		e.returning = now.Add(returnCold)
	}
	if e.returning.After(e.coldUntil) {
		e.coldUntil = e.returning
	}
	return e
}

// candidate returns how the endpoint stands for a new flow at now.
func (e *endpoint) candidate(zone carawaycart.ZoneID, now time.Time) Candidate {
	r := e.record
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Candidate{
		Outstanding: r.opening + r.waiting, Open: r.open, Slots: e.lifetime.Slots,
		SameZone: e.lifetime.Zone == zone, Lapsed: e.presence == directory.Lapsed,
		Avoided: r.misses > 0 && (now.Before(r.avoid) || r.opening > 0),
		Silent:  r.silent, Failing: r.tally.failing(now),
	}
	c.Cold = now.Before(e.warmUntil)
	if now.Before(e.coldUntil) {
		c.Cold = true
		c.Full = !e.coldShare.Allows(r.taken, r.coldSum, now)
	}
	return c
}

// take notes that a new flow was given to the endpoint at now.
func (e *endpoint) take(now time.Time) {
	r := e.record
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opening++
	if now.Before(e.coldUntil) {
		r.taken = e.coldShare.Note(r.taken, now)
		r.coldSum++
	} else {
		r.coldSum = 0
	}
}

const (
	firstAvoidance = 500 * time.Millisecond
	maxDoublings   = 3
	doubtMisses    = 2 // in a row, after which the endpoint is probed
	silentProbes   = 2 // in a row without an answer, after which it is silent
)

// record is what an instance has learnt of one lifetime.
type record struct {
	mu       sync.Mutex
	opening  int // first packets that may still be answered
	waiting  int // requests that were not answered yet
	open     int // flows known here
	misses   int // first packets or requests in a row that went unanswered
	probes   int // in a row that went unanswered
	silent   bool
	avoid    time.Time
	answered time.Time
	taken    []time.Time // when it was given flows while cold, lately
	coldSum  int         // flows that it was given while cold
	tally    tally       // of requests, seen here and by peers
	unshared Outcomes    // seen here and not told to peers
}

// outcome notes outcomes that were seen here at now.
func (r *record) outcome(failed, answered int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.add(float64(failed), float64(answered), now)
	r.unshared.Failed += failed
	r.unshared.Answered += answered
}

// told notes outcomes that a peer has seen.
func (r *record) told(failed, answered float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.add(failed, answered, now)
}

// takeOutcomes returns what was not told to peers yet.
func (r *record) takeOutcomes() Outcomes {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.unshared
	r.unshared = Outcomes{}
	return o
}

// answer notes that the endpoint has answered at now, and reports whether it
// was in doubt.
func (r *record) answer(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	doubt := r.misses > 0
	r.misses, r.probes, r.silent, r.avoid, r.answered = 0, 0, false, time.Time{}, now
	return doubt
}

// answeredSince reports whether the endpoint has answered anything since when.
func (r *record) answeredSince(when time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered.After(when)
}

// miss notes that something sent at sent was unanswered at now, and returns how
// long the endpoint is avoided, zero if an answer came since, and whether it is
// to be probed.
func (r *record) miss(sent, now time.Time) (period time.Duration, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered.After(sent) {
		return 0, false
	}
	period = firstAvoidance << min(r.misses, maxDoublings)
	r.misses++
	r.avoid = now.Add(period)
	return period, r.misses >= doubtMisses && !r.silent
}

// probed notes the outcome of a probe that began at began: the endpoint is
// silent if it answered neither two probes nor anything else since the first.
func (r *record) probed(alive bool, began, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case alive:
		changed = r.silent
		r.misses, r.probes, r.silent, r.avoid, r.answered = 0, 0, false, time.Time{}, now
	case r.answered.After(began):
		r.probes = 0
	default:
		r.probes++
		changed = !r.silent && r.probes >= silentProbes
		r.silent = r.silent || changed
	}
	return changed
}

// doubted reports whether the endpoint has to be probed again.
func (r *record) doubted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent || r.probes > 0
}

// isSilent reports whether the endpoint answers nothing.
func (r *record) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

// adjust changes the counts of what is outstanding.
func (r *record) adjust(opening, waiting, open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opening += opening
	r.waiting += waiting
	r.open += open
}
