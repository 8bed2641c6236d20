package edge

import (
	"sync/atomic"
	"time"
)

const (
	// stallThreshold is the time without a tick from which the process counts as stalled: three
	// periods of ticks, and less than the 200 ms after which callers resend a first packet.
	stallThreshold = 3 * deadlineResolution
	// stallDrainPeriod is the time after a stall in which the packets that have waited in the
	// buffer of the socket are read.
	stallDrainPeriod = 100 * time.Millisecond
)

// stallDetector tells when packets may have waited in the buffer of the socket because the
// process did not run: it was frozen, or got no processor. It is safe for concurrent use.
type stallDetector struct {
	tickedAt     atomic.Int64 // time of the last tick, in Unix nanoseconds
	drainedUntil atomic.Int64 // when the packets from the last stall have been read, likewise
}

// newStallDetector returns a detector that is ticked for the first time at now.
func newStallDetector(now time.Time) *stallDetector {
	d := &stallDetector{}
	d.tickedAt.Store(now.UnixNano())
	return d
}

// tick records that the process runs at now. It must be called every deadlineResolution.
func (d *stallDetector) tick(now time.Time) {
	if d.sinceTick(now) >= stallThreshold {
		d.drainedUntil.Store(now.Add(stallDrainPeriod).UnixNano())
	}
	d.tickedAt.Store(now.UnixNano())
}

// mayHaveWaited reports whether a packet that is read at now may have waited for about
// stallThreshold or longer.
func (d *stallDetector) mayHaveWaited(now time.Time) bool {
	return d.sinceTick(now) >= stallThreshold || now.UnixNano() < d.drainedUntil.Load()
}

// sinceTick returns the time from the last tick to now.
func (d *stallDetector) sinceTick(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - d.tickedAt.Load())
}
