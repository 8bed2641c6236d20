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

// maxPending bounds the first packets that are held for another endpoint.
const maxPending = 4096

// Hedger sends first packets that go unanswered to another endpoint.
type Hedger struct {
	router *steer.Router
	conn   *net.UDPConn
	clock  carawaycart.Clock
	log    *eventlog.Log
	wake   chan struct{}
	stop   chan struct{}
	done   sync.WaitGroup

	mu      sync.Mutex
	pending []firstPacket // in order of due, nearly: patience differs between zones
}

// firstPacket is a first packet whose answer has not been seen.
type firstPacket struct {
	key  carawaycart.FlowKey
	data []byte // with room for the number before the packet
	due  time.Time
}

// NewHedger returns a hedger that sends by conn until Close.
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

// Close stops sending.
func (h *Hedger) Close() {
	close(h.stop)
	h.done.Wait()
}

// Hold keeps a copy of the first packet b, with the number before it, that was
// sent to an endpoint in zone at now.
func (h *Hedger) Hold(key *carawaycart.FlowKey, b []byte, zone carawaycart.ZoneID, now time.Time) {
	p := firstPacket{key: *key, data: append([]byte(nil), b...), due: now.Add(h.router.Patience(zone))}
	h.mu.Lock()
	idle := len(h.pending) == 0
	if len(h.pending) < maxPending {
		h.pending = append(h.pending, p)
	}
	h.mu.Unlock()
	if idle {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

// sendDue sends what is due, and returns how long until something else is, or
// zero if nothing is held.
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
		h.send(&p, now)
	}
}

func (h *Hedger) send(p *firstPacket, now time.Time) {
	d, ok := h.router.Hedge(&p.key, now)
	if !ok {
		return
	}
	platform.SetToken(p.data[platform.NumberBytes:], d.Token)
	platform.PutNumber(p.data, d.Number)
	if _, err := h.conn.WriteToUDPAddrPort(p.data, d.Address); err != nil {
		h.log.Event("hedgeFailed").Flow(&p.key).Err(err).End()
	}
	h.Hold(&p.key, p.data, d.Zone, now)
}
