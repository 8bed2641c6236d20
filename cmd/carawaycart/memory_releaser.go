package main

import (
	"runtime/debug"
	"sync"
	"time"
)

// memoryReleasePeriod is the time between releases of unused memory. Each release
// forces a garbage collection, which takes about 1 ms for the few megabytes of an
// instance.
const memoryReleasePeriod = 5 * time.Second

// memoryReleaser periodically returns unused memory of the Go runtime to the
// operating system. Instances are small and memory has a price, and the runtime by
// itself would retain the memory needed by a start or a burst for minutes.
type memoryReleaser struct {
	stop chan struct{}
	done sync.WaitGroup
}

// newMemoryReleaser returns a running memoryReleaser, which releases memory every
// period until close.
func newMemoryReleaser(period time.Duration) *memoryReleaser {
	t := &memoryReleaser{stop: make(chan struct{})}
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

func (t *memoryReleaser) close() {
	close(t.stop)
	t.done.Wait()
}
