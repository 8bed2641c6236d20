package control

import (
	"context"
	"sync"
	"time"
)

// tasks is a set of goroutines that share a context and end with it.
type tasks struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// newTasks runs each of funcs in a goroutine.
func newTasks(funcs ...func(context.Context)) *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	g := &tasks{cancel: cancel}
	for _, task := range funcs {
		g.done.Go(func() { task(ctx) })
	}
	return g
}

// Close cancels the context and waits for the goroutines.
func (g *tasks) Close() {
	g.cancel()
	g.done.Wait()
}

// sleep waits for d. It returns false if ctx ends first.
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

// every calls f once per period until ctx ends, for the first time after one
// period.
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
