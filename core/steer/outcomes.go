package steer

import (
	"math"
	"time"

	"carawaycart"
)

const (
	outcomeHalfLife = 4 * time.Second // half-life of the counted outcomes of an endpoint
	minFailures     = 1.9             // decayed count of failures from which an endpoint can be failing
	// maxFailureShare is the share of failed requests above which an endpoint is
	// failing. A queue that fills up by chance fails fewer.
	maxFailureShare = 0.3
	// maxPeerFailures bounds the failures that are merged from one report of a
	// peer, so that no single instance can make an endpoint count as failing.
	maxPeerFailures     = 1
	outcomeReportPeriod = 300 * time.Millisecond // minimum time between reports to peers
	maxPendingRequests  = 4096                   // bounds the requests that are tracked until they are answered
	abandonTimeout      = 3 * time.Second        // time after the answer timeout at which a request counts as abandoned by its caller
)

// Bounds of the timeout for answers to requests. Requests take longer than first
// packets, and their processing times vary widely.
const (
	minAnswerTimeout     = 150 * time.Millisecond
	maxAnswerTimeout     = time.Second
	initialAnswerTimeout = 500 * time.Millisecond
)

// outcomeCounts counts the outcomes of an endpoint's requests. The counts decay with
// outcomeHalfLife.
type outcomeCounts struct {
	failed, answered float64
	updatedAt        time.Time
}

// add decays the counts to now and adds the given outcomes.
func (c *outcomeCounts) add(failed, answered float64, now time.Time) {
	if !c.updatedAt.IsZero() {
		decay := math.Exp2(-float64(now.Sub(c.updatedAt)) / float64(outcomeHalfLife))
		c.failed *= decay
		c.answered *= decay
	}
	c.updatedAt = now
	c.failed += failed
	c.answered += answered
}

// failing reports whether the endpoint leaves too many requests unanswered at now.
func (c *outcomeCounts) failing(now time.Time) bool {
	if c.failed == 0 {
		return false
	}
	c.add(0, 0, now)
	return c.failed >= minFailures && c.failed > maxFailureShare*(c.failed+c.answered)
}

// Outcomes counts the failed and the answered requests of the endpoint with Token.
type Outcomes struct {
	Token    carawaycart.Token
	Failed   int
	Answered int
}

// pending is a request that had no answer when it was enqueued.
type pending struct {
	id          flowID
	requestedAt time.Time
	deadline    time.Time
}

// trackRequest enqueues the request that f sent at now for its slow threshold and its
// answer timeout. Requests with an unknown target are not tracked.
func (r *Router) trackRequest(id flowID, f *flow, now time.Time) {
	if f.objective == nil {
		return
	}
	a := f.objective.admission
	slow, deadline := now.Add(a.SlowThreshold(f.objective.priority, f.objective.answerTarget)), now.Add(a.answerTimeout())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) < maxPendingRequests {
		r.slow = append(r.slow, pending{id: id, requestedAt: now, deadline: slow})
		r.pending = append(r.pending, pending{id: id, requestedAt: now, deadline: deadline})
	}
}

// processDeadlines records the requests whose deadlines passed unanswered by now as
// slow, failed or abandoned, and reports outcomes for the peers.
//
// An unanswered request counts as outstanding for abandonTimeout longer: an endpoint
// that drops its requests would otherwise appear idle and attract more of them.
func (r *Router) processDeadlines(now time.Time) {
	for a, ok := r.popDue(&r.slow, now); ok; a, ok = r.popDue(&r.slow, now) {
		s := r.flows.lockShard(a.id)
		if f := s.flows[a.id]; f != nil && f.waiting && f.requestedAt.Equal(a.requestedAt) {
			if f.endpoint.state.answeredSince(f.requestedAt) {
				f.slow = true
				f.objective.admission.RecordSlow(now)
			}
		}
		s.mu.Unlock()
	}
	for a, ok := r.popDue(&r.pending, now); ok; a, ok = r.popDue(&r.pending, now) {
		s := r.flows.lockShard(a.id)
		if f := s.flows[a.id]; f != nil && f.waiting && f.requestedAt.Equal(a.requestedAt) {
			f.endpoint.state.recordOutcomes(1, 0, now)
			r.scheduleReport(f.endpoint)
			a.deadline = now.Add(abandonTimeout)
			r.mu.Lock()
			r.overdue = append(r.overdue, a)
			r.mu.Unlock()
		}
		s.mu.Unlock()
	}
	for a, ok := r.popDue(&r.overdue, now); ok; a, ok = r.popDue(&r.overdue, now) {
		s := r.flows.lockShard(a.id)
		if f := s.flows[a.id]; f != nil && f.waiting && f.requestedAt.Equal(a.requestedAt) {
			f.overdue = true
			f.endpoint.state.adjustCounts(0, -1, -1)
		}
		s.mu.Unlock()
	}
	r.reportOutcomes(now)
}

// popDue removes and returns the first request of queue if its deadline has passed at
// now.
func (r *Router) popDue(queue *[]pending, now time.Time) (pending, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(*queue) == 0 || (*queue)[0].deadline.After(now) {
		return pending{}, false
	}
	a := (*queue)[0]
	*queue = (*queue)[1:]
	return a, true
}

// scheduleReport includes the outcomes of e in the next report to the peers.
func (r *Router) scheduleReport(e *endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported[e.token] = e.state
}

// reportOutcomes reports the outcomes of endpoints that left requests unanswered to
// the observer, at most once every outcomeReportPeriod.
func (r *Router) reportOutcomes(now time.Time) {
	r.mu.Lock()
	if len(r.unreported) == 0 || now.Sub(r.reportedAt) < outcomeReportPeriod {
		r.mu.Unlock()
		return
	}
	r.reportedAt = now
	unreported := r.unreported
	r.unreported = make(map[carawaycart.Token]*state)
	r.mu.Unlock()
	var outcomes []Outcomes
	for token, state := range unreported {
		o := state.flushOutcomes()
		o.Token = token
		outcomes = append(outcomes, o)
	}
	r.observer.Failing(outcomes)
}

// TakeOutcomes merges outcomes of endpoints that a peer has reported at now.
func (r *Router) TakeOutcomes(outcomes []Outcomes, now time.Time) {
	t := r.table.Load()
	if t == nil {
		return
	}
	for _, o := range outcomes {
		if e := t.byToken[o.Token]; e != nil {
			e.state.mergePeerOutcomes(min(float64(o.Failed), maxPeerFailures), float64(o.Answered), now)
		}
	}
}
