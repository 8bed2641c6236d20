package edge

import (
	"context"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

const (
	leaseLength    = 10 * time.Minute // the longest the store grants; a dead instance is listed no longer
	renewPeriod    = leaseLength / 3
	registerPeriod = 3 * time.Second // between tries; a written entry shows after the next read
	registerLimit  = time.Second
)

// Registrar keeps the instance's entry in the store, by which peers find it.
type Registrar struct {
	own   carawaycart.Registration
	store *platform.Store
	view  *View
	clock carawaycart.Clock
	log   *eventlog.Log

	mu    sync.Mutex
	lease platform.LeaseID
	renew time.Time // when the lease has to be renewed
	retry time.Time // when the entry may be written again
}

// NewRegistrar returns a registrar for own, which has not been written yet.
func NewRegistrar(own carawaycart.Registration, s *platform.Store, v *View, k carawaycart.Clock, log *eventlog.Log) *Registrar {
	return &Registrar{own: own, store: s, view: v, clock: k, log: log}
}

// Tend writes the entry if it is missing, and renews its lease when it is time.
func (g *Registrar) Tend(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.view.State()
	now := g.clock.Now()
	if s.Confirmed.IsZero() || now.Before(g.retry) {
		return
	}
	listed := false
	for _, i := range s.Instances {
		listed = listed || i == g.own
	}
	ctx, cancel := context.WithTimeout(ctx, registerLimit)
	defer cancel()
	switch {
	case !listed || g.lease == 0:
		g.retry = now.Add(registerPeriod)
		if err := g.register(ctx); err != nil {
			g.log.Event("registrationFailed").Err(err).End()
			return
		}
		g.renew = now.Add(renewPeriod)
		g.log.Event("registered").Int("lease", int64(g.lease)).End()
	case now.After(g.renew):
		g.retry = now.Add(registerPeriod)
		if err := g.store.Renew(ctx, g.lease); err != nil {
			g.lease = 0
			g.log.Event("leaseLost").Err(err).End()
			return
		}
		g.renew = now.Add(renewPeriod)
	}
}

func (g *Registrar) register(ctx context.Context) error {
	value, err := platform.EncodeInstance(g.own)
	if err != nil {
		return err
	}
	if g.lease, err = g.store.Grant(ctx, leaseLength); err != nil {
		return err
	}
	return g.store.Put(ctx, platform.InstanceKey(g.own.ID), value, g.lease)
}

// Withdraw removes the entry.
func (g *Registrar) Withdraw(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease == 0 {
		return
	}
	if err := g.store.End(ctx, g.lease); err != nil {
		g.log.Event("withdrawalFailed").Err(err).End()
	}
	g.lease = 0
}
