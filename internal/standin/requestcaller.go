package standin

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/io/caller"
)

const (
	maxRequestAttempts = 6
	retryDelay         = 250 * time.Millisecond // time between attempts of a request
	requestTimeout     = 4 * time.Second        // timeout of an attempt
	scheme             = "http://"
)

// RequestTarget is an instance that accepts requests.
type RequestTarget struct {
	ID       carawaycart.InstanceID
	Address  netip.AddrPort
	stopping bool // a planned stop of the instance is about to begin or in progress
}

// RequestCaller emulates callers that send keyed requests to one service.
type RequestCaller struct {
	service carawaycart.ServiceID
	ledger  *Ledger
	client  *http.Client

	mu      sync.Mutex
	random  *rand.Rand
	targets []RequestTarget
}

// NewRequestCaller returns a caller of service that has no targets. The seed
// determines the choice of targets.
func NewRequestCaller(service carawaycart.ServiceID, l *Ledger, seed uint64) *RequestCaller {
	return &RequestCaller{
		service: service, ledger: l, random: rand.New(rand.NewPCG(seed, seed+1)),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
}

// Add adds an instance to the targets.
func (c *RequestCaller) Add(t RequestTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, t)
}

// Remove removes an instance from the targets.
func (c *RequestCaller) Remove(id carawaycart.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]RequestTarget, 0, len(c.targets))
	for _, t := range c.targets {
		if t.ID != id {
			kept = append(kept, t)
		}
	}
	c.targets = kept
}

// MarkStopping records that a planned stop of an instance is about to begin.
func (c *RequestCaller) MarkStopping(id carawaycart.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.targets {
		if c.targets[i].ID == id {
			c.targets[i].stopping = true
		}
	}
}

// pickTarget returns a random target, or false if there is none.
func (c *RequestCaller) pickTarget() (RequestTarget, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.targets) == 0 {
		return RequestTarget{}, false
	}
	return c.targets[c.random.IntN(len(c.targets))], true
}

func (c *RequestCaller) stopping(id carawaycart.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if t.ID == id {
			return t.stopping
		}
	}
	return false
}

// Send sends the keyed request with key k, retries it until it is answered or
// maxRequestAttempts is reached, and counts the outcome in the ledger. An unanswered
// request has an unknown outcome if that of any attempt was unknown.
func (c *RequestCaller) Send(ctx context.Context, k carawaycart.IdempotencyKey) {
	c.ledger.Update(func(t *Totals) { t.KeyedSent++ })
	unknown := false
	for range maxRequestAttempts {
		switch c.attempt(ctx, k) {
		case carawaycart.OutcomeAnswered:
			c.ledger.Update(func(t *Totals) { t.KeyedAnswered++ })
			return
		case carawaycart.OutcomeUnknown:
			unknown = true
		}
		time.Sleep(retryDelay)
	}
	ran := c.ledger.Runs(k) > 0
	c.ledger.Update(func(t *Totals) {
		switch {
		case unknown:
			t.KeyedUnknown++
		case ran:
			t.FalseRefusals++
			t.KeyedNotRun++
		default:
			t.KeyedNotRun++
		}
	})
}

// attempt sends the keyed request once and returns its outcome. The request was not
// run if it could not be sent or the connection was refused. Its outcome is unknown
// if no whole response was received or the response is not a valid answer to it.
// Otherwise the response states the outcome.
func (c *RequestCaller) attempt(ctx context.Context, k carawaycart.IdempotencyKey) carawaycart.Outcome {
	target, ok := c.pickTarget()
	if !ok {
		return carawaycart.OutcomeNotRun
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+target.Address.String()+"/order",
		io.NopCloser(strings.NewReader("order "+string(k))))
	if err != nil {
		return carawaycart.OutcomeNotRun
	}
	request.Host = string(c.service)
	request.Header.Set(caller.IdempotencyKeyHeader, string(k))
	response, err := c.client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return carawaycart.OutcomeNotRun
	}
	if err != nil {
		c.recordInterruption(target.ID)
		return carawaycart.OutcomeUnknown
	}
	defer func() { _ = response.Body.Close() }()
	return c.readAnswer(response, target.ID, k)
}

// recordInterruption counts a broken connection to an instance if the instance has
// been marked as stopping.
func (c *RequestCaller) recordInterruption(id carawaycart.InstanceID) {
	if c.stopping(id) {
		c.ledger.Update(func(t *Totals) { t.RequestsCutByStop++ })
	}
}

// readAnswer returns the outcome stated in response. It counts a body that is not
// valid JSON as truncated and one with another key than k as crossed.
func (c *RequestCaller) readAnswer(response *http.Response, id carawaycart.InstanceID, k carawaycart.IdempotencyKey) carawaycart.Outcome {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.recordInterruption(id)
		return carawaycart.OutcomeUnknown
	}
	outcome := carawaycart.Outcome(response.Header.Get(caller.OutcomeHeader))
	if outcome != carawaycart.OutcomeAnswered || response.StatusCode != http.StatusOK {
		return outcome
	}
	var answer RequestAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		c.ledger.Update(func(t *Totals) { t.AnswersTruncated++ })
		return carawaycart.OutcomeUnknown
	}
	if answer.Key != k {
		c.ledger.Update(func(t *Totals) { t.AnswersCrossed++ })
		return carawaycart.OutcomeUnknown
	}
	return carawaycart.OutcomeAnswered
}

// Close closes the idle connections of the caller's HTTP client.
func (c *RequestCaller) Close() { c.client.CloseIdleConnections() }
