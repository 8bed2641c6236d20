package edge

import (
	"net"
	"slices"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

// queuePollPeriod is the longest time between two dispatches while first packets are queued.
// Most follow the end of a request at once.
const queuePollPeriod = 20 * time.Millisecond

// queueSender retains the first packets that a router has queued, and sends them when the
// router dispatches them. It is safe for concurrent use.
type queueSender struct {
	router *steer.Router
	hedger *Hedger
	conn   *net.UDPConn
	clock  carawaycart.Clock
	log    *eventlog.Log
	wake   chan struct{} // signaled by wakeUp
	stop   chan struct{} // closed by close
	done   sync.WaitGroup

	mu      sync.Mutex
	packets map[carawaycart.FlowKey][]byte // first packets, after room for the endpoint's number
	// early holds the decisions on packets that were dispatched before they were retained.
	early map[carawaycart.FlowKey]carawaycart.Decision
}

// newQueueSender returns a sender that sends on conn, and lets h hedge what it has sent, until
// close is called.
func newQueueSender(r *steer.Router, h *Hedger, conn *net.UDPConn, k carawaycart.Clock, log *eventlog.Log) *queueSender {
	q := &queueSender{
		router: r, hedger: h, conn: conn, clock: k, log: log, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		packets: make(map[carawaycart.FlowKey][]byte), early: make(map[carawaycart.FlowKey]carawaycart.Decision),
	}
	q.done.Go(func() {
		for {
			var poll <-chan time.Time
			if q.sendDispatched() > 0 {
				poll = time.After(queuePollPeriod)
			}
			select {
			case <-q.stop:
				return
			case <-q.wake:
			case <-poll:
			}
		}
	})
	return q
}

// close stops the sender. Retained packets are discarded.
func (q *queueSender) close() {
	close(q.stop)
	q.done.Wait()
}

// wakeUp lets the sender ask the router for dispatched packets.
func (q *queueSender) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// retain stores a copy of b, the first packet of the flow with the given key, after room for
// the endpoint's number. It does nothing if the packet is retained already. If the router has
// dispatched the packet since it was queued, it is sent at once.
func (q *queueSender) retain(key *carawaycart.FlowKey, b []byte) {
	q.mu.Lock()
	if d, ok := q.early[*key]; ok {
		delete(q.early, *key)
		q.mu.Unlock()
		q.send(key, b, &d, q.clock.Now())
		return
	}
	wasEmpty := len(q.packets) == 0
	if q.packets[*key] == nil { // the queue of the router limits their number
		q.packets[*key] = slices.Clone(b)
	}
	q.mu.Unlock()
	if wasEmpty {
		q.wakeUp()
	}
}

// sendDispatched sends the packets that the router dispatches, and discards those that it
// drops. It returns the number of packets that are still retained.
func (q *queueSender) sendDispatched() int {
	now := q.clock.Now()
	dispatched := q.router.DispatchQueued(now)
	for i := range dispatched {
		d := &dispatched[i]
		q.mu.Lock()
		b := q.packets[d.Key]
		delete(q.packets, d.Key)
		if b == nil {
			q.early[d.Key] = d.Decision
		}
		q.mu.Unlock()
		if b != nil {
			q.send(&d.Key, b, &d.Decision, now)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.packets)
}

// send sends b, a first packet after room for the endpoint's number, as d decides at now.
func (q *queueSender) send(key *carawaycart.FlowKey, b []byte, d *carawaycart.Decision, now time.Time) {
	if d.Verdict != carawaycart.VerdictForward {
		return
	}
	platform.SetToken(b[platform.EndpointNumberBytes:], d.Token)
	platform.PutEndpointNumber(b, d.Number)
	if _, err := q.conn.WriteToUDPAddrPort(b, d.Address); err != nil {
		q.log.Event("dispatchFailed").Flow(key).Err(err).End()
	}
	q.hedger.Schedule(key, b, d.Zone, now)
}
