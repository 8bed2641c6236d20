package main

import (
	"runtime"
	"runtime/metrics"
	"testing"
	"time"
)

// releasedBytes returns the number of heap bytes that the runtime has returned to
// the operating system.
func releasedBytes() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

// TestMemoryReleaserReturnsUnusedMemory guards against unused memory that stays with
// the runtime, as it does after a burst if nothing releases it.
func TestMemoryReleaserReturnsUnusedMemory(t *testing.T) {
	const allocatedBytes = 32 << 20
	b := make([]byte, allocatedBytes)
	for i := range b {
		b[i] = 1
	}
	before := releasedBytes()
	runtime.KeepAlive(b)
	releaser := newMemoryReleaser(10 * time.Millisecond)
	defer releaser.close()
	for range 500 { // upper limit, so that a failing test ends
		if releasedBytes() >= before+allocatedBytes/2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got %d bytes released, want about %d", releasedBytes()-before, allocatedBytes)
}
