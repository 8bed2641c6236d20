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
	orderTries   = 6
	orderPause   = 250 * time.Millisecond
	orderTimeout = 4 * time.Second
	scheme       = "http://"
)

// OrderTarget is an instance that a caller may send requests to.
type OrderTarget struct {
	ID       carawaycart.InstanceID
	Address  netip.AddrPort
	stopping bool
}

// OrderCaller is a stand-in for the callers that send orders.
type OrderCaller struct {
	service carawaycart.ServiceID
	ledger  *Ledger
	client  *http.Client

	mu      sync.Mutex
	random  *rand.Rand
	targets []OrderTarget
}

// NewOrderCaller returns a caller of service without targets.
func NewOrderCaller(service carawaycart.ServiceID, l *Ledger, seed uint64) *OrderCaller {
	return &OrderCaller{
		service: service, ledger: l, random: rand.New(rand.NewPCG(seed, seed+1)),
		client: &http.Client{Timeout: orderTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
}

// Add lets the caller send requests to an instance.
func (c *OrderCaller) Add(t OrderTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, t)
}

// Remove ends that.
func (c *OrderCaller) Remove(id carawaycart.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]OrderTarget, 0, len(c.targets))
	for _, t := range c.targets {
		if t.ID != id {
			kept = append(kept, t)
		}
	}
	c.targets = kept
}

// Stopping notes that an instance is about to stop as planned.
func (c *OrderCaller) Stopping(id carawaycart.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.targets {
		if c.targets[i].ID == id {
			c.targets[i].stopping = true
		}
	}
}

func (c *OrderCaller) pick() (OrderTarget, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.targets) == 0 {
		return OrderTarget{}, false
	}
	return c.targets[c.random.IntN(len(c.targets))], true
}

func (c *OrderCaller) stopping(id carawaycart.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if t.ID == id {
			return t.stopping
		}
	}
	return false
}

// Order sends the order with key k, repeats it until it is confirmed or its
// tries are used up, and counts how it ended.
func (c *OrderCaller) Order(ctx context.Context, k carawaycart.IdempotencyKey) {
	c.ledger.Count(func(t *Totals) { t.OrdersSent++ })
	unknown := false
	for range orderTries {
		switch c.try(ctx, k) {
		case carawaycart.OutcomeAnswered:
			c.ledger.Count(func(t *Totals) { t.OrdersConfirmed++ })
			return
		case carawaycart.OutcomeUnknown:
			unknown = true
		}
		time.Sleep(orderPause)
	}
	ran := c.ledger.Runs(k) > 0
	c.ledger.Count(func(t *Totals) {
		switch {
		case unknown:
			t.OrdersUnknown++
		case ran:
			t.FalseRefusals++
			t.OrdersRefusedNotRun++
		default:
			t.OrdersRefusedNotRun++
		}
	})
}

// try sends the order once and returns what the caller knows after it.
func (c *OrderCaller) try(ctx context.Context, k carawaycart.IdempotencyKey) carawaycart.Outcome {
	target, ok := c.pick()
	if !ok {
		return carawaycart.OutcomeNotRun
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+target.Address.String()+"/order",
		io.NopCloser(strings.NewReader("order "+string(k))))
	if err != nil {
		return carawaycart.OutcomeNotRun
	}
	request.Host = string(c.service)
	request.Header.Set(caller.KeyHeader, string(k))
	response, err := c.client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return carawaycart.OutcomeNotRun
	}
	if err != nil {
		c.cut(target.ID)
		return carawaycart.OutcomeUnknown
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(response, target.ID, k)
}

func (c *OrderCaller) cut(id carawaycart.InstanceID) {
	if c.stopping(id) {
		c.ledger.Count(func(t *Totals) { t.RequestsCutByStop++ })
	}
}

func (c *OrderCaller) read(response *http.Response, id carawaycart.InstanceID, k carawaycart.IdempotencyKey) carawaycart.Outcome {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.cut(id)
		return carawaycart.OutcomeUnknown
	}
	outcome := carawaycart.Outcome(response.Header.Get(caller.OutcomeHeader))
	if outcome != carawaycart.OutcomeAnswered || response.StatusCode != http.StatusOK {
		return outcome
	}
	var answer OrderAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		c.ledger.Count(func(t *Totals) { t.AnswersTruncated++ })
		return carawaycart.OutcomeUnknown
	}
	if answer.Key != k {
		c.ledger.Count(func(t *Totals) { t.AnswersCrossed++ })
		return carawaycart.OutcomeUnknown
	}
	return carawaycart.OutcomeAnswered
}

// Close closes idle connections.
func (c *OrderCaller) Close() { c.client.CloseIdleConnections() }
