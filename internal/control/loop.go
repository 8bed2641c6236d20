package control

import (
	"context"
	"sync"
	"time"
)

// loop is a set of goroutines that end with its context.
type loop struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// newLoop runs each of bodies in a goroutine.
func newLoop(bodies ...func(context.Context)) *loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loop{cancel: cancel}
	for _, body := range bodies {
		l.done.Go(func() { body(ctx) })
	}
	return l
}

// Close ends the goroutines and waits for them.
func (l *loop) Close() {
	l.cancel()
	l.done.Wait()
}

// sleep waits for d and reports whether ctx still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// every calls f each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
