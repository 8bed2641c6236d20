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
	maxKeyedBody    = 1 << 20 // bytes of a keyed request's body
	maxStoredAnswer = 1 << 20 // bytes of an answer that is stored with its claim
	// maxReplayableBody is the largest body in bytes that is buffered, so that a
	// request without a claim can be resent.
	maxReplayableBody = 64 << 10
)

// Dispatcher serves the requests of callers. It implements http.Handler.
type Dispatcher struct {
	board    *board.Board
	claimer  *Claimer
	sender   *Sender
	counters *counters.Counters
	clock    carawaycart.Clock
}

// NewDispatcher returns a Dispatcher that claims keyed requests with cl and
// sends requests with s.
func NewDispatcher(b *board.Board, cl *Claimer, s *Sender, c *counters.Counters, k carawaycart.Clock) *Dispatcher {
	return &Dispatcher{board: b, claimer: cl, sender: s, counters: c, clock: k}
}

// ServeHTTP sends one request to an endpoint and writes the answer, or the
// outcome with its cause.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := d.clock.Now()
	params, err := caller.ParseRequest(r, now)
	if err != nil {
		d.refuse(w, caller.CauseMalformed, err.Error())
		return
	}
	view := d.board.View()
	if view == nil {
		d.refuse(w, caller.CauseNotReady, "no configuration")
		return
	}
	route := view.ServiceByID(params.Service)
	if route == nil {
		d.refuse(w, caller.CauseUnknownService, string(params.Service))
		return
	}
	deadline := now.Add(route.Profile.RequestSeconds.Duration())
	if !params.Deadline.IsZero() && params.Deadline.Before(deadline) {
		deadline = params.Deadline
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	// Aborts the request of a caller that sends its body too slowly. The error is
	// ignored because some response writers, as in tests, support no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	job := &job{request: r, params: params, route: route, deadline: deadline}
	if params.Key != "" && !params.Idempotent {
		d.serveKeyed(ctx, w, job)
		return
	}
	d.serveUnclaimed(ctx, w, job)
}

// refuse answers a request that certainly was not run.
func (d *Dispatcher) refuse(w http.ResponseWriter, cause caller.Cause, detail string) {
	switch cause {
	case caller.CauseMalformed, caller.CauseTooLarge, caller.CauseBodyCutOff, caller.CauseUnknownService:
		d.counters.RequestsMalformed.Inc(1)
	case caller.CauseKeyMisused:
		d.counters.RequestsMisused.Inc(1)
	default:
		d.counters.RequestsNotRun.Inc(1)
	}
	d.counters.CountRequestCause(string(cause))
	caller.WriteOutcome(w, carawaycart.OutcomeNotRun, cause, detail)
}

// writeUnknown answers a request that an endpoint may have run.
func (d *Dispatcher) writeUnknown(w http.ResponseWriter, cause caller.Cause, detail string) {
	d.counters.RequestsUnknown.Inc(1)
	d.counters.CountRequestCause(string(cause))
	caller.WriteOutcome(w, carawaycart.OutcomeUnknown, cause, detail)
}

