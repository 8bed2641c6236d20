package control

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/flow"
	"carawaycart/core/limit"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/io/endpoint"
)

const (
	keepPeriod    = 200 * time.Millisecond
	reportPeriod  = 500 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
)

// Keeping judges the endpoints that the instance is keeper of: it fetches their
// reports and states their status.
type Keeping struct {
	board      *board.Board
	table      *member.Table
	records    *flow.Records
	replicator *Replicator
	spreader   *Spreader
	reporter   carawaycart.Reporter
	counters   *counters.Counters
	clock      carawaycart.Clock

	mu      sync.Mutex
	polling map[carawaycart.EndpointID]time.Time // deadline of the next poll

	loop *loop
}

// NewKeeping returns a running controller.
func NewKeeping(b *board.Board, t *member.Table, r *flow.Records, re *Replicator, s *Spreader, p carawaycart.Reporter,
	c *counters.Counters, k carawaycart.Clock,
) *Keeping {
	ke := &Keeping{
		board: b, table: t, records: r, replicator: re, spreader: s, reporter: p, counters: c, clock: k,
		polling: make(map[carawaycart.EndpointID]time.Time),
	}
	ke.loop = newLoop(
		func(ctx context.Context) { every(ctx, keepPeriod, func() { ke.keep(ctx) }) },
	)
	return ke
}

// Close ends the controller.
func (ke *Keeping) Close() { ke.loop.Close() }

func (ke *Keeping) keep(ctx context.Context) {
	view := ke.board.View()
	if view == nil {
		return
	}
	now := ke.clock.Now()
	ready := ke.table.Self().State == carawaycart.MemberReady
	exceptions := ke.expire(ctx, view, now)
	tally := newTally()
	for id := range view.Config.Endpoints {
		e := ke.board.Entry(id)
		if !ready || !ke.board.Keeps(e) {
			e.CloseGate()
			continue
		}
		ke.judge(ctx, view, e, exceptions[id], now)
		tally.add(e)
	}
	tally.publish(ke.counters)
	ke.publish(view)
}

// judge opens the endpoint's gate if need be, polls it, and states its status.
func (ke *Keeping) judge(ctx context.Context, view *board.View, e *board.Entry, exception bool, now time.Time) {
	configured := *e.Endpoint()
	profile := view.Config.Profiles[view.Config.Services[configured.Service].Profile]
	gate := e.Gate()
	if gate == nil {
		gate = limit.NewGate(configured, profile, e.Status(), now)
		e.OpenGate(gate, now)
	}
	gate.Configure(configured, profile)
	if ke.due(e.ID, now) {
		go ke.poll(ctx, e, gate)
	}
	gate.Guard(exception, now)
	state, guarded := gate.Status()
	before := e.Status().State
	status, changed := e.State(ke.board.Self, state, guarded)
	if !changed {
		return
	}
	ke.spreader.Status(status, "")
	if before != state {
		klog.InfoS("endpoint changed state", "instance", ke.board.Self, "endpoint", e.ID, "before", before, "after", state)
	}
}

func (ke *Keeping) due(id carawaycart.EndpointID, now time.Time) bool {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if now.Before(ke.polling[id]) {
		return false
	}
	ke.polling[id] = now.Add(reportPeriod)
	return true
}

func (ke *Keeping) poll(ctx context.Context, e *board.Entry, gate *limit.Gate) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := ke.reporter.Report(ctx, e.Endpoint().RequestAddress)
	now := ke.clock.Now()
	if err != nil {
		gate.Missed(endpoint.Refused(err), now)
		return
	}
	gate.Observe(report, now)
}

// expire forgets ended flows, tells their replicas, and returns the current
// endpoints of the slots that have flows elsewhere.
func (ke *Keeping) expire(ctx context.Context, view *board.View, now time.Time) map[carawaycart.EndpointID]bool {
	exceptions := make(map[carawaycart.EndpointID]bool)
	members := ke.board.Members()
	expired := ke.records.Expire(nil, now, func(r *carawaycart.FlowRecord) flow.Retention {
		current := currentOf(view, r)
		if current != nil && current.ID != r.Endpoint && current.Gate() != nil {
			exceptions[current.ID] = true
		}
		return retention(view, current, members, ke.board.Self, r)
	})
	var ended []carawaycart.FlowRecord
	for _, r := range expired {
		if h := holdersOf(view, members, &r); h != nil && h.Keeper == ke.board.Self {
			ended = append(ended, r)
		}
	}
	if len(ended) > 0 {
		go ke.replicator.End(ctx, ended)
	}
	return exceptions
}

// retention returns how long instance self holds record r of a slot whose
// current endpoint is given, nil if it has none.
func retention(view *board.View, current *board.Entry, members *member.View, self carawaycart.InstanceID, r *carawaycart.FlowRecord) flow.Retention {
	route := view.ServiceByID(r.Service)
	if route == nil || current == nil || !view.Config.Holding(r.Endpoint) {
		return flow.Retention{}
	}
	idle := route.Profile.FlowIdleSeconds.Duration()
	if len(route.Recent) > 1 {
		// Packets may follow an older table, to keepers that this one does not name.
		return flow.Retention{Idle: idle, Hold: true}
	}
	holders := current.Holders(members)
	if holders.Keeper != self || current.Gate() == nil {
		// A replica sees no packets, nor does a keeper before it takes over.
		return flow.Retention{Idle: idle, Hold: holders.Contains(self)}
	}
	// The slot may have come to this keeper with its endpoint or with its table.
	since := current.KeptSince()
	if moved := route.Latest().Since(); moved.After(since) {
		since = moved
	}
	return flow.Retention{Idle: idle, Since: since}
}

func (ke *Keeping) publish(view *board.View) {
	dirty := 0
	for _, r := range view.Services() {
		dirty += r.Latest().Dirty()
	}
	ke.counters.SlotsDirty.Update(int64(dirty))
	ke.counters.Records.Update(int64(ke.records.Len()))
	ke.counters.MembersReady.Update(int64(len(ke.board.Members().Ready())))
}
