package edge

import (
	"net"
	"sync"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
)

// backlogSender forwards the packets of a backlog as soon as the router can decide on
// them.
type backlogSender struct {
	stop chan struct{} // closed by close
	done sync.WaitGroup
}

// newBacklogSender returns a sender that translates the packets in b with t, and sends
// the results on conn, once r has a routing configuration.
func newBacklogSender(b *steer.Backlog, r *steer.Router, t *translator, conn *net.UDPConn, k carawaycart.Clock, log *eventlog.Log) *backlogSender {
	s := &backlogSender{stop: make(chan struct{})}
	s.done.Go(func() {
		select {
		case <-s.stop:
			return
		case <-r.Configured():
		}
		sent := 0
		packets, discarded := b.Take(k.Now())
		for _, p := range packets {
			t.waited = p.Waited
			if data, to, ok := t.Translate(p.Data); ok {
				if _, err := conn.WriteToUDPAddrPort(data, to); err == nil {
					sent++
				}
			}
		}
		log.Event("backlog").Int("packets", int64(len(packets))).Int("sent", int64(sent)).Int("discarded", int64(discarded)).End()
	})
	return s
}

// close stops the sender.
func (s *backlogSender) close() {
	close(s.stop)
	s.done.Wait()
}
