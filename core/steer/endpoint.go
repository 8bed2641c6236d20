package steer

import (
	"slices"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/core/placement"
)

// endpoint is one lifetime in a Table. It is immutable except for state, which all
// tables that contain the lifetime share.
type endpoint struct {
	lifetime  carawaycart.Lifetime
	token     carawaycart.Token
	presence  directory.Presence
	absent    bool                // see directory.TrackedLifetime
	coldUntil time.Time           // end of the cold time; in the past if the endpoint is warm
	coldShare placement.ColdShare // zero if the endpoint was warm when the table was built
	// warmupUntil is the end of the warm-up after the cold time, during which other
	// endpoints are preferred. It is zero without a profile.
	warmupUntil time.Time
	state       *state
	// successor is the latest lifetime of the endpoint, if this one has ended and flows with
	// its token may be open there; nil otherwise.
	successor *endpoint
}

// succeeds reports whether flows with the token of old may be open at e. The endpoint has
// started again, and instances that did not know it yet have opened flows at its address
// with the token of the lifetime before. An endpoint does not tell its lifetimes apart by
// packets, and resets flows that it does not hold itself.
func (e *endpoint) succeeds(old *endpoint) bool {
	l, before := &e.lifetime, &old.lifetime
	return l.ID == before.ID && l.StartedAt > before.StartedAt && l.Address == before.Address && l.Service == before.Service
}

// newEndpoint returns the endpoint for the lifetime s, whose zone makes it cold until
// zoneColdUntil. The argument previous is the endpoint of the same lifetime in the preceding
// table, or nil.
func newEndpoint(s *directory.TrackedLifetime, previous *endpoint, zoneColdUntil time.Time) *endpoint {
	e := &endpoint{lifetime: s.Lifetime, presence: s.Presence, absent: s.Absent, coldUntil: s.ColdUntil}
	if previous != nil {
		e.state = previous.state
	} else {
		e.state = &state{}
	}
	if zoneColdUntil.After(e.coldUntil) {
		e.coldUntil = zoneColdUntil
	}
	return e
}

// maxInheritedFlows limits the flows that inheritFlows takes over. No share is that large.
const maxInheritedFlows = 100

// inheritFlows counts the flows that were lately forwarded to the lifetime before, if that is
// not nil and e succeeds it, as forwarded to e at now: the endpoint may have taken them since
// it started again.
func (e *endpoint) inheritFlows(before *endpoint, now time.Time) {
	if before == nil || !e.succeeds(before) {
		return
	}
	before.state.mu.Lock()
	n := min(before.state.flows.Recent(now), maxInheritedFlows)
	before.state.mu.Unlock()
	e.state.recentColdFlows = slices.Repeat([]time.Time{now}, n)
}

// candidate returns the state of e as a candidate for a new flow at now through an
// instance in zone, and whether its silence is outdated. It leaves Tried unset.
func (e *endpoint) candidate(zone carawaycart.ZoneID, now time.Time) (c placement.Candidate, outdated bool) {
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	c = placement.Candidate{
		Outstanding: s.opening + s.waiting, Open: s.open, RequestSlots: e.lifetime.RequestSlots,
		SameZone: e.lifetime.Zone == zone, Lapsed: e.presence == directory.Lapsed,
		Avoided: s.timeouts > 0 && (now.Before(s.avoidUntil) || s.opening > 0),
		Silent:  s.isSilentLocked(now), Failing: now.Before(s.rejectingUntil) || s.outcomeCounts.failing(now),
	}
	if s.permitsShared {
		c.NoPermit, c.Slowness = c.Failing || s.permitsUsedLocked() >= s.requestLimitLocked(), s.slowness
	}
	outdated = s.silent && !c.Silent
	c.Avoided = c.Avoided || outdated
	c.Cold = now.Before(e.warmupUntil)
	if now.Before(e.coldUntil) {
		c.Cold = true
		c.AtColdLimit = !e.coldShare.Allows(s.recentColdFlows, s.coldFlows, now)
	}
	if s.restarted && now.Before(s.restartedUntil) {
		c.AtColdLimit = true // its share is unknown until its entry is
	}
	return c, outdated
}

