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
	backoffMin = 5 * time.Millisecond
	backoffMax = 25 * time.Millisecond
)

// Sender sends requests to endpoints: each under a permit, and again only where
// that cannot run it twice.
type Sender struct {
	board    *board.Board
	permits  *Permits
	client   *endpoint.Client
	budgets  *limit.Budgets
	counters *counters.Counters
	clock    carawaycart.Clock
}

// NewSender returns a sender.
func NewSender(b *board.Board, p *Permits, e *endpoint.Client, c *counters.Counters, k carawaycart.Clock) *Sender {
	return &Sender{board: b, permits: p, client: e, budgets: limit.NewBudgets(), counters: c, clock: k}
}

// result is the end of a request: a response that must be released, or an
// outcome with its cause.
type result struct {
	response *http.Response
	release  func()
	outcome  carawaycart.Outcome
	cause    caller.Cause
	detail   string
}

// Send sends j to an endpoint until ctx ends.
func (s *Sender) Send(ctx context.Context, j *job) result {
	budget := s.budgets.Of(j.route.Service.ID, j.route.Profile.RetryPercent)
	budget.Fresh()
	queueEnd := s.clock.Now().Add(j.route.Profile.QueueSeconds.Duration())
	failed := make(map[carawaycart.EndpointID]bool)
	last := result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseNoRoom, detail: "no endpoint had a free slot in time"}
	for {
		permit := s.permit(ctx, j, failed, queueEnd)
		if permit == nil {
			return last
		}
		r, again := s.attempt(ctx, j, permit)
		if r.response != nil || !again || !budget.Retry() {
			return r
		}
		s.counters.RequestsRetried.Inc(1)
		failed[permit.Entry.ID] = true
		last = r
	}
}

// permit returns a permit of an endpoint that may get work, preferring those
// that did not fail, or nil if none has a free slot until queueEnd.
func (s *Sender) permit(ctx context.Context, j *job, failed map[carawaycart.EndpointID]bool, queueEnd time.Time) *Permit {
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

// candidates returns the endpoints of a service that may get work in random
// order, the open ones first.
func (s *Sender) candidates(route *board.ServiceRoute, failed map[carawaycart.EndpointID]bool) []*board.Entry {
	view := s.board.View()
	var open, other []*board.Entry
	for _, e := range route.Entries {
		if !view.Config.Accepting(e.ID) || failed[e.ID] || !e.Endpoint().RequestAddress.IsValid() {
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

// attempt sends j once and reports whether it may be sent again.
func (s *Sender) attempt(ctx context.Context, j *job, p *Permit) (result, bool) {
	e := p.Entry
	// A mark may have been set while the request waited for its permit.
	if !s.board.View().Config.Accepting(e.ID) {
		s.permits.Release(p, false)
		return result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseNoRoom, detail: "endpoint is leaving"}, true
	}
	request, err := s.request(ctx, j)
	if err != nil {
		s.permits.Release(p, false)
		return result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseMalformed, detail: err.Error()}, false
	}
	response, err := s.client.Do(request, e.Endpoint().RequestAddress)
	switch {
	case endpoint.Unreached(err):
		s.permits.Release(p, false)
		return result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseEndpointRefused, detail: err.Error()}, true
	case err != nil:
		s.permits.Release(p, false)
		return s.lost(ctx, j, err)
	case response.Header.Get(endpoint.NotRunHeader) != "":
		_ = response.Body.Close()
		s.permits.Release(p, true)
		return result{outcome: carawaycart.OutcomeNotRun, cause: caller.CauseEndpointRefused, detail: "endpoint had no room"}, j.body == nil
	}
	return result{response: response, release: func() {
		_ = response.Body.Close()
		s.permits.Release(p, false)
	}}, false
}

// lost is the end of an attempt that an endpoint may have run.
func (s *Sender) lost(ctx context.Context, j *job, err error) (result, bool) {
	again := j.query.Idempotent && j.body == nil && ctx.Err() == nil
	return result{outcome: carawaycart.OutcomeUnknown, cause: caller.CauseEndpointLost, detail: err.Error()}, again
}

// request returns the request to an endpoint. Its body hides that it could be
// rewound, because net/http would otherwise send a request with an idempotency
// key again by itself when a connection breaks.
func (s *Sender) request(ctx context.Context, j *job) (*http.Request, error) {
	body := j.body
	length := j.request.ContentLength
	if body == nil {
		body = io.NopCloser(bytes.NewReader(j.held))
		length = int64(len(j.held))
	}
	if j.query.Idempotent && length == 0 {
		body = http.NoBody
	}
	r, err := http.NewRequestWithContext(ctx, j.request.Method, j.request.URL.RequestURI(), onceBody{body})
	if err != nil {
		return nil, err
	}
	if body == http.NoBody {
		r.Body = http.NoBody
	}
	r.ContentLength = length
	r.Host = j.request.Host
	caller.CopyHeaders(r.Header, j.request.Header)
	if r.Header.Get(caller.RequestHeader) == "" {
		r.Header.Set(caller.RequestHeader, uuid.NewString())
	}
	left := max(j.deadline.Sub(s.clock.Now()), time.Millisecond)
	r.Header.Set(caller.TimeoutHeader, strconv.FormatInt(left.Milliseconds(), 10))
	return r, nil
}

// onceBody hides the type of a body from net/http.
type onceBody struct{ io.ReadCloser }