// serveUnclaimed serves a request that needs no claim, because it has no key or
// is idempotent, and streams the answer. It buffers a body of at most
// maxReplayableBody, so that it can be resent.
func (d *Dispatcher) serveUnclaimed(ctx context.Context, w http.ResponseWriter, j *job) {
	j.body = j.request.Body
	if n := j.request.ContentLength; n >= 0 && n <= maxReplayableBody {
		if !d.bufferBody(w, j, maxReplayableBody) {
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
		panic(http.ErrAbortHandler) // closes the connection, so that the caller detects the truncation
	}
}

// bufferBody reads the whole body into j. If the body is longer than limit
// bytes or incomplete, it refuses the request and returns false.
func (d *Dispatcher) bufferBody(w http.ResponseWriter, j *job, limit int64) bool {
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
	j.buffered = body
	j.body = nil
	return true
}

// stream copies src to w and flushes after each read.
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

// writeFailure answers with the outcome and cause of r, which has no response.
func (d *Dispatcher) writeFailure(w http.ResponseWriter, r result) {
	if r.outcome == carawaycart.OutcomeNotRun {
		d.refuse(w, r.cause, r.detail)
		return
	}
	d.writeUnknown(w, r.cause, r.detail)
}

// serveKeyed serves a keyed request, which is sent only once its claim is made.
func (d *Dispatcher) serveKeyed(ctx context.Context, w http.ResponseWriter, j *job) {
	if !d.bufferBody(w, j, maxKeyedBody) {
		return
	}
	c := d.claim(j)
	verdict, held := d.claimer.Claim(ctx, c)
	switch verdict {
	case claim.Run:
		d.runKeyed(ctx, w, j, c)
	case claim.Known:
		d.writeKnown(w, held)
	case claim.Misused:
		d.refuse(w, caller.CauseKeyMisused, "the key belongs to another request")
	case claim.Uncertain:
		d.writeUnknown(w, caller.CauseClaimsLost, "an earlier attempt may have been lost with the instances that held its claim")
	default:
		d.refuse(w, caller.CauseClaimRefused, "no instance could take the claim")
	}
}

// claim returns a pending claim for j. Its digest covers the method, URI and
// body, so that reuse of the key for another request is detected. Its deadline
// allows retries for AnswerSeconds after the deadline of j.
func (d *Dispatcher) claim(j *job) carawaycart.Claim {
	digest := xxhash.New()
	_, _ = digest.WriteString(j.request.Method + " " + j.request.URL.RequestURI() + "\n")
	_, _ = digest.Write(j.buffered)
	return carawaycart.Claim{
		Key: j.params.Key, Service: j.params.Service, Digest: carawaycart.RequestDigest(digest.Sum64()),
		Attempt: carawaycart.AttemptID(uuid.NewString()), EntryInstance: d.board.Self, State: carawaycart.ClaimPending,
		Deadline: j.deadline.Add(j.route.Profile.AnswerSeconds.Duration()),
	}
}

// writeKnown answers a retry from the claim of the earlier attempt. An answer
// with status zero was too large to be stored.
func (d *Dispatcher) writeKnown(w http.ResponseWriter, c carawaycart.Claim) {
	if c.State != carawaycart.ClaimAnswered {
		d.writeUnknown(w, caller.CauseEarlierAttempt, "an earlier attempt with this key has no known end")
		return
	}
	if c.Answer.Status == 0 {
		caller.WriteOutcome(w, carawaycart.OutcomeAnswered, caller.CauseAnswerNotKept, "the request ran; its answer was too large to be kept")
		return
	}
	d.counters.RequestsAnswered.Inc(1)
	caller.WriteAnswer(w, c.Answer)
}

// runKeyed sends a claimed request and reports its outcome to the keeper of the
// key. It continues if the caller disconnects, because the answer is stored for
// a retry.
func (d *Dispatcher) runKeyed(ctx context.Context, w http.ResponseWriter, j *job, c carawaycart.Claim) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancel()
	result := d.sender.Send(ctx, j)
	if result.response == nil {
		if result.outcome == carawaycart.OutcomeNotRun {
			c.State = carawaycart.ClaimNotRun
		} else {
			c.State = carawaycart.ClaimUnknown
		}
		go d.claimer.Finish(c)
		d.writeFailure(w, result)
		return
	}
	answer, err := readAnswer(result.response)
	result.release()
	if err != nil {
		c.State = carawaycart.ClaimUnknown
		go d.claimer.Finish(c)
		d.writeUnknown(w, caller.CauseEndpointLost, err.Error())
		return
	}
	c.State = carawaycart.ClaimAnswered
	c.Answer = answer
	if len(answer.Body) > maxStoredAnswer {
		c.Answer = carawaycart.Answer{} // marks the answer as too large to be stored
	}
	go d.claimer.Finish(c)
	d.counters.RequestsAnswered.Inc(1)
	caller.WriteAnswer(w, answer)
}

// readAnswer reads the whole answer. A truncated answer is an error.
func readAnswer(r *http.Response) (carawaycart.Answer, error) {
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		return carawaycart.Answer{}, errors.Annotate(err, "read answer")
	}
	return carawaycart.Answer{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), Body: body.Bytes()}, nil
}

// job is one request to be sent to an endpoint.
type job struct {
	request  *http.Request
	params   caller.RequestParams
	route    *board.ServiceRoute
	deadline time.Time     // deadline of the answer
	buffered []byte        // the whole body, which can be resent
	body     io.ReadCloser // the streamed body, nil if it is buffered
}