// recordFlow records that the first packet of a flow is sent to e at now, and counts
// the packet as opening.
func (e *endpoint) recordFlow(now time.Time) {
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening++
	s.flows.Record(now)
	if now.Before(e.coldUntil) {
		s.recentColdFlows = e.coldShare.Record(s.recentColdFlows, now)
		s.coldFlows++
	} else {
		s.coldFlows = 0
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

	// MaxProbePeriod is the longest time between two probes of a silent endpoint.
	MaxProbePeriod = 1600 * time.Millisecond
	// SilenceSlack covers the time that a probe takes, with delays of its sender.
	SilenceSlack = 400 * time.Millisecond

	// restartNoticePeriod is how long an endpoint that is found to have started again gets no
	// new flows, unless its entry is known before. It covers a read if the store answers, and
	// a usual cold time otherwise.
	restartNoticePeriod = 3 * time.Second

	// peerProbeSpan is the time that a peer needs to find an endpoint silent, with two
	// probes, and to report it.
	peerProbeSpan = 400 * time.Millisecond

	// silenceReportPeriod is the time after the report of a peer during which the
	// peers of the zone need no other report of the same endpoint.
	silenceReportPeriod = 2 * time.Second
)

// state holds what an instance has observed of one lifetime of an endpoint. It is safe
// for concurrent use.
type state struct {
	mu           sync.Mutex
	opening      int  // number of first packets that may still be answered
	waiting      int  // number of unanswered requests that were not abandoned
	overdue      int  // number of those of waiting whose answer timeout has passed
	open         int  // number of tracked open flows, except those whose request was abandoned
	timeouts     int  // number of timeouts of first packets or requests since the last answer
	failedProbes int  // number of probes that failed since the last answer
	silent       bool // whether the endpoint answered neither packets nor probes; see isSilent
	// dataUnansweredAt is when data on an open flow was last found unanswered, or zero if the
	// endpoint has answered since or its failed probes are of another time. An endpoint may
	// refuse connections because it is full and still serve its flows.
	dataUnansweredAt time.Time
	probeFailedAt    time.Time // when the last probe failed
	refused          bool      // whether it failed because nothing listens at the address
	// silenceReportedAt is when a peer last reported the endpoint as silent.
	silenceReportedAt time.Time
	avoidUntil        time.Time // end of the avoidance after the last timeout; zero after an answer
	// restarted tells whether a later lifetime has answered a probe, here or at a peer, so
	// that the endpoint gets no new flows until restartedUntil.
	restarted       bool
	restartedUntil  time.Time
	answeredAt      time.Time             // when the endpoint last answered
	recentColdFlows []time.Time           // when the latest flows were forwarded to it while cold
	coldFlows       int                   // number of flows that were forwarded to it since it became cold
	outcomeCounts   outcomeCounts         // outcomes of requests, observed locally and reported by peers
	unreported      Outcomes              // local outcomes that have not been reported to peers
	flows           placement.FlowCounter // flows that were forwarded to it
	permitsShared   bool                  // whether the permits of the service are shared out
	permits         int                   // permits of this instance, if permitsShared
	answerTime      averageTime           // time in which it has answered requests lately
	slowness        float64               // see placement.Candidate, if permitsShared
	rejectingUntil  time.Time             // until when it counts as rejecting, unless that is found again
}

// setPermits records the permits that the instance holds for the endpoint, if those of the
// service are shared out, and compares its answer times at now with the mean of the service.
func (s *state) setPermits(shared bool, permits int, mean time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permitsShared, s.permits, s.slowness = shared, permits, s.answerTime.relativeTo(mean, now)
}

// clearPermits records that the permits of the service are not shared out.
func (s *state) clearPermits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permitsShared, s.permits, s.slowness = false, 0, 0
}

// recordAnswerTime records at now that the endpoint has answered a request in the time took.
func (s *state) recordAnswerTime(took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerTime.record(took, now)
}

