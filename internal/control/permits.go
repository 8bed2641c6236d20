package control

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/io/peer"
	"carawaycart/message"
)

const (
	// acquireTimeout limits an Acquire or Release call to a keeper.
	acquireTimeout = 300 * time.Millisecond
	// reregisterPeriod is the period of checking whether keepers changed.
	reregisterPeriod = 200 * time.Millisecond
)

// Permit is the permission to use one request slot of an endpoint until
// Deadline.
type Permit struct {
	ID       carawaycart.PermitID
	Entry    *board.Entry
	Deadline time.Time
	keeper   carawaycart.InstanceID // granted the permit or took over since
}

// Permits acquires request slots from the keepers of endpoints, and registers
// the permits in use with the new keeper when a keeper changes.
type Permits struct {
	board  *board.Board
	client *peer.Client
	clock  carawaycart.Clock

	mu   sync.Mutex
	held map[carawaycart.PermitID]*Permit // in use by this instance

	tasks *tasks
}

// NewPermits returns a running Permits that holds none.
func NewPermits(b *board.Board, peerClient *peer.Client, k carawaycart.Clock) *Permits {
	pe := &Permits{board: b, client: peerClient, clock: k, held: make(map[carawaycart.PermitID]*Permit)}
	pe.tasks = newTasks(func(ctx context.Context) { every(ctx, reregisterPeriod, func() { pe.reregister(ctx) }) })
	return pe
}

// Close stops the registration with new keepers.
func (pe *Permits) Close() { pe.tasks.Close() }

// Acquire returns a permit for a request slot of e until deadline, or nil if
// the keeper grants none or does not answer.
func (pe *Permits) Acquire(ctx context.Context, e *board.Entry, deadline time.Time) *Permit {
	p := &Permit{ID: carawaycart.PermitID(uuid.NewString()), Entry: e, Deadline: deadline}
	p.keeper = e.Holders(pe.board.Members()).Keeper
	if !pe.requestPermit(ctx, p, false) {
		return nil
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.held[p.ID] = p
	return p
}

// requestPermit requests p from its keeper, or registers it if held is set. It
// reports whether the keeper granted it.
func (pe *Permits) requestPermit(ctx context.Context, p *Permit, held bool) bool {
	request := &message.AcquireRequest{
		Endpoint: string(p.Entry.ID), Permit: string(p.ID), Holder: string(pe.board.Self),
		DeadlineUnix: p.Deadline.UnixNano(), Held: held,
	}
	if p.keeper == pe.board.Self {
		return pe.AcquireAsKeeper(request)
	}
	address, ok := pe.board.Members().Address(p.keeper)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	reply := &message.AcquireReply{}
	return pe.client.Call(ctx, address, "Acquire", request, reply) == nil && reply.GetGranted()
}

// AcquireAsKeeper answers a request for a request slot as keeper of the endpoint.
// It reports whether the slot is granted.
func (pe *Permits) AcquireAsKeeper(r *message.AcquireRequest) bool {
	now := pe.clock.Now()
	limiter := pe.board.Entry(carawaycart.EndpointID(r.GetEndpoint())).Limiter()
	if limiter == nil || !pe.board.MayDecide(now) {
		return false
	}
	id, holder := carawaycart.PermitID(r.GetPermit()), carawaycart.InstanceID(r.GetHolder())
	deadline := time.Unix(0, r.GetDeadlineUnix())
	if r.GetHeld() {
		limiter.RegisterPermit(id, holder, deadline)
		return true
	}
	return limiter.AcquirePermit(id, holder, deadline, now)
}

// Release returns p to its keeper. shed reports that the endpoint refused the
// request.
func (pe *Permits) Release(p *Permit, shed bool) {
	pe.mu.Lock()
	delete(pe.held, p.ID)
	keeper := p.keeper
	pe.mu.Unlock()
	request := &message.ReleaseRequest{Endpoint: string(p.Entry.ID), Permit: string(p.ID), Shed: shed}
	if keeper == pe.board.Self {
		pe.ReleaseAsKeeper(request)
		return
	}
	address, ok := pe.board.Members().Address(keeper)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
		defer cancel()
		// If the release is lost, the slot is freed at the permit's deadline.
		_ = pe.client.Call(ctx, address, "Release", request, &message.Acknowledgement{})
	}()
}

// ReleaseAsKeeper frees a request slot as keeper of the endpoint.
func (pe *Permits) ReleaseAsKeeper(r *message.ReleaseRequest) {
	if limiter := pe.board.Entry(carawaycart.EndpointID(r.GetEndpoint())).Limiter(); limiter != nil {
		limiter.ReleasePermit(carawaycart.PermitID(r.GetPermit()), r.GetShed(), pe.clock.Now())
	}
}

// reregister registers the permits in use with keepers that took over.
func (pe *Permits) reregister(ctx context.Context) {
	members := pe.board.Members()
	var moved []*Permit
	pe.mu.Lock()
	for _, p := range pe.held {
		if keeper := p.Entry.Holders(members).Keeper; keeper != p.keeper {
			p.keeper = keeper
			moved = append(moved, &Permit{ID: p.ID, Entry: p.Entry, Deadline: p.Deadline, keeper: keeper})
		}
	}
	pe.mu.Unlock()
	for _, p := range moved {
		pe.requestPermit(ctx, p, true)
	}
}
