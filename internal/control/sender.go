package control

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/limit"
	"carawaycart/internal/counters"
	"carawaycart/io/caller"
	"carawaycart/io/endpoint"
)

const (
	// backoffMin and backoffMax limit the random pause before the endpoints of a
	// service are asked for a permit again.
	backoffMin = 5 * time.Millisecond
	backoffMax = 25 * time.Millisecond
)

// Sender sends requests to endpoints, each under a permit. It retries a request
// only if an endpoint certainly did not run it or it is idempotent.
type Sender struct {
	board    *board.Board
	permits  *Permits
	client   *endpoint.Client
	budgets  *limit.Budgets
	counters *counters.Counters
	clock    carawaycart.Clock
}

// NewSender returns a Sender that acquires permits from p.
func NewSender(b *board.Board, p *Permits, endpointClient *endpoint.Client, c *counters.Counters, k carawaycart.Clock) *Sender {
	return &Sender{board: b, permits: p, client: endpointClient, budgets: limit.NewBudgets(), counters: c, clock: k}
}

// result is the result of a request: either a response, after whose use release
// must be called, or an outcome with its cause and detail.
type result struct {
	response *http.Response
	release  func()
	outcome  carawaycart.Outcome
	cause    caller.Cause
	detail   string
}

// Send sends j until an endpoint answers, no retry is allowed, no endpoint has a
// free request slot within QueueSeconds, or ctx ends.
func (s *Sender) Send(ctx context.Context, j *job) result {
	budget := s.budgets.For(j.route.Service.ID, j.route.Profile.RetryPercent)
	budget.RecordRequest()
	queueEnd := s.clock.Now().Add(j.route.Profile.QueueSeconds.Duration())
	failed := make(map[carawaycart.EndpointID]bool)
	last := result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseNoRoom, detail: "no endpoint had a free slot in time"}
	for {
		permit := s.acquirePermit(ctx, j, failed, queueEnd)
		if permit == nil {
			return last
		}
		r, retry := s.attempt(ctx, j, permit)
		if r.response != nil || !retry || !budget.TryRetry() {
			return r
		}
		s.counters.RequestsRetried.Inc(1)
		failed[permit.Entry.ID] = true
		last = r
	}
}

// acquirePermit returns a permit of an endpoint that accepts requests, or nil if
// none has a free request slot before queueEnd. It skips the endpoints in failed
// in the first round, and then clears failed.
func (s *Sender) acquirePermit(ctx context.Context, j *job, failed map[carawaycart.EndpointID]bool, queueEnd time.Time) *Permit {
	for {
		for _, e := range s.candidates(j.route, failed) {
			if p := s.permits.Acquire(ctx, e, j.deadline); p != nil {
				return p
			}
		}
		pause := backoffMin + rand.N(backoffMax-backoffMin)
		if s.clock.Now().Add(pause).After(queueEnd) || !sleep(ctx, pause) {
			return nil
		}
		clear(failed)
	}
}

// candidates returns the endpoints of a service that accept requests and are
// neither dead nor in failed, in random order with the open ones first.
func (s *Sender) candidates(route *board.ServiceRoute, failed map[carawaycart.EndpointID]bool) []*board.Entry {
	view := s.board.View()
	var open, other []*board.Entry
	for _, e := range route.Entries {
		if !view.Config.AcceptsNewWork(e.ID) || failed[e.ID] || !e.Endpoint().RequestAddress.IsValid() {
			continue
		}
		switch e.Status().State {
		case carawaycart.EndpointOpen:
			open = append(open, e)
		case carawaycart.EndpointDead:
		default:
			other = append(other, e)
		}
	}
	shuffle := func(l []*board.Entry) {
		rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	shuffle(open)
	shuffle(other)
	return append(open, other...)
}

// attempt sends j once and reports whether it may be retried.
func (s *Sender) attempt(ctx context.Context, j *job, p *Permit) (result, bool) {
	e := p.Entry
	// The endpoint may have been marked while the request waited for its permit.
	if !s.board.View().Config.AcceptsNewWork(e.ID) {
		s.permits.Release(p, false)
		return result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseNoRoom, detail: "endpoint is leaving"}, true
	}
	request, err := s.newRequest(ctx, j)
	if err != nil {
		s.permits.Release(p, false)
		return result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseMalformed, detail: err.Error()}, false
	}
	response, err := s.client.Do(request, e.Endpoint().RequestAddress)
	switch {
	case endpoint.IsDialError(err):
		// No connection was made, so the endpoint received nothing. But net/http has
		// closed a streamed body, which cannot be sent again.
		s.permits.Release(p, false)
		return result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseEndpointRefused, detail: err.Error()}, j.body == nil
	case err != nil:
		s.permits.Release(p, false)
		return s.lostResult(ctx, j, err)
	case response.Header.Get(endpoint.NotRunHeader) != "":
		// The endpoint may have read a streamed body, which cannot be resent.
		_ = response.Body.Close()
		s.permits.Release(p, true)
		return result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseEndpointRefused, detail: "endpoint had no room"}, j.body == nil
	}
	return result{response: response, release: func() {
		_ = response.Body.Close()
		s.permits.Release(p, false)
	}}, false
}

// lostResult returns the result of an attempt that an endpoint may have run,
// and whether it may be retried.
func (s *Sender) lostResult(ctx context.Context, j *job, err error) (result, bool) {
	retry := j.params.Idempotent && j.body == nil && ctx.Err() == nil
	return result{outcome: carawaycart.OutcomeUnknown, cause: caller.CauseEndpointLost, detail: err.Error()}, retry
}

// newRequest returns the request to an endpoint. Its body hides from net/http
// that it can be rewound, because net/http would otherwise resend a request
// with an idempotency key by itself when a connection breaks.
func (s *Sender) newRequest(ctx context.Context, j *job) (*http.Request, error) {
	body := j.body
	length := j.request.ContentLength
	if body == nil {
		body = io.NopCloser(bytes.NewReader(j.buffered))
		length = int64(len(j.buffered))
	}
	// net/http may resend an idempotent request.
	if j.params.Idempotent && length == 0 {
		body = http.NoBody
	}
	r, err := http.NewRequestWithContext(ctx, j.request.Method, j.request.URL.RequestURI(), singleUseBody{body})
	if err != nil {
		return nil, err
	}
	if body == http.NoBody {
		r.Body = http.NoBody
	}
	r.ContentLength = length
	r.Host = j.request.Host
	caller.CopyHeaders(r.Header, j.request.Header)
	if r.Header.Get(caller.RequestIDHeader) == "" {
		r.Header.Set(caller.RequestIDHeader, uuid.NewString())
	}
	left := max(j.deadline.Sub(s.clock.Now()), time.Millisecond)
	r.Header.Set(caller.TimeoutHeader, strconv.FormatInt(left.Milliseconds(), 10))
	return r, nil
}

// singleUseBody hides the type of a body from net/http.
type singleUseBody struct{ io.ReadCloser }