// setRejecting records at now whether the endpoint rejects more requests than others. The record
// expires, so that it does not outlast the evaluations if the routing configuration ends them.
func (s *state) setRejecting(rejecting bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectingUntil = time.Time{}
	if rejecting {
		s.rejectingUntil = now.Add(5 * allocationPeriod)
	}
}

// isRejecting reports whether the endpoint counts as rejecting at now.
func (s *state) isRejecting(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.rejectingUntil)
}

// permitsUsedLocked returns the number of requests in progress that use a permit. An overdue one
// does not: its caller may have been reset by the endpoint, which this instance cannot see.
// s.mu must be held.
func (s *state) permitsUsedLocked() int { return s.opening + s.waiting - s.overdue }

// adjustOverdue adds n to the number of overdue requests.
func (s *state) adjustOverdue(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overdue += n
}

// permitUse returns the number of requests that the instance may have in progress at the
// endpoint by its permits, and of those that it has. Both are zero if the permits of the service
// are not shared out.
func (s *state) permitUse() (limit, used int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.permitsShared {
		return 0, 0
	}
	return s.requestLimitLocked(), s.permitsUsedLocked()
}

// requestLimitLocked returns the limit of permitUse if the permits are shared out. s.mu must be
// held.
func (s *state) requestLimitLocked() int {
	if s.slowness >= slowSlowness {
		return s.permits
	}
	return requestsPerPermit * s.permits
}

// outstanding returns the number of requests and first packets that wait for an answer.
func (s *state) outstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opening + s.waiting
}

// recordRestart records at now that a later lifetime has answered a probe, so that the
// endpoint answers but may be cold. It reports whether that was not known.
func (s *state) recordRestart(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.restarted && now.Before(s.restartedUntil)
	s.failedProbes, s.silent = 0, false
	s.restarted, s.restartedUntil = true, now.Add(restartNoticePeriod)
	return !known
}

// recordPeerRestart records at now that a later lifetime has answered a probe of a peer,
// which says nothing of the own path to the endpoint.
func (s *state) recordPeerRestart(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.restarted || !now.Before(s.restartedUntil) {
		s.restarted, s.restartedUntil = true, now.Add(restartNoticePeriod)
	}
}

// recordShort adds a short response, whose answer is recorded by recordOutcomes, to the
// outcomes to report to peers.
func (s *state) recordShort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreported.Short++
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

// flushOutcomes returns the outcomes, without Token, that have not been reported to
// peers, and counts them as reported.
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
	s.clearLocked(now)
	return recovered
}

// clearLocked records an answer at now, after which nothing speaks against the endpoint.
// s.mu must be held.
func (s *state) clearLocked(now time.Time) {
	s.timeouts, s.failedProbes, s.silent, s.dataUnansweredAt, s.avoidUntil, s.answeredAt = 0, 0, false, time.Time{}, time.Time{}, now
}

// recordUnansweredData records at now that data that was sent on an open flow at sent is
// unanswered, unless the endpoint has answered anything since, and reports whether it did.
func (s *state) recordUnansweredData(sent, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt.After(sent) {
		return false
	}
	s.dataUnansweredAt = now
	return true
}

// isDead reports whether the endpoint is silent at now and has left data on an open flow
// unanswered too, so that its open flows are lost.
func (s *state) isDead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.dataUnansweredAt.IsZero() && s.isSilentLocked(now)
}

// answeredSince reports whether the endpoint has answered anything after when.
func (s *state) answeredSince(when time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt.After(when)
}

// recordTimeout records at now that a packet sent at sent is unanswered. It returns
// the time for which the endpoint is avoided and whether it is to be probed. If the
// endpoint has answered anything since sent, it records nothing and returns zero.
func (s *state) recordTimeout(sent, now time.Time) (period time.Duration, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt.After(sent) {
		return 0, false
	}
	period = minAvoidance << min(s.timeouts, maxAvoidanceDoublings)
	s.timeouts++
	s.avoidUntil = now.Add(period)
	return period, s.timeouts >= timeoutsBeforeProbe && !s.isSilentLocked(now)
}

