package edge

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/internal/eventlog"
	"carawaycart/internal/settings"
	"carawaycart/platform"
)

const (
	// readTimeout limits a read of the store, which takes 4 ms, and up to 60 times
	// as long when the store is slow.
	readTimeout = time.Second

	// seedHeadStart is the time that seeds have to answer before the store is read.
	// A seed answers within 5 ms.
	seedHeadStart = 12 * time.Millisecond

	// firstStartHeadStart replaces seedHeadStart when the whole fleet starts for the
	// first time. Seeds then take up to 0.3 s to answer.
	firstStartHeadStart = time.Second

	// firstReadRetryPeriod is the time between the first failed read and the next while
	// the store has never been read.
	firstReadRetryPeriod = 100 * time.Millisecond
)

// Reader reads the store when the fleet's last read is too old, and maintains the
// instance's registration.
type Reader struct {
	self         carawaycart.InstanceID
	zone         carawaycart.ZoneID
	store        *platform.Store
	view         *View
	disseminator *Disseminator
	registrar    *Registrar
	watcher      *Watcher
	clock        carawaycart.Clock
	log          *eventlog.Log

	firstRead time.Time // when the store is first read if no seed has answered
	failures  int       // consecutive failed reads
	retryAt   time.Time // when the store may be read again after a failed read
	// loadingSince is when the answer to the read in progress began to arrive, in Unix
	// nanoseconds of clock; zero if there is none.
	loadingSince atomic.Int64
	cancel       context.CancelFunc
	done         sync.WaitGroup
}

// NewReader returns a reader for the instance with settings s. It reads store into
// v, and tells w of its reads, until Close is called.
func NewReader(s settings.Settings, store *platform.Store, v *View, d *Disseminator, g *Registrar, w *Watcher, k carawaycart.Clock, log *eventlog.Log) *Reader {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{self: s.ID, zone: s.Zone, store: store, view: v, disseminator: d, registrar: g, watcher: w, clock: k, log: log, cancel: cancel}
	r.firstRead = k.Now().Add(headStart(s))
	r.done.Go(func() {
		for ctx.Err() == nil {
			r.readWhenDue(ctx)
		}
	})
	return r
}

// Close cancels a read in progress and stops the reader.
func (r *Reader) Close() {
	r.cancel()
	r.done.Wait()
}

// Loading reports whether an answer of the store has been arriving for so long that it may
// delay other traffic of the instance.
func (r *Reader) Loading() bool {
	since := r.loadingSince.Load()
	return since != 0 && r.clock.Now().Sub(time.Unix(0, since)) > longLoad
}

// headStart returns how long the instance waits for its seeds before it reads the
// store. It is zero for an instance that is a seed or has no seeds.
func headStart(s settings.Settings) time.Duration {
	isSelf := func(a netip.AddrPort) bool { return a.Addr() == s.PeerAddress.Addr() }
	switch {
	case len(s.Seeds) == 0 || slices.ContainsFunc(s.Seeds, isSelf):
		return 0
	case s.FirstStart:
		return firstStartHeadStart
	}
	return seedHeadStart
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readWhenDue waits until a read is due and reads the store, unless a peer reads it
// first. It then reconciles the registration. Before the first read, a snapshot or
// update from a peer ends the wait.
func (r *Reader) readWhenDue(ctx context.Context) {
	state := r.view.State()
	wait := r.nextRead(&state).Sub(r.clock.Now())
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		var renewed <-chan struct{}
		if state.LastReadAt.IsZero() {
			renewed = state.Renewed
		}
		select {
		case <-ctx.Done():
			return
		case <-renewed:
		case <-t.C:
		}
		// Reads and failed reads of peers have moved the time meanwhile.
		state = r.view.State()
		if r.nextRead(&state).After(r.clock.Now()) {
			r.watcher.Wake()
			r.registrar.Reconcile(ctx)
			return
		}
	}
	r.read(ctx)
	r.registrar.Reconcile(ctx)
}

// nextRead returns the time at which the instance reads the store, unless it learns
// of a read by a peer before that time.
func (r *Reader) nextRead(state *State) time.Time {
	if state.LastReadAt.IsZero() {
		return laterTime(r.firstRead, r.retryAt)
	}
	return directory.NextRead(&directory.ReadState{
		Self: r.self, Zone: r.zone, Instances: state.Instances, Listed: r.registrar.Written(),
		LastReadAt: state.LastReadAt, Failures: state.FailedReads, RetryAt: r.retryAt,
	}, r.clock.Now())
}

// read reads the store into the view and broadcasts the delta to peers. A failure is
// recorded in the view, delays the next read and is broadcast too, so that the others do
// not all try in vain.
func (r *Reader) read(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := r.clock.Now()
	overdue := time.AfterFunc(directory.OverdueRead, r.disseminator.BroadcastFailedRead)
	defer overdue.Stop()
	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		overdue.Stop()
		r.loadingSince.CompareAndSwap(0, r.clock.Now().UnixNano())
	}})
	defer r.loadingSince.Store(0)
	read, err := r.store.ReadAll(callCtx, "")
	now := r.clock.Now()
	if err != nil {
		if ctx.Err() != nil {
			return
		}
		r.view.RecordStoreFailure(now)
		r.view.RecordFailedRead(r.self, now)
		r.failures++
		period := directory.RetryPeriod
		if r.view.State().LastReadAt.IsZero() {
			period = firstReadRetryPeriod
		}
		r.retryAt = now.Add(directory.Backoff(period, r.failures))
		r.log.Event("storeFailed").Int("failures", int64(r.failures)).Millis("tookMs", now.Sub(began)).Err(err).End()
		r.disseminator.BroadcastFailedRead()
		return
	}
	if r.failures > 0 {
		r.log.Event("storeRegained").Int("failures", int64(r.failures)).Int("era", int64(read.Era)).Int("revision", int64(read.Revision)).End()
	}
	r.failures, r.retryAt = 0, time.Time{}
	delta := r.view.ApplyRead(read, began)
	r.log.Event("read").Int("era", int64(read.Era)).Int("revision", int64(read.Revision)).Int("written", int64(len(delta.Items))).
		Int("missing", int64(len(delta.RemovedKeys))).Millis("tookMs", now.Sub(began)).End()
	r.disseminator.Broadcast(delta, began)
	r.watcher.RecordRead(delta, began)
	r.rewriteLost(callCtx)
	r.recordZones(callCtx)
}

// recordZones changes the records of zones that are out, or were, so that instances that
// start while a zone returns learn of it. A change that fails is due again with the next
// read.
func (r *Reader) recordZones(ctx context.Context) {
	for _, c := range r.view.DueZoneRecords() {
		key := platform.ZoneRecordKey(c.Zone)
		var done bool
		var err error
		if c.Remove {
			done, err = r.store.CompareAndDelete(ctx, key, carawaycart.StoreIndex(c.Expected))
		} else {
			done, err = r.store.CompareAndSwap(ctx, key, []byte("{}"), carawaycart.StoreIndex(c.Expected))
		}
		r.log.Event("zoneRecorded").Text("zone", string(c.Zone)).Bool("removed", c.Remove).Bool("done", done).
			Int("revision", int64(c.Expected)).Err(err).End()
	}
}

// isClosed reports whether err results from the use of a closed connection.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
