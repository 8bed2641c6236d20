package steer

import (
	"math"
	"time"

	"carawaycart"
)

const (
	outcomeHalfLife = 4 * time.Second // half-life of the counts of an endpoint's outcomes
	minFailures     = 1.9             // decayed count of failed requests below which an endpoint is not failing
	// maxFailureShare is the share of failed requests above which an endpoint is
	// failing. A queue that is full by chance fails a smaller share.
	maxFailureShare = 0.3
	// maxPeerFailures limits the failures that are merged from one report of a
	// peer. It is below minFailures, so that a report alone cannot make an endpoint
	// count as failing.
	maxPeerFailures = 1
	// maxPeerAnswers limits the answers that are merged from one report of a peer. It
	// exceeds what an endpoint answers within outcomeReportPeriod.
	maxPeerAnswers      = 1000
	outcomeReportPeriod = 300 * time.Millisecond // minimum time between reports to peers
	// shortReportPeriod is the minimum time between reports to peers that hold only short
	// responses. Some routes have short responses all the time, and reports of these must
	// not use up the 3 KB/s of control traffic.
	shortReportPeriod = 600 * time.Millisecond
	// maxPendingRequests limits the requests that are tracked until their answer
	// timeout.
	maxPendingRequests = 4096
	// abandonTimeout is the time from the answer timeout until a request counts as
	// abandoned by its caller.
	abandonTimeout = 3 * time.Second
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

// failedShare returns the share of failed requests at now.
func (c *outcomeCounts) failedShare(now time.Time) float64 {
	if c.failed == 0 {
		return 0
	}
	c.add(0, 0, now)
	return c.failed / (c.failed + c.answered)
}

// Outcomes counts the failed and the answered requests of the endpoint with Token since
// its outcomes were last reported. Short counts the answered ones whose responses were much
// shorter than is usual on their routes.
type Outcomes struct {
	Token    carawaycart.Token
	Failed   int
	Answered int
	Short    int
}

// pending is a request in one of the queues of a Router. It had no answer when it was
// enqueued; a deadline has no effect if an answer arrives before.
type pending struct {
	id          flowID
	requestedAt time.Time
	deadline    time.Time
}

// trackRequest enqueues the request that was sent on f at now, with the deadlines after
// which it is slow and after which it has failed. It does nothing if the objective of f
// is unknown or maxPendingRequests are tracked.
func (r *Router) trackRequest(id flowID, f *flow, now time.Time) {
	if f.objective == nil {
		return
	}
	a := f.objective.admission
	slow, deadline := now.Add(a.SlowThreshold(f.objective.priority, f.objective.answerTarget)), now.Add(a.AnswerTimeout())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) < maxPendingRequests {
		r.slow = append(r.slow, pending{id: id, requestedAt: now, deadline: slow})
		r.pending = append(r.pending, pending{id: id, requestedAt: now, deadline: deadline})
	}
}

// ProcessDeadlines records the unanswered requests whose deadlines have passed at now as
// slow, failed or abandoned, and reports the outcomes to the observer. It requests a
// probe of an endpoint that has answered nothing since a failed request was sent: the
// more instances there are, the fewer requests each sends to one endpoint, so that the
// first failure has to suffice. It must be called regularly, since packets may be rare.
//
// A failed request still counts as outstanding until it is abandoned: an endpoint that
// drops its requests would otherwise appear idle and attract more of them.
func (r *Router) ProcessDeadlines(now time.Time) {
	for q, ok := r.popDue(&r.slow, now); ok; q, ok = r.popDue(&r.slow, now) {
		s := r.flows.lockShard(q.id)
		if f := s.flows[q.id]; f != nil && f.waiting && f.requestedAt.Equal(q.requestedAt) {
			// An endpoint that answers nothing may be silent, not overloaded.
			if f.endpoint.state.answeredSince(f.requestedAt) {
				f.slow = true
				f.objective.admission.RecordSlow(now)
			}
		}
		s.mu.Unlock()
	}
	for q, ok := r.popDue(&r.pending, now); ok; q, ok = r.popDue(&r.pending, now) {
		s := r.flows.lockShard(q.id)
		if f := s.flows[q.id]; f != nil && f.waiting && f.requestedAt.Equal(q.requestedAt) {
			f.endpoint.state.recordOutcomes(1, 0, now)
			f.overdue = true
			f.endpoint.state.adjustOverdue(1)
			r.scheduleReport(f.endpoint, outcomeReportPeriod)
			if !f.endpoint.state.answeredSince(f.requestedAt) {
				r.observer.ProbeRequested(&f.endpoint.lifetime)
			}
			q.deadline = now.Add(abandonTimeout)
			r.mu.Lock()
			r.abandoned = append(r.abandoned, q)
			r.mu.Unlock()
		}
		s.mu.Unlock()
	}
	for q, ok := r.popDue(&r.abandoned, now); ok; q, ok = r.popDue(&r.abandoned, now) {
		s := r.flows.lockShard(q.id)
		if f := s.flows[q.id]; f != nil && f.waiting && f.requestedAt.Equal(q.requestedAt) {
			f.abandoned = true
			f.clearOverdue()
			f.endpoint.state.adjustCounts(0, -1, -1)
		}
		s.mu.Unlock()
	}
	r.reportOutcomes(now)
}

// popDue removes and returns the first request of queue if its deadline has passed at
// now, and reports whether it did.
func (r *Router) popDue(queue *[]pending, now time.Time) (pending, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(*queue) == 0 || (*queue)[0].deadline.After(now) {
		return pending{}, false
	}
	q := (*queue)[0]
	*queue = (*queue)[1:]
	return q, true
}

// scheduleReport includes the outcomes of e in the next report for the peers, which is due at
// the latest when period has passed since the last one.
func (r *Router) scheduleReport(e *endpoint, period time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.reportedAt.Add(period)
	if len(r.unreported) == 0 || due.Before(r.reportDueAt) {
		r.reportDueAt = due
	}
	r.unreported[e.token] = e.state
}

// reportOutcomes reports to the observer the outcomes of the endpoints for which
// scheduleReport was called, if the report is due at now.
func (r *Router) reportOutcomes(now time.Time) {
	r.mu.Lock()
	if len(r.unreported) == 0 || now.Before(r.reportDueAt) {
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
	r.observer.RequestsFailed(outcomes)
}

// MergeOutcomes merges at now the outcomes from one report of a peer. It merges at most
// maxPeerFailures failed requests per endpoint and ignores unknown tokens. Short responses
// count only for services whose first packets may be queued.
func (r *Router) MergeOutcomes(outcomes []Outcomes, now time.Time) {
	t := r.table.Load()
	if t == nil {
		return
	}
	for _, o := range outcomes {
		if e, _ := t.ownerOf(o.Token); e != nil {
			e.state.mergePeerOutcomes(min(float64(o.Failed), maxPeerFailures), min(float64(o.Answered), maxPeerAnswers), now)
			if l := t.queuedLoad(e.lifetime.Service); l != nil {
				l.rejections.RecordPeer(e.lifetime.ID, o.Short, now)
			}
		}
	}
}