// recordProbe records at now the outcome of a probe that began at began. It reports whether
// the endpoint became silent or stopped being silent. An endpoint is silent if it answers neither failedProbesBeforeSilent
// consecutive probes nor anything else meanwhile.
func (s *state) recordProbe(outcome ProbeOutcome, began, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case outcome == ProbeAnswered:
		changed = s.silent
		s.clearLocked(now)
	case s.answeredAt.After(began):
		s.failedProbes = 0
	default:
		s.forgetOutdated(now)
		s.failedProbes++
		s.probeFailedAt, s.refused = now, outcome == ProbeRefused
		changed = !s.silent && s.failedProbes >= failedProbesBeforeSilent
		s.silent = s.silent || changed
	}
	return changed
}

// recordPeerSilence records at now that a peer has found the endpoint silent, and reports
// whether it is to be probed, which it is unless it is silent already. The report counts
// as a failed probe only if the endpoint has answered nothing here while the peer probed
// it: otherwise the path of the peer is at fault.
func (s *state) recordPeerSilence(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isSilentLocked(now) {
		return false
	}
	s.silenceReportedAt = now
	if now.Sub(s.answeredAt) > peerProbeSpan {
		s.failedProbes = max(s.failedProbes, failedProbesBeforeSilent-1)
	}
	return true
}

// forgetOutdated forgets failed probes, here and at peers, and unanswered data that are too
// old at now to count together with a probe that has just failed. s.mu must be held.
func (s *state) forgetOutdated(now time.Time) {
	const retention = MaxProbePeriod + SilenceSlack
	if now.Sub(s.probeFailedAt) <= retention {
		return
	}
	if now.Sub(s.silenceReportedAt) > retention {
		s.failedProbes, s.silent = 0, false
	}
	if now.Sub(s.dataUnansweredAt) > retention {
		s.dataUnansweredAt = time.Time{}
	}
}

// reportedSilent reports whether a peer has found the endpoint silent within
// silenceReportPeriod before now.
func (s *state) reportedSilent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silenceReportedAt.IsZero() && now.Sub(s.silenceReportedAt) < silenceReportPeriod
}

// needsProbe reports whether the endpoint has to be probed again, because it is
// silent or its last probe failed.
func (s *state) needsProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent || s.failedProbes > 0
}

// isSilent reports whether the endpoint answers neither packets nor probes at now. It
// does not rely on the next probe to end the silence: probes cease when the lifetime
// ends, and the lifetime may return. Silence whose last failed probe is older than the
// time to the next one is therefore outdated, and the endpoint has to be probed again.
func (s *state) isSilent(now time.Time) (silent, outdated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent = s.isSilentLocked(now)
	return silent, s.silent && !silent
}

// isGone reports whether an endpoint whose entry is missing is silent at now, and whether it is
// gone, since nothing listens at its address or it has left data on an open flow unanswered.
// It also reports whether the endpoint has to be probed because it has lately answered neither
// a packet nor a probe.
func (s *state) isGone(now time.Time) (silent, gone, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent = s.isSilentLocked(now)
	return silent, silent && (s.refused || !s.dataUnansweredAt.IsZero()), !silent && now.Sub(s.answeredAt) > MaxProbePeriod
}

// outdateSilence makes the silence of the endpoint, if any, outdated, and reports whether
// the endpoint has to be probed.
func (s *state) outdateSilence() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probeFailedAt = time.Time{}
	return s.silent || s.failedProbes > 0
}

// isSilentLocked is like isSilent, but s.mu must be held.
func (s *state) isSilentLocked(now time.Time) bool {
	return s.silent && now.Sub(s.probeFailedAt) <= MaxProbePeriod+SilenceSlack
}

// adjustCounts adds the arguments to the counts of the same names.
func (s *state) adjustCounts(opening, waiting, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening += opening
	s.waiting += waiting
	s.open += open
}
