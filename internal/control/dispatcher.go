package control

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/claim"
	"carawaycart/internal/counters"
	"carawaycart/io/caller"
)

const (
	maxOrder  = 1 << 20  // bytes of a keyed request's body
	maxAnswer = 1 << 20  // bytes of an answer that is kept
	maxReplay = 64 << 10 // bytes of a body that is held to be sent again
)

// Dispatcher serves the requests of callers. It implements http.Handler.
type Dispatcher struct {
	board    *board.Board
	orders   *Orders
	sender   *Sender
	counters *counters.Counters
	clock    carawaycart.Clock
}

// NewDispatcher returns the handler of requests.
func NewDispatcher(b *board.Board, o *Orders, s *Sender, c *counters.Counters, k carawaycart.Clock) *Dispatcher {
	return &Dispatcher{board: b, orders: o, sender: s, counters: c, clock: k}
}

// ServeHTTP answers one request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := d.clock.Now()
	query, err := caller.ReadQuery(r, now)
	if err != nil {
		d.refuse(w, caller.CauseMalformed, err.Error())
		return
	}
	view := d.board.View()
	if view == nil {
		d.refuse(w, caller.CauseNotReady, "no configuration")
		return
	}
	route := view.ServiceByID(query.Service)
	if route == nil {
		d.refuse(w, caller.CauseUnknownService, string(query.Service))
		return
	}
	deadline := now.Add(route.Profile.RequestSeconds.Duration())
	if !query.Deadline.IsZero() && query.Deadline.Before(deadline) {
		deadline = query.Deadline
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	// A caller that sends its body too slowly is cut off; where the connection has
	// no deadlines, as in tests without one, that is left out.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	job := &job{request: r, query: query, route: route, deadline: deadline}
	if query.Key != "" && !query.Idempotent {
		d.serveOrder(ctx, w, job)
		return
	}
	d.servePlain(ctx, w, job)
}

// refuse answers a request that was certainly not run.
func (d *Dispatcher) refuse(w http.ResponseWriter, cause caller.Cause, detail string) {
	switch cause {
	case caller.CauseMalformed, caller.CauseTooLarge, caller.CauseBodyCutOff, caller.CauseUnknownService:
		d.counters.RequestsMalformed.Inc(1)
	case caller.CauseKeyMisused:
		d.counters.RequestsMisused.Inc(1)
	default:
		d.counters.RequestsNotRun.Inc(1)
	}
	d.counters.RequestCause(string(cause))
	caller.WriteOutcome(w, carawaycart.OutcomeNotRun, cause, detail)
}

func (d *Dispatcher) unknown(w http.ResponseWriter, cause caller.Cause, detail string) {
	d.counters.RequestsUnknown.Inc(1)
	d.counters.RequestCause(string(cause))
	caller.WriteOutcome(w, carawaycart.OutcomeUnknown, cause, detail)
}

// servePlain serves a request without a claim, streaming both bodies.
func (d *Dispatcher) servePlain(ctx context.Context, w http.ResponseWriter, j *job) {
	j.body = j.request.Body
	if n := j.request.ContentLength; n >= 0 && n <= maxReplay {
		if !d.hold(w, j, maxReplay) {
			return
		}
	}
	result := d.sender.Send(ctx, j)
	if result.response == nil {
		d.writeFailure(w, result)
		return
	}
	defer result.release()
	d.counters.RequestsAnswered.Inc(1)
	caller.CopyHeaders(w.Header(), result.response.Header)
	w.Header().Set(caller.OutcomeHeader, string(carawaycart.OutcomeAnswered))
	w.WriteHeader(result.response.StatusCode)
	if err := stream(w, result.response.Body); err != nil {
		panic(http.ErrAbortHandler) // breaks the connection, so that the caller sees the cut
	}
}

// hold reads the whole body, up to limit bytes, and reports whether it could.
func (d *Dispatcher) hold(w http.ResponseWriter, j *job, limit int64) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, j.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		d.refuse(w, caller.CauseTooLarge, err.Error())
		return false
	case err != nil:
		d.refuse(w, caller.CauseBodyCutOff, err.Error())
		return false
	}
	j.held = body
	j.body = nil
	return true
}

