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
	firstTimeout = 400 * time.Millisecond // until a segment is sent again
	maxTimeout   = 1600 * time.Millisecond
	maxTries     = 9 // of one segment, before its flow counts as broken
)

// FlowConfig describes a flow of a caller.
type FlowConfig struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Interval time.Duration // between data segments
	Deadline time.Time     // when the caller ends the flow
}

// FlowCaller is a stand-in for a caller with one feed or upload.
type FlowCaller struct {
	config FlowConfig
	fabric *Fabric
	ledger *Ledger
	zones  func(carawaycart.EndpointID) carawaycart.ZoneID

	mu      sync.Mutex
	replies chan reply
	host    carawaycart.EndpointID
}

// NewFlowCaller returns a caller whose flow is not yet opened; zones gives the
// availability zone of a host.
func NewFlowCaller(c FlowConfig, f *Fabric, l *Ledger, zones func(carawaycart.EndpointID) carawaycart.ZoneID) *FlowCaller {
	return &FlowCaller{config: c, fabric: f, ledger: l, zones: zones, replies: make(chan reply, 8)}
}

// Host returns the host that the flow is established with, if any.
func (c *FlowCaller) Host() carawaycart.EndpointID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host
}

// Run opens the flow, keeps it up until its deadline or the end of ctx, and
// counts how it ended.
func (c *FlowCaller) Run(ctx context.Context) {
	c.fabric.attach(c.config.Caller, func(r reply) {
		select {
		case c.replies <- r:
		default: // as a full socket buffer
		}
	})
	defer c.fabric.detach(c.config.Caller)
	first, ok := c.exchange(ctx, Segment{SYN: true}, func(r reply) bool { return r.syn })
	if !ok {
		if ctx.Err() == nil {
			c.ledger.Count(func(t *Totals) { t.FlowsNotOpened++ })
		}
		return
	}
	c.setHost(first.host)
	defer c.setHost("")
	c.ledger.Count(func(t *Totals) { t.FlowsOpened++ })
	if !c.stream(ctx, first.host) {
		c.broken(first.host)
	}
}

func (c *FlowCaller) setHost(h carawaycart.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host = h
}

// stream sends data until the flow is to end, and reports whether all of it was
// acknowledged by host.
func (c *FlowCaller) stream(ctx context.Context, host carawaycart.EndpointID) bool {
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
		s := Segment{ACK: true, Number: number, Payload: dataPayload(number)}
		r, ok := c.exchange(context.WithoutCancel(ctx), s, func(r reply) bool { return r.number == number })
		if !ok || r.host != host {
			klog.V(1).InfoS("flow broken", "caller", c.config.Caller, "host", host, "answered", r.host, "reset", r.rst, "number", number)
			return false
		}
	}
}

// exchange sends s until an answer matches; a reset ends it.
func (c *FlowCaller) exchange(ctx context.Context, s Segment, match func(reply) bool) (reply, bool) {
	timeout := firstTimeout
	for range maxTries {
		c.send(s)
		r, ok := c.await(ctx, timeout, match)
		if ok {
			return r, !r.rst
		}
		if ctx.Err() != nil {
			return reply{}, false
		}
		timeout = min(2*timeout, maxTimeout)
	}
	return reply{}, false
}

func (c *FlowCaller) await(ctx context.Context, timeout time.Duration, match func(reply) bool) (reply, bool) {
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

func (c *FlowCaller) broken(host carawaycart.EndpointID) {
	out := c.ledger.out(string(c.zones(host)))
	c.ledger.Count(func(t *Totals) {
		if out {
			t.FlowsGivenUpByZoneOut++
		} else {
			t.FlowsBroken++
		}
	})
}
