package edge

import (
	"context"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

const (
	// watchPeriod is the longest time that one watch of the store waits. A watch whose
	// connection has gone silent is given up after that.
	watchPeriod = 5 * time.Second

	// watchPause is the time between two watches, in which further changes gather.
	watchPause = 40 * time.Millisecond
)

// Watcher watches the items of endpoints in the store, so that the fleet learns at once of
// endpoints that have started again or become cold. It watches while its instance is the one
// that reads the store for the fleet, or is to read next. All other changes, and those that a
// watch misses, are left to the reads.
type Watcher struct {
	self         carawaycart.InstanceID
	zone         carawaycart.ZoneID
	store        *platform.Store
	view         *View
	disseminator *Disseminator
	clock        carawaycart.Clock
	log          *eventlog.Log

	mu       sync.Mutex
	readAt   time.Time                 // start of the last read by this instance
	reported carawaycart.StoreRevision // revision up to which the watch has reported
	expected carawaycart.StoreRevision // revision of the newest item of an endpoint in a read
	stopped  context.CancelFunc        // ends the watch in progress; nil if there is none
	due      chan struct{}             // signaled by Wake
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// NewWatcher returns a watcher for an instance in zone. It applies the changes in store to v,
// and sends them to peers through d, until Close is called.
func NewWatcher(self carawaycart.InstanceID, zone carawaycart.ZoneID, store *platform.Store, v *View, d *Disseminator,
	k carawaycart.Clock, log *eventlog.Log,
) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{self: self, zone: zone, store: store, view: v, disseminator: d, clock: k, log: log, due: make(chan struct{}, 1), cancel: cancel}
	w.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-w.due:
				w.watch(ctx)
			}
		}
	})
	return w
}

// Close ends the watch in progress and stops the watcher.
func (w *Watcher) Close() {
	w.cancel()
	w.done.Wait()
}

// RecordRead records a read of the store by this instance that began at began and made the
// changes in delta. It ends a watch that has not reported what the read before had shown.
func (w *Watcher) RecordRead(delta directory.Delta, began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readAt = began
	if w.stopped != nil && w.reported < w.expected {
		w.stopped()
	}
	for _, i := range delta.Items {
		if platform.IsEndpointKey(i.Key) {
			w.expected = max(w.expected, min(i.Revision, delta.To.Revision))
		}
	}
	w.Wake()
}

// Wake lets the watcher begin to watch, if it is to and does not yet. It is called after each
// read of the store by any instance.
func (w *Watcher) Wake() {
	select {
	case w.due <- struct{}{}:
	default:
	}
}

// watches reports whether the instance is to watch the store: no other one has read it since,
// or the instance is one of the first in the order of reads.
func (w *Watcher) watches() bool {
	state := w.view.State()
	w.mu.Lock()
	isReader := !state.LastReadAt.After(w.readAt)
	w.mu.Unlock()
	return isReader || directory.Watches(&directory.ReadState{
		Self: w.self, Zone: w.zone, Instances: state.Instances, Failures: state.FailedReads,
	}, w.clock.Now())
}

// watch watches the store from the position of the view on, until a watch fails, the store
// is restored or the instance is no longer to watch.
func (w *Watcher) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	position := w.view.State().Position
	w.mu.Lock()
	w.reported, w.expected, w.stopped = position.Revision, 0, cancel
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.stopped = nil
		w.mu.Unlock()
	}()
	for after := position.Revision; ctx.Err() == nil && w.watches(); {
		began := w.clock.Now()
		changes, err := w.watchOnce(ctx, after)
		if err != nil {
			w.log.Event("watchFailed").Int("revision", int64(after)).Err(err).End()
			return
		}
		if changes.Era != position.Era || changes.Revision <= after && w.clock.Now().Sub(began) < watchPeriod/2 {
			return // a store that does not wait is asked again after the next read only
		}
		if applied := w.view.ApplyAhead(changes.Items, changes.Era, "watch"); len(applied) > 0 {
			w.disseminator.BroadcastAhead(applied, changes.Era)
		}
		if changes.Revision > after {
			after = changes.Revision
			w.mu.Lock()
			w.reported = after
			w.mu.Unlock()
		}
		sleep(ctx, watchPause)
	}
}

// watchOnce makes one call that waits for changes after a revision.
func (w *Watcher) watchOnce(ctx context.Context, after carawaycart.StoreRevision) (platform.EndpointChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, watchPeriod+readTimeout)
	defer cancel()
	return w.store.WatchEndpoints(ctx, after, watchPeriod)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
