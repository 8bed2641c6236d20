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
	// leaseTTL is the longest TTL of a lease that the store grants. The entry of an
	// instance that died is listed until its lease expires.
	leaseTTL    = 10 * time.Minute
	renewPeriod = leaseTTL / 3 // time between renewals of the lease

	// registerRetryPeriod is the time between attempts to write the instance's entry
	// or to renew the lease. A written entry is visible only after the next read of
	// the store.
	registerRetryPeriod = 3 * time.Second

	// gatherPeriod is how long requests of peers are collected from the first one on,
	// so that the entries of instances that start at the same time are written
	// together.
	gatherPeriod = 400 * time.Millisecond

	registerTimeout = time.Second // limits the calls to the store of one Reconcile
)

// Registrar maintains the instance's entry in the store, by which peers find it. A
// starting instance asks a peer to write its entry together with those of others,
// and writes it itself if it is not listed after registerRetryPeriod. A Registrar is
// safe for concurrent use.
type Registrar struct {
	own   carawaycart.Registration
	store *platform.Store
	view  *View
	clock carawaycart.Clock
	log   *eventlog.Log

	mu          sync.Mutex
	lease       platform.Lease             // lease of the written entries; zero if there is none
	written     []carawaycart.Registration // entries written under lease
	renewAt     time.Time                  // when the lease is next renewed
	retryAt     time.Time                  // when the own entry may be written again
	requested   []carawaycart.Registration // entries that peers asked to be written
	gatherUntil time.Time                  // when the entries in requested are written
}

// NewRegistrar returns a registrar for the entry own. It writes nothing until
// Reconcile is called.
func NewRegistrar(own carawaycart.Registration, s *platform.Store, v *View, k carawaycart.Clock, log *eventlog.Log) *Registrar {
	return &Registrar{own: own, store: s, view: v, clock: k, log: log}
}

// ExpectRegistration records that a peer has been asked to write the instance's
// entry, and defers writing it by registerRetryPeriod.
func (g *Registrar) ExpectRegistration() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryAt = g.clock.Now().Add(registerRetryPeriod)
}

// RequestRegistration records that another instance asks for its entry r to be written.
func (g *Registrar) RequestRegistration(r carawaycart.Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.requested) == 0 {
		g.gatherUntil = g.clock.Now().Add(gatherPeriod)
	}
	if !slices.Contains(g.requested, r) {
		g.requested = append(g.requested, r)
	}
}

// Written reports whether the instance has written an entry under a lease of its own.
func (g *Registrar) Written() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.ID != 0
}

// Reconcile writes the instance's entry and those that peers asked for, unless they
// are listed already. If there is none to write, it renews the lease when that is due.
// It does nothing before the store has been read.
func (g *Registrar) Reconcile(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.view.State()
	now := g.clock.Now()
	if state.LastReadAt.IsZero() {
		return
	}
	g.dropRestored(&state)
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if due := g.due(&state, now); len(due) > 0 {
		g.retryAt = now.Add(registerRetryPeriod)
		if err := g.register(ctx, due, now); err != nil {
			g.log.Event("registrationFailed").Int("entries", int64(len(due))).Err(err).End()
			return
		}
		g.requested = nil
		g.log.Event("registered").Int("entries", int64(len(due))).Int("lease", int64(g.lease.ID)).End()
		return
	}
	if g.lease.ID != 0 && now.After(g.renewAt) {
		g.renewAt = now.Add(registerRetryPeriod)
		if err := g.store.RenewLease(ctx, g.lease); err != nil {
			g.lease, g.written = platform.Lease{}, nil
			g.log.Event("leaseLost").Err(err).End()
			return
		}
		g.renewAt = now.Add(renewPeriod)
	}
}

// dropRestored forgets the lease if the store was restored since it was granted, unless
// the entries written under it are in the restored store. Its ID may be given out again, to
// another instance. The own entry may be written again at once.
func (g *Registrar) dropRestored(state *State) {
	switch {
	case g.lease.ID == 0 || g.lease.Era >= state.Position.Era:
	case g.view.Has(platform.RegistrationsKey(g.own.ID, g.lease.ID)):
		g.lease.Era = state.Position.Era
	default:
		g.log.Event("leaseLost").Int("lease", int64(g.lease.ID)).Int("era", int64(state.Position.Era)).End()
		g.lease, g.written, g.retryAt = platform.Lease{}, nil, time.Time{}
	}
}

// due returns the entries to write at now, and discards requests for entries that
// are listed already.
func (g *Registrar) due(state *State, now time.Time) []carawaycart.Registration {
	g.requested = slices.DeleteFunc(g.requested, func(r carawaycart.Registration) bool { return slices.Contains(state.Registered, r) })
	var due []carawaycart.Registration
	if !slices.Contains(state.Registered, g.own) && !now.Before(g.retryAt) {
		due = append(due, g.own)
	}
	if len(g.requested) > 0 && !now.Before(g.gatherUntil) {
		due = append(due, g.requested...)
	}
	return due
}

// register adds entries to the item that the instance has written under its lease. All
// entries of one writer share an item, so that a read of the store has few items. It
// obtains a lease if there is none, and drops the lease if the write fails.
func (g *Registrar) register(ctx context.Context, entries []carawaycart.Registration, now time.Time) error {
	if g.lease.ID == 0 {
		lease, err := g.store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		g.lease, g.written, g.renewAt = lease, nil, now.Add(renewPeriod)
	}
	all := slices.DeleteFunc(slices.Clone(g.written), func(old carawaycart.Registration) bool {
		return slices.ContainsFunc(entries, func(r carawaycart.Registration) bool { return r.ID == old.ID })
	})
	all = append(all, entries...)
	value, err := platform.EncodeRegistrations(all)
	if err != nil {
		return err
	}
	if err := g.store.Put(ctx, carawaycart.StoreItem{Key: platform.RegistrationsKey(g.own.ID, g.lease.ID), Value: value}, g.lease); err != nil {
		g.lease = platform.Lease{} // the lease may have expired
		return err
	}
	g.written = all
	return nil
}
