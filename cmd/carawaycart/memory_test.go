package main

import (
	"runtime"
	"runtime/metrics"
	"testing"
	"time"
)

// released returns how much memory the runtime has returned.
func released() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

func TestTrimmerReturnsUnusedMemory(t *testing.T) {
	const held = 32 << 20
	b := make([]byte, held)
	for i := range b {
		b[i] = 1
	}
	before := released()
	runtime.KeepAlive(b)
	trim := newTrimmer(10 * time.Millisecond)
	defer trim.close()
	for range 500 { // bounded only to end a test that has failed
		if released() >= before+held/2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got %d bytes returned, want about %d", released()-before, held)
}
