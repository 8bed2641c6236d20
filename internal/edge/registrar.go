package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

const (
	leaseLength    = 10 * time.Minute // the longest the store grants; a dead instance is listed no longer
	renewPeriod    = leaseLength / 3
	registerPeriod = 3 * time.Second        // between tries; a written entry shows after the next read
	gatherPeriod   = 400 * time.Millisecond // for others that start at the same time to ask
	registerLimit  = time.Second
)

// Registrar keeps the instance's entry in the store, by which peers find it. An
// instance that starts asks a peer to write its entry with those of others, and
// does so itself if it is not listed soon.
type Registrar struct {
	own   carawaycart.Registration
	store *platform.Store
	view  *View
	clock carawaycart.Clock
	log   *eventlog.Log

	mu     sync.Mutex
	lease  platform.LeaseID
	renew  time.Time // when the lease has to be renewed
	retry  time.Time // when entries may be written again
	asked  []carawaycart.Registration
	gather time.Time // when the entries of asked are to be written
}

// NewRegistrar returns a registrar for own, which has not been written yet.
func NewRegistrar(own carawaycart.Registration, s *platform.Store, v *View, k carawaycart.Clock, log *eventlog.Log) *Registrar {
	return &Registrar{own: own, store: s, view: v, clock: k, log: log}
}

// Asked notes that a peer has been asked to write the instance's entry.
func (g *Registrar) Asked() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retry = g.clock.Now().Add(registerPeriod)
}

// Ask takes in that an instance wants its entry written.
func (g *Registrar) Ask(r carawaycart.Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.asked) == 0 {
		g.gather = g.clock.Now().Add(gatherPeriod)
	}
	if !slices.Contains(g.asked, r) {
		g.asked = append(g.asked, r)
	}
}

// Written reports whether the instance has written an entry under a lease of its own.
func (g *Registrar) Written() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease != 0
}

// Tend writes the entries that are missing, and renews their lease when it is
// time.
func (g *Registrar) Tend(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.view.State()
	now := g.clock.Now()
	if s.Confirmed.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerLimit)
	defer cancel()
	if missing := g.missing(&s, now); len(missing) > 0 {
		g.retry = now.Add(registerPeriod)
		if err := g.register(ctx, missing, now); err != nil {
			g.log.Event("registrationFailed").Int("entries", int64(len(missing))).Err(err).End()
			return
		}
		g.asked = nil
		g.log.Event("registered").Int("entries", int64(len(missing))).Int("lease", int64(g.lease)).End()
		return
	}
	if g.lease != 0 && now.After(g.renew) {
		g.renew = now.Add(registerPeriod)
		if err := g.store.Renew(ctx, g.lease); err != nil {
			g.lease = 0
			g.log.Event("leaseLost").Err(err).End()
			return
		}
		g.renew = now.Add(renewPeriod)
	}
}

// missing returns the registrations that are to be written at now.
func (g *Registrar) missing(s *State, now time.Time) []carawaycart.Registration {
	g.asked = slices.DeleteFunc(g.asked, func(r carawaycart.Registration) bool { return slices.Contains(s.Instances, r) })
	var missing []carawaycart.Registration
	if !slices.Contains(s.Instances, g.own) && !now.Before(g.retry) {
		missing = append(missing, g.own)
	}
	if len(g.asked) > 0 && !now.Before(g.gather) {
		missing = append(missing, g.asked...)
	}
	return missing
}

// register writes entries under the instance's lease, all in as few calls as
// they fit.
func (g *Registrar) register(ctx context.Context, entries []carawaycart.Registration, now time.Time) error {
	items := make([]carawaycart.StoreItem, 0, len(entries))
	for _, r := range entries {
		value, err := platform.EncodeInstance(r)
		if err != nil {
			return err
		}
		items = append(items, carawaycart.StoreItem{Key: platform.InstanceKey(r.ID), Value: value})
	}
	if g.lease == 0 {
		lease, err := g.store.Grant(ctx, leaseLength)
		if err != nil {
			return err
		}
		g.lease, g.renew = lease, now.Add(renewPeriod)
	}
	for chunk := range slices.Chunk(items, platform.MaxWrites) {
		if err := g.store.PutAll(ctx, chunk, g.lease); err != nil {
			g.lease = 0 // it may have ended
			return err
		}
	}
	return nil
}
