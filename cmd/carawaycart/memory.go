package main

import (
	"runtime/debug"
	"sync"
	"time"
)

// trimPeriod is between returns of unused memory; a collection of an instance's
// few megabytes takes about a millisecond.
const trimPeriod = 5 * time.Second

// trimmer returns memory that the runtime holds unused to the operating system,
// since instances are small and memory has a price. The runtime itself would keep
// what a start or a burst needed for minutes.
type trimmer struct {
	stop chan struct{}
	done sync.WaitGroup
}

// newTrimmer returns a trimmer that works each period until close.
func newTrimmer(period time.Duration) *trimmer {
	t := &trimmer{stop: make(chan struct{})}
	t.done.Go(func() {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-tick.C:
				debug.FreeOSMemory()
			}
		}
	})
	return t
}

func (t *trimmer) close() {
	close(t.stop)
	t.done.Wait()
}
