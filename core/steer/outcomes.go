package steer

import (
	"math"
	"time"

	"carawaycart"
)

const (
	outcomeHalfLife = 4 * time.Second        // of what is remembered of an endpoint's answers
	minFailures     = 1.9                    // remembered, for an endpoint to count as failing
	maxFailureShare = 0.3                    // of the answers; a queue that is full by chance fails fewer
	maxTold         = 1                      // failures taken over from one report of a peer: one instance alone condemns nobody
	reportPeriod    = 300 * time.Millisecond // between reports to peers
	maxAwaited      = 4096                   // requests that are watched for an answer
	abandonPeriod   = 3 * time.Second        // after which an unanswered request is taken for given up
)

// Bounds of the patience for answers to requests. Endpoints work longer than a
// first packet takes, and the spread of the work is wide.
const (
	minAnswerPatience     = 150 * time.Millisecond
	maxAnswerPatience     = time.Second
	initialAnswerPatience = 500 * time.Millisecond
)

// tally remembers the outcomes of an endpoint's requests, older ones less.
type tally struct {
	failed, answered float64
	at               time.Time
}

// add takes in outcomes that were seen at now.
func (t *tally) add(failed, answered float64, now time.Time) {
	if !t.at.IsZero() {
		rest := math.Exp2(-float64(now.Sub(t.at)) / float64(outcomeHalfLife))
		t.failed *= rest
		t.answered *= rest
	}
	t.at = now
	t.failed += failed
	t.answered += answered
}

// failing reports whether the endpoint leaves too many requests unanswered.
func (t *tally) failing(now time.Time) bool {
	if t.failed == 0 {
		return false
	}
	t.add(0, 0, now)
	return t.failed >= minFailures && t.failed > maxFailureShare*(t.failed+t.answered)
}

// Outcomes counts what became of the requests that an endpoint was sent.
type Outcomes struct {
	Token    carawaycart.Token
	Failed   int
	Answered int
}

// awaited is a request whose answer has not been seen.
type awaited struct {
	id    flowID
	asked time.Time
	due   time.Time
}

// await watches for the answer to the request that f was sent at now.
func (r *Router) await(id flowID, f *flow, now time.Time) {
	if f.objective == nil {
		return
	}
	a := f.objective.admission
	slow, due := now.Add(a.Allowance(f.objective.priority, f.objective.answer)), now.Add(a.patience())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.awaited) < maxAwaited {
		r.slow = append(r.slow, awaited{id: id, asked: now, due: slow})
		r.awaited = append(r.awaited, awaited{id: id, asked: now, due: due})
	}
}

// sweep takes note of the requests that were not answered by now, and reports
// what the peers should know.
//
// What goes unanswered counts as outstanding for a while longer: an endpoint
// that drops its requests would look idle otherwise, and draw more of them.
func (r *Router) sweep(now time.Time) {
	for a, ok := r.nextDue(&r.slow, now); ok; a, ok = r.nextDue(&r.slow, now) {
		s := r.flows.shard(a.id)
		if f := s.flows[a.id]; f != nil && f.waiting && f.asked.Equal(a.asked) {
			if f.endpoint.record.answeredSince(f.asked) {
				f.slow = true
				f.objective.admission.Slow(now)
			}
		}
		s.mu.Unlock()
	}
	for a, ok := r.nextDue(&r.awaited, now); ok; a, ok = r.nextDue(&r.awaited, now) {
		s := r.flows.shard(a.id)
		if f := s.flows[a.id]; f != nil && f.waiting && f.asked.Equal(a.asked) {
			f.endpoint.record.outcome(1, 0, now)
			r.noteFailing(f.endpoint)
			a.due = now.Add(abandonPeriod)
			r.mu.Lock()
			r.overdue = append(r.overdue, a)
			r.mu.Unlock()
		}
		s.mu.Unlock()
	}
	for a, ok := r.nextDue(&r.overdue, now); ok; a, ok = r.nextDue(&r.overdue, now) {
		s := r.flows.shard(a.id)
		if f := s.flows[a.id]; f != nil && f.waiting && f.asked.Equal(a.asked) {
			f.overdue = true
			f.endpoint.record.adjust(0, -1, -1)
		}
		s.mu.Unlock()
	}
	r.report(now)
}

// nextDue takes the first of queue if it is due at now.
func (r *Router) nextDue(queue *[]awaited, now time.Time) (awaited, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(*queue) == 0 || (*queue)[0].due.After(now) {
		return awaited{}, false
	}
	a := (*queue)[0]
	*queue = (*queue)[1:]
	return a, true
}

// noteFailing has e reported to the peers.
func (r *Router) noteFailing(e *endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing[e.token] = e.record
}

// report tells the observer which endpoints left requests unanswered.
func (r *Router) report(now time.Time) {
	r.mu.Lock()
	if len(r.failing) == 0 || now.Sub(r.reported) < reportPeriod {
		r.mu.Unlock()
		return
	}
	r.reported = now
	failing := r.failing
	r.failing = make(map[carawaycart.Token]*record)
	r.mu.Unlock()
	var outcomes []Outcomes
	for token, record := range failing {
		o := record.takeOutcomes()
		o.Token = token
		outcomes = append(outcomes, o)
	}
	r.observer.Failing(outcomes)
}

// TakeOutcomes takes in what a peer has seen of endpoints.
func (r *Router) TakeOutcomes(outcomes []Outcomes, now time.Time) {
	t := r.table.Load()
	if t == nil {
		return
	}
	for _, o := range outcomes {
		if e := t.owners[o.Token]; e != nil {
			e.record.told(min(float64(o.Failed), maxTold), float64(o.Answered), now)
		}
	}
}