// stream copies src to w and sends each piece on at once.
func stream(w http.ResponseWriter, src io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return errors.Annotate(err, "write answer")
			}
			if err := controller.Flush(); err != nil {
				return errors.Annotate(err, "flush answer")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "read answer")
		}
	}
}

func (d *Dispatcher) writeFailure(w http.ResponseWriter, r result) {
	if r.outcome == carawaycart.OutcomeNotRun {
		d.refuse(w, r.cause, r.detail)
		return
	}
	d.unknown(w, r.cause, r.detail)
}

// serveOrder serves a keyed request under a claim.
func (d *Dispatcher) serveOrder(ctx context.Context, w http.ResponseWriter, j *job) {
	if !d.hold(w, j, maxOrder) {
		return
	}
	c := d.claim(j)
	verdict, held := d.orders.Claim(ctx, c)
	switch verdict {
	case claim.Run:
		d.runOrder(ctx, w, j, c)
	case claim.Known:
		d.answerKnown(w, held)
	case claim.Misused:
		d.refuse(w, caller.CauseKeyMisused, "the key belongs to another request")
	case claim.Uncertain:
		d.unknown(w, caller.CauseClaimsLost, "an earlier attempt may have been lost with the instances that held its claim")
	default:
		d.refuse(w, caller.CauseClaimRefused, "no instance could take the claim")
	}
}

func (d *Dispatcher) claim(j *job) carawaycart.Claim {
	digest := xxhash.New()
	_, _ = digest.WriteString(j.request.Method + " " + j.request.URL.RequestURI() + "\n")
	_, _ = digest.Write(j.held)
	return carawaycart.Claim{
		Key: j.query.Key, Service: j.query.Service, Digest: carawaycart.RequestDigest(digest.Sum64()),
		Attempt: carawaycart.AttemptID(uuid.NewString()), Entry: d.board.Self, State: carawaycart.ClaimPending,
		Deadline: j.deadline.Add(j.route.Profile.AnswerSeconds.Duration()),
	}
}

func (d *Dispatcher) answerKnown(w http.ResponseWriter, c carawaycart.Claim) {
	if c.State != carawaycart.ClaimAnswered {
		d.unknown(w, caller.CauseEarlierAttempt, "an earlier attempt with this key has no known end")
		return
	}
	if c.Answer.Status == 0 {
		caller.WriteOutcome(w, carawaycart.OutcomeAnswered, caller.CauseAnswerNotKept, "the request ran; its answer was too large to be kept")
		return
	}
	d.counters.RequestsAnswered.Inc(1)
	caller.WriteAnswer(w, c.Answer)
}

// runOrder sends a claimed request and makes its end known to the keeper. A
// caller that goes away does not cancel it: the answer is kept for a repeat.
func (d *Dispatcher) runOrder(ctx context.Context, w http.ResponseWriter, j *job, c carawaycart.Claim) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancel()
	result := d.sender.Send(ctx, j)
	if result.response == nil {
		if result.outcome == carawaycart.OutcomeNotRun {
			c.State = carawaycart.ClaimNotRun
		} else {
			c.State = carawaycart.ClaimUnknown
		}
		go d.orders.Finish(c)
		d.writeFailure(w, result)
		return
	}
	answer, err := readAnswer(result.response)
	result.release()
	if err != nil {
		c.State = carawaycart.ClaimUnknown
		go d.orders.Finish(c)
		d.unknown(w, caller.CauseEndpointLost, err.Error())
		return
	}
	c.State = carawaycart.ClaimAnswered
	c.Answer = answer
	if len(answer.Body) > maxAnswer {
		c.Answer = carawaycart.Answer{}
	}
	go d.orders.Finish(c)
	d.counters.RequestsAnswered.Inc(1)
	caller.WriteAnswer(w, answer)
}

// readAnswer reads a whole answer; an answer that breaks off is an error.
func readAnswer(r *http.Response) (carawaycart.Answer, error) {
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		return carawaycart.Answer{}, errors.Annotate(err, "read answer")
	}
	return carawaycart.Answer{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), Body: body.Bytes()}, nil
}

// job is one request on its way to an endpoint.
type job struct {
	request  *http.Request
	query    caller.Query
	route    *board.ServiceRoute
	deadline time.Time
	held     []byte        // the whole body, which can be sent again
	body     io.ReadCloser // the body as it arrives, nil if it is held
}
