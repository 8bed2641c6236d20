package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/internal/eventlog"
	"carawaycart/internal/rendezvous"
	"carawaycart/internal/settings"
	"carawaycart/platform"
)

const (
	readPeriod     = 600 * time.Millisecond // between reads of the fleet; changes must be in force within 3 s
	zoneStep       = 150 * time.Millisecond // an instance of the next zone waits longer by this; a read takes up to 120 ms on a 10 Mbit/s link
	rankStep       = 200 * time.Millisecond // the next instance of a zone waits longer by this
	maxZone        = 4                      // zones wait no longer than this one
	maxRank        = 4                      // ranks wait no longer than this one
	readLimit      = time.Second            // for the store's answer, which takes 4 ms and up to 60 times that when slow
	seedHeadStart  = 12 * time.Millisecond  // a seed answers within 5 ms
	startHeadStart = time.Second            // when the whole fleet starts for the first time, seeds take up to 0.3 s
	firstRetry     = 100 * time.Millisecond
	retryPeriod    = 400 * time.Millisecond
	maxRetry       = 2 * time.Second
	maxRetries     = 6 // doublings of a retry
)

// Reader reads the store when the fleet's last read is too old.
type Reader struct {
	self      carawaycart.InstanceID
	zone      carawaycart.ZoneID
	store     *platform.Store
	view      *View
	courier   *Courier
	registrar *Registrar
	clock     carawaycart.Clock
	log       *eventlog.Log

	first    time.Time // when the store is read if no seed has answered
	failures int
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// NewReader returns a reader for the instance with settings s that reads store
// into v until Close.
func NewReader(s settings.Settings, store *platform.Store, v *View, c *Courier, g *Registrar, k carawaycart.Clock, log *eventlog.Log) *Reader {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{self: s.ID, zone: s.Zone, store: store, view: v, courier: c, registrar: g, clock: k, log: log, cancel: cancel}
	r.first = k.Now().Add(headStart(s))
	r.done.Go(func() {
		for ctx.Err() == nil {
			r.step(ctx)
		}
	})
	return r
}

// Close stops reading.
func (r *Reader) Close() {
	r.cancel()
	r.done.Wait()
}

// headStart returns how much sooner than the store the seeds are asked. An
// instance that is a seed itself, or has none, reads the store at once.
func headStart(s settings.Settings) time.Duration {
	own := func(a netip.AddrPort) bool { return a.Addr() == s.Peer.Addr() }
	switch {
	case len(s.Seeds) == 0 || slices.ContainsFunc(s.Seeds, own):
		return 0
	case s.FirstStart:
		return startHeadStart
	}
	return seedHeadStart
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// step waits until a read is due, unless a peer reads first.
func (r *Reader) step(ctx context.Context) {
	s := r.view.State()
	wait := r.due(&s).Sub(r.clock.Now())
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		var moved <-chan struct{}
		if s.Confirmed.IsZero() {
			moved = s.Moved
		}
		select {
		case <-ctx.Done():
			return
		case <-moved:
		case <-t.C:
		}
		if !r.view.State().Confirmed.Equal(s.Confirmed) {
			r.registrar.Tend(ctx)
			return
		}
	}
	r.read(ctx)
	r.registrar.Tend(ctx)
}

// due returns when the instance has to read the store if nobody has before.
func (r *Reader) due(s *State) time.Time {
	if s.Confirmed.IsZero() {
		return later(r.first, r.clock.Now().Add(r.backoff(firstRetry)))
	}
	due := s.Confirmed.Add(readPeriod + delay(r.self, r.zone, s.Instances, r.registrar.Written()))
	if r.failures > 0 {
		if retry := r.clock.Now().Add(r.backoff(retryPeriod)); retry.After(due) {
			return retry
		}
	}
	return due
}

// backoff returns how long to wait after failures in a row.
func (r *Reader) backoff(first time.Duration) time.Duration {
	if r.failures == 0 {
		return 0
	}
	return min(first<<min(r.failures-1, maxRetries), maxRetry)
}

// delay returns how much longer than readPeriod the instance waits for others to
// read: zones take turns in their order, and so do the instances of a zone. Those
// that are not listed yet, and have not written their entry themselves, come last:
// they do not know how many of them there are.
func delay(self carawaycart.InstanceID, zone carawaycart.ZoneID, instances []carawaycart.Registration, written bool) time.Duration {
	key := rendezvous.NewKey("reader")
	own := rendezvous.Score(rendezvous.NewName(string(self)), key)
	rank := 0
	zones := []carawaycart.ZoneID{zone}
	listed := written
	for _, i := range instances {
		listed = listed || i.ID == self
		if !slices.Contains(zones, i.Zone) {
			zones = append(zones, i.Zone)
		}
		if i.Zone == zone && i.ID != self && rendezvous.Score(rendezvous.NewName(string(i.ID)), key) > own {
			rank++
		}
	}
	if !listed {
		rank = maxRank
	}
	slices.Sort(zones)
	return time.Duration(min(slices.Index(zones, zone), maxZone))*zoneStep + time.Duration(min(rank, maxRank))*rankStep
}

// read reads the store and tells the peers.
func (r *Reader) read(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	began := r.clock.Now()
	read, err := r.store.ReadAll(call, "")
	now := r.clock.Now()
	if err != nil {
		if ctx.Err() != nil {
			return
		}
		r.view.Trouble(now)
		r.failures++
		r.log.Event("storeFailed").Int("failures", int64(r.failures)).Millis("tookMs", now.Sub(began)).Err(err).End()
		return
	}
	if r.failures > 0 {
		r.log.Event("storeRegained").Int("failures", int64(r.failures)).Int("revision", int64(read.At)).End()
	}
	r.failures = 0
	change := r.view.TakeRead(read, began)
	r.log.Event("read").Int("revision", int64(read.At)).Int("written", int64(len(change.Items))).
		Int("missing", int64(len(change.Missing))).Millis("tookMs", now.Sub(began)).End()
	r.courier.Tell(change, began)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
