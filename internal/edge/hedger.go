package edge

import (
	"net"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

// maxPendingPackets limits the first packets that are retained for hedging. Further
// packets are not hedged.
const maxPendingPackets = 4096

// Hedger resends unanswered first packets of flows to another endpoint. It is safe
// for concurrent use.
type Hedger struct {
	router *steer.Router
	conn   *net.UDPConn
	clock  carawaycart.Clock
	log    *eventlog.Log
	wake   chan struct{} // signaled when a packet is added to an empty pending
	stop   chan struct{} // closed by Close
	done   sync.WaitGroup

	mu      sync.Mutex
	pending []pendingPacket // ordered by due, except between zones with different timeouts
}

// pendingPacket is a first packet that is resent unless the router has seen its
// answer by the time it is due.
type pendingPacket struct {
	key  carawaycart.FlowKey
	data []byte    // the packet, after room for the endpoint's number
	due  time.Time // when the timeout for the answer expires
}

// NewHedger returns a hedger that sends on conn until Close is called.
func NewHedger(r *steer.Router, conn *net.UDPConn, k carawaycart.Clock, log *eventlog.Log) *Hedger {
	h := &Hedger{router: r, conn: conn, clock: k, log: log, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	h.done.Go(func() {
		for {
			wait := h.sendDue()
			var due <-chan time.Time
			if wait > 0 {
				due = time.After(wait)
			}
			select {
			case <-h.stop:
				return
			case <-h.wake:
			case <-due:
			}
		}
	})
	return h
}

// Close stops the hedger. Pending packets are discarded.
func (h *Hedger) Close() {
	close(h.stop)
	h.done.Wait()
}

// Schedule retains a copy of b, the first packet of the flow at key, which was sent
// to an endpoint in zone at now. The packet in b follows the endpoint's number. The
// copy is resent to another endpoint if no answer arrives within the zone's timeout.
func (h *Hedger) Schedule(key *carawaycart.FlowKey, b []byte, zone carawaycart.ZoneID, now time.Time) {
	p := pendingPacket{key: *key, data: append([]byte(nil), b...), due: now.Add(h.router.FirstPacketTimeout(zone))}
	h.mu.Lock()
	wasEmpty := len(h.pending) == 0
	if len(h.pending) < maxPendingPackets {
		h.pending = append(h.pending, p)
	}
	h.mu.Unlock()
	if wasEmpty {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

// sendDue hedges the packets that are due. It returns the time until the next
// packet is due, or zero if none is pending.
func (h *Hedger) sendDue() time.Duration {
	for {
		now := h.clock.Now()
		h.mu.Lock()
		if len(h.pending) == 0 {
			h.pending = nil
			h.mu.Unlock()
			return 0
		}
		p := h.pending[0]
		if wait := p.due.Sub(now); wait > 0 {
			h.mu.Unlock()
			return wait
		}
		h.pending = h.pending[1:]
		h.mu.Unlock()
		h.hedge(&p, now)
	}
}

// hedge resends p to another endpoint if the router chooses one, and schedules the
// next resend.
func (h *Hedger) hedge(p *pendingPacket, now time.Time) {
	d, ok := h.router.Hedge(&p.key, now)
	if !ok {
		return
	}
	platform.SetToken(p.data[platform.EndpointNumberBytes:], d.Token)
	platform.PutEndpointNumber(p.data, d.Number)
	if _, err := h.conn.WriteToUDPAddrPort(p.data, d.Address); err != nil {
		h.log.Event("hedgeFailed").Flow(&p.key).Err(err).End()
	}
	h.Schedule(&p.key, p.data, d.Zone, now)
}
