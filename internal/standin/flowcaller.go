package standin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"carawaycart"
)

const (
	initialRetransmitTimeout = 400 * time.Millisecond // time before the first retransmission of a segment
	maxRetransmitTimeout     = 1600 * time.Millisecond
	// maxSegmentAttempts is the number of transmissions of a segment after which its
	// flow counts as broken, or as not opened if the segment is a SYN.
	maxSegmentAttempts = 9
)

// FlowConfig describes an emulated flow.
type FlowConfig struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Interval time.Duration // time between data segments
	Deadline time.Time     // time at which the caller closes the flow
}

// FlowCaller emulates a caller with one flow, either a long-lived feed or a short
// upload.
type FlowCaller struct {
	config FlowConfig
	fabric *Fabric
	ledger *Ledger
	zoneOf func(carawaycart.EndpointID) carawaycart.ZoneID

	mu       sync.Mutex
	replies  chan reply
	endpoint carawaycart.EndpointID // empty while the flow is not open
}

// NewFlowCaller returns a caller whose flow is not open. The function zoneOf
// returns the availability zone of an endpoint.
func NewFlowCaller(c FlowConfig, f *Fabric, l *Ledger, zoneOf func(carawaycart.EndpointID) carawaycart.ZoneID) *FlowCaller {
	return &FlowCaller{config: c, fabric: f, ledger: l, zoneOf: zoneOf, replies: make(chan reply, 8)}
}

// Endpoint returns the endpoint of the established flow, or the empty ID if the
// flow is not open.
func (c *FlowCaller) Endpoint() carawaycart.EndpointID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoint
}

// Run opens the flow, sends data until the deadline of the flow or the end of
// ctx, and counts the outcome in the ledger.
func (c *FlowCaller) Run(ctx context.Context) {
	c.fabric.attach(c.config.Caller, func(r reply) {
		select {
		case c.replies <- r:
		default: // dropped, as by a full socket buffer
		}
	})
	defer c.fabric.detach(c.config.Caller)
	first, ok := c.exchange(ctx, Segment{SYN: true}, func(r reply) bool { return r.syn })
	if !ok {
		if ctx.Err() == nil {
			c.ledger.Update(func(t *Totals) { t.FlowsNotOpened++ })
		}
		return
	}
	c.setEndpoint(first.endpoint)
	defer c.setEndpoint("")
	c.ledger.Update(func(t *Totals) { t.FlowsOpened++ })
	if !c.stream(ctx, first.endpoint) {
		c.recordBroken(first.endpoint)
	}
}

func (c *FlowCaller) setEndpoint(id carawaycart.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoint = id
}

// stream sends data until the deadline of the flow or the end of ctx and then
// closes the flow. It returns false if a segment is reset, not acknowledged, or
// acknowledged by another endpoint.
func (c *FlowCaller) stream(ctx context.Context, endpoint carawaycart.EndpointID) bool {
	ticker := time.NewTicker(c.config.Interval)
	defer ticker.Stop()
	for number := uint32(1); ; number++ {
		select {
		case <-ctx.Done():
			c.send(Segment{FIN: true, ACK: true, Number: number})
			return true
		case now := <-ticker.C:
			if !now.Before(c.config.Deadline) {
				c.send(Segment{FIN: true, ACK: true, Number: number})
				return true
			}
		}
		// The end of ctx does not interrupt a segment in progress, which would count the
		// flow as broken.
		s := Segment{ACK: true, Number: number, Payload: dataPayload(number)}
		r, ok := c.exchange(context.WithoutCancel(ctx), s, func(r reply) bool { return r.number == number })
		if !ok || r.endpoint != endpoint {
			klog.V(1).InfoS("flow broken", "caller", c.config.Caller, "host", endpoint, "answered", r.endpoint, "reset", r.rst, "number", number)
			return false
		}
	}
}

// exchange sends s, with exponential backoff up to maxRetransmitTimeout, until a reply
// matches. It returns false on a reset, at the end of ctx, or after
// maxSegmentAttempts transmissions.
func (c *FlowCaller) exchange(ctx context.Context, s Segment, match func(reply) bool) (reply, bool) {
	timeout := initialRetransmitTimeout
	for range maxSegmentAttempts {
		c.send(s)
		r, ok := c.awaitReply(ctx, timeout, match)
		if ok {
			return r, !r.rst
		}
		if ctx.Err() != nil {
			return reply{}, false
		}
		timeout = min(2*timeout, maxRetransmitTimeout)
	}
	return reply{}, false
}

// awaitReply returns the next reply that is a reset or matches, or false after
// timeout or at the end of ctx.
func (c *FlowCaller) awaitReply(ctx context.Context, timeout time.Duration, match func(reply) bool) (reply, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case r := <-c.replies:
			if r.rst || match(r) {
				return r, true
			}
		case <-timer.C:
			return reply{}, false
		case <-ctx.Done():
			return reply{}, false
		}
	}
}

func (c *FlowCaller) send(s Segment) {
	s.Source = c.config.Caller
	s.Destination = c.config.Service
	datagram, err := s.Encode()
	if err != nil {
		return
	}
	c.fabric.Send(datagram)
}

// recordBroken counts a broken flow, separately if the zone of its endpoint has been
// taken out of service, even if the cutoff of the zone has not been reached.
func (c *FlowCaller) recordBroken(endpoint carawaycart.EndpointID) {
	hasCutoff := c.ledger.hasCutoff(string(c.zoneOf(endpoint)))
	c.ledger.Update(func(t *Totals) {
		if hasCutoff {
			t.FlowsEndedByZoneOut++
		} else {
			t.FlowsBroken++
		}
	})
}
