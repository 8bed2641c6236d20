package steer

import (
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

// endpoint is one lifetime in a Table. It is immutable except for state, which is
// shared with later tables.
type endpoint struct {
	lifetime        carawaycart.Lifetime
	token           carawaycart.Token
	presence        directory.Presence
	coldUntil       time.Time
	coldShare       ColdShare
	warmUntil       time.Time // end of the warm-up after the cold time, during which other endpoints are preferred
	returnColdUntil time.Time // end of returnColdPeriod after the return of the zone
	state           *state
}

// returnColdPeriod is the minimum time for which the endpoints of a returning zone
// count as cold. Their entries may be outdated by a heartbeat and a read, and miss
// that the endpoints have become cold.
const returnColdPeriod = 3 * time.Second

// newEndpoint returns the endpoint for s at now. Previous is the same lifetime in
// the preceding table, or nil; returned reports whether its zone has just
// returned.
func newEndpoint(s *directory.Seen, previous *endpoint, returned bool, now time.Time) *endpoint {
	e := &endpoint{lifetime: s.Lifetime, presence: s.Presence, coldUntil: s.ColdUntil}
	if previous != nil {
		e.state, e.returnColdUntil = previous.state, previous.returnColdUntil
	} else {
		e.state = &state{}
	}
	if returned {
		e.returnColdUntil = now.Add(returnColdPeriod)
	}
	if e.returnColdUntil.After(e.coldUntil) {
		e.coldUntil = e.returnColdUntil
	}
	return e
}

// candidate returns the state of e as a Candidate for a new flow at now, for an
// instance in zone.
func (e *endpoint) candidate(zone carawaycart.ZoneID, now time.Time) Candidate {
	r := e.state
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Candidate{
		Outstanding: r.opening + r.waiting, Open: r.open, Slots: e.lifetime.Slots,
		SameZone: e.lifetime.Zone == zone, Lapsed: e.presence == directory.Lapsed,
		Avoided: r.timeouts > 0 && (now.Before(r.avoidUntil) || r.opening > 0),
		Silent:  r.silent, Failing: r.outcomeCounts.failing(now),
	}
	c.Cold = now.Before(e.warmUntil)
	if now.Before(e.coldUntil) {
		c.Cold = true
		c.Full = !e.coldShare.Allows(r.recentColdFlows, r.coldFlows, now)
	}
	return c
}

// recordFlow records that the first packet of a flow is sent to e at now.
func (e *endpoint) recordFlow(now time.Time) {
	r := e.state
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opening++
	if now.Before(e.coldUntil) {
		r.recentColdFlows = e.coldShare.Record(r.recentColdFlows, now)
		r.coldFlows++
	} else {
		r.coldFlows = 0
	}
}

const (
	// minAvoidance is the time for which an endpoint is avoided after its first
	// timeout. It doubles with every further timeout in a row, at most
	// maxAvoidanceDoublings times.
	minAvoidance             = 500 * time.Millisecond
	maxAvoidanceDoublings    = 3
	timeoutsBeforeProbe      = 2 // consecutive timeouts after which the endpoint is probed
	failedProbesBeforeSilent = 2 // consecutive failed probes after which the endpoint is silent
)

// state holds what an instance has measured of one lifetime. It is safe for
// concurrent use.
type state struct {
	mu              sync.Mutex
	opening         int // first packets that may still be answered
	waiting         int // requests that have not been answered yet
	open            int // open flows that the instance tracks
	timeouts        int // consecutive unanswered first packets or requests
	failedProbes    int // consecutive unanswered probes
	silent          bool
	avoidUntil      time.Time
	answeredAt      time.Time     // when the endpoint last answered
	recentColdFlows []time.Time   // when the latest flows were forwarded to it while cold
	coldFlows       int           // number of flows that were forwarded to it while cold
	outcomeCounts   outcomeCounts // outcomes of requests, observed locally and reported by peers
	unreported      Outcomes      // local outcomes that have not been reported to peers
}

// recordOutcomes adds outcomes that were observed locally at now.
func (s *state) recordOutcomes(failed, answered int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomeCounts.add(float64(failed), float64(answered), now)
	s.unreported.Failed += failed
	s.unreported.Answered += answered
}

// mergePeerOutcomes adds outcomes that a peer has reported. They are not reported
// to peers again.
func (s *state) mergePeerOutcomes(failed, answered float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomeCounts.add(failed, answered, now)
}

// flushOutcomes returns the outcomes that have not been reported to peers and resets
// them.
func (s *state) flushOutcomes() Outcomes {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.unreported
	s.unreported = Outcomes{}
	return o
}

// recordAnswer records an answer of the endpoint at now and reports whether timeouts
// preceded it.
func (s *state) recordAnswer(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recovered := s.timeouts > 0
	s.timeouts, s.failedProbes, s.silent, s.avoidUntil, s.answeredAt = 0, 0, false, time.Time{}, now
	return recovered
}

// answeredSince reports whether the endpoint has answered anything after when.
func (s *state) answeredSince(when time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt.After(when)
}

// recordTimeout records at now that a packet sent at sent is unanswered. It returns
// the time for which the endpoint is avoided, zero if it has answered anything since
// sent, and whether it is to be probed.
func (s *state) recordTimeout(sent, now time.Time) (period time.Duration, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt.After(sent) {
		return 0, false
	}
	period = minAvoidance << min(s.timeouts, maxAvoidanceDoublings)
	s.timeouts++
	s.avoidUntil = now.Add(period)
	return period, s.timeouts >= timeoutsBeforeProbe && !s.silent
}

// recordProbe records the outcome of a probe that began at began and reports whether
// the endpoint became silent or ceased to be. An endpoint is silent if it answers
// neither failedProbesBeforeSilent consecutive probes nor anything else meanwhile.
func (s *state) recordProbe(alive bool, began, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case alive:
		changed = s.silent
		s.timeouts, s.failedProbes, s.silent, s.avoidUntil, s.answeredAt = 0, 0, false, time.Time{}, now
	case s.answeredAt.After(began):
		s.failedProbes = 0
	default:
		s.failedProbes++
		changed = !s.silent && s.failedProbes >= failedProbesBeforeSilent
		s.silent = s.silent || changed
	}
	return changed
}

// needsProbe reports whether the endpoint has to be probed again, because it is
// silent or its last probe failed.
func (s *state) needsProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent || s.failedProbes > 0
}

// isSilent reports whether the endpoint answers neither packets nor probes.
func (s *state) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// adjustCounts adds the arguments to the counts of first packets without an answer,
// of requests without an answer, and of open flows.
func (s *state) adjustCounts(opening, waiting, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening += opening
	s.waiting += waiting
	s.open += open
}
