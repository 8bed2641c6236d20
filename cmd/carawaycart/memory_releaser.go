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
// operating system. Instances are small and their memory is paid for, but the runtime
// by itself would retain memory that only a start or a burst needed for minutes.
type memoryReleaser struct {
	stop chan struct{}
	done sync.WaitGroup
}

// newMemoryReleaser returns a running memoryReleaser, which releases memory every
// period until close is called.
func newMemoryReleaser(period time.Duration) *memoryReleaser {
	r := &memoryReleaser{stop: make(chan struct{})}
	r.done.Go(func() {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-tick.C:
				debug.FreeOSMemory()
			}
		}
	})
	return r
}

// close stops the releases and waits until a release in progress has ended.
func (r *memoryReleaser) close() {
	close(r.stop)
	r.done.Wait()
}
