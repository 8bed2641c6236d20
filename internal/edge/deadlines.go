package edge

import (
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
)

// deadlineResolution is the period at which the deadlines of requests are checked. It is
// a fraction of the shortest timeout for answers, 150 ms.
const deadlineResolution = 50 * time.Millisecond

// deadlineTimer lets a router process the deadlines of requests, independently of
// packets, and shows a stallDetector that the process runs.
type deadlineTimer struct {
	stop chan struct{} // closed by close
	done sync.WaitGroup
}

// newDeadlineTimer returns a timer for r and d that runs until close is called.
func newDeadlineTimer(r *steer.Router, d *stallDetector, n *Disseminator, k carawaycart.Clock) *deadlineTimer {
	t := &deadlineTimer{stop: make(chan struct{})}
	t.done.Go(func() {
		ticker := time.NewTicker(deadlineResolution)
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
				now := k.Now()
				d.tick(now)
				r.ProcessDeadlines(now)
				r.SampleLoads(now)
				n.BroadcastLoads(now)
			}
		}
	})
	return t
}

// close stops the timer and waits for a check in progress.
func (t *deadlineTimer) close() {
	close(t.stop)
	t.done.Wait()
}
