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
	// monitorPeriod is the period of evaluating all endpoints.
	monitorPeriod = 200 * time.Millisecond
	// reportPeriod is the period of fetching the load report of an endpoint.
	reportPeriod = 500 * time.Millisecond
	// reportFetchTimeout limits the fetching of one report.
	reportFetchTimeout = 400 * time.Millisecond
)

// EndpointMonitor monitors the endpoints that the instance is keeper of: it
// fetches their reports and publishes their status.
type EndpointMonitor struct {
	board        *board.Board
	memberTable  *member.Table
	records      *flow.Records
	replicator   *Replicator
	disseminator *Disseminator
	reporter     carawaycart.LoadReporter
	counters     *counters.Counters
	clock        carawaycart.Clock

	mu       sync.Mutex
	nextPoll map[carawaycart.EndpointID]time.Time // time of the next poll

	tasks *tasks
}

// NewEndpointMonitor returns a running EndpointMonitor.
func NewEndpointMonitor(b *board.Board, t *member.Table, r *flow.Records, re *Replicator, d *Disseminator, loadReporter carawaycart.LoadReporter,
	c *counters.Counters, k carawaycart.Clock,
) *EndpointMonitor {
	em := &EndpointMonitor{
		board: b, memberTable: t, records: r, replicator: re, disseminator: d, reporter: loadReporter, counters: c, clock: k,
		nextPoll: make(map[carawaycart.EndpointID]time.Time),
	}
	em.tasks = newTasks(
		func(ctx context.Context) { every(ctx, monitorPeriod, func() { em.check(ctx) }) },
	)
	return em
}

// Close stops the monitor.
func (em *EndpointMonitor) Close() { em.tasks.Close() }

// check removes the records of ended and idle flows, evaluates the endpoints that
// the instance is keeper of, removes the limiters of all others, and updates the
// metrics.
func (em *EndpointMonitor) check(ctx context.Context) {
	view := em.board.View()
	if view == nil {
		return
	}
	now := em.clock.Now()
	ready := em.memberTable.Self().State == carawaycart.MemberReady
	flowsElsewhere := em.expireRecords(ctx, view, now)
	counts := newStateCounts()
	for id := range view.Config.Endpoints {
		e := em.board.Entry(id)
		if !ready || !em.board.IsKeeper(e) {
			e.ClearLimiter()
			continue
		}
		em.evaluate(ctx, view, e, flowsElsewhere[id], now)
		counts.add(e)
	}
	counts.publishMetrics(em.counters)
	em.publishMetrics(view)
}

// evaluate creates the limiter of e if there is none, polls e if a poll is due,
// and publishes the status of e if it changed. flowsElsewhere reports whether a
// slot whose current endpoint is e has a flow recorded at another endpoint.
func (em *EndpointMonitor) evaluate(ctx context.Context, view *board.View, e *board.Entry, flowsElsewhere bool, now time.Time) {
	configured := *e.Endpoint()
	profile := view.Config.Profiles[view.Config.Services[configured.Service].Profile]
	limiter := e.Limiter()
	if limiter == nil {
		limiter = limit.NewLimiter(configured, profile, e.Status(), now)
		e.SetLimiter(limiter, now)
	}
	limiter.Configure(configured, profile)
	if em.pollDue(e.ID, now) {
		go em.poll(ctx, e, limiter)
	}
	limiter.UpdateGuard(flowsElsewhere, now)
	state, guarded := limiter.Status()
	before := e.Status().State
	status, changed := e.UpdateStatus(em.board.Self, state, guarded)
	if !changed {
		return
	}
	em.disseminator.QueueStatus(status, "")
	if before != state {
		klog.InfoS("endpoint changed state", "instance", em.board.Self, "endpoint", e.ID, "before", before, "after", state)
	}
}

// pollDue reports whether a poll of endpoint id is due at now, and if so
// schedules the next one.
func (em *EndpointMonitor) pollDue(id carawaycart.EndpointID, now time.Time) bool {
	em.mu.Lock()
	defer em.mu.Unlock()
	if now.Before(em.nextPoll[id]) {
		return false
	}
	em.nextPoll[id] = now.Add(reportPeriod)
	return true
}

// poll fetches the report of e and passes it, or the failure, to limiter.
func (em *EndpointMonitor) poll(ctx context.Context, e *board.Entry, limiter *limit.Limiter) {
	ctx, cancel := context.WithTimeout(ctx, reportFetchTimeout)
	defer cancel()
	report, err := em.reporter.Report(ctx, e.Endpoint().RequestAddress)
	now := em.clock.Now()
	if err != nil {
		limiter.RecordFailure(endpoint.IsConnectionRefused(err), now)
		return
	}
	limiter.RecordReport(report, now)
}

// expireRecords removes the records of ended and idle flows and notifies their
// replicas. Of the endpoints that the instance is keeper of, it returns those
// that are current in a slot with a flow recorded at another endpoint.
func (em *EndpointMonitor) expireRecords(ctx context.Context, view *board.View, now time.Time) map[carawaycart.EndpointID]bool {
	flowsElsewhere := make(map[carawaycart.EndpointID]bool)
	members := em.board.Members()
	expired := em.records.Expire(nil, now, func(r *carawaycart.FlowRecord) flow.Retention {
		current := currentEndpoint(view, r)
		if current != nil && current.ID != r.Endpoint && current.Limiter() != nil {
			flowsElsewhere[current.ID] = true
		}
		return retention(view, current, members, em.board.Self, r)
	})
	var ended []carawaycart.FlowRecord
	for _, r := range expired {
		if h := recordHolders(view, members, &r); h != nil && h.Keeper == em.board.Self {
			ended = append(ended, r)
		}
	}
	if len(ended) > 0 {
		go em.replicator.SendEnded(ctx, ended)
	}
	return flowsElsewhere
}

// retention returns how long instance self retains record r. current is the
// current endpoint of r's slot, or nil if the slot has none. The zero Retention
// drops r immediately.
func retention(view *board.View, current *board.Entry, members *member.View, self carawaycart.InstanceID, r *carawaycart.FlowRecord) flow.Retention {
	route := view.ServiceByID(r.Service)
	if route == nil || current == nil || !view.Config.MayOwnFlows(r.Endpoint) {
		return flow.Retention{}
	}
	idle := route.Profile.FlowIdleSeconds.Duration()
	if len(route.Recent) > 1 {
		// Instances with an older slot table may send packets to keepers that the latest
		// table does not name, so this instance cannot tell whether the flow is idle.
		return flow.Retention{IdleTimeout: idle, NoIdleTimeout: true}
	}
	holders := current.Holders(members)
	if holders.Keeper != self || current.Limiter() == nil {
		// Replicas receive no packets, and neither does a keeper before its takeover,
		// so they cannot tell whether the flow is idle.
		return flow.Retention{IdleTimeout: idle, NoIdleTimeout: holders.Contains(self)}
	}
	// The instance became keeper of the slot either with its endpoint or with the
	// latest table, whichever came later.
	since := current.KeeperSince()
	if moved := route.Latest().ArrivedAt(); moved.After(since) {
		since = moved
	}
	return flow.Retention{IdleTimeout: idle, IdleSince: since}
}

func (em *EndpointMonitor) publishMetrics(view *board.View) {
	dirty := 0
	for _, r := range view.Services() {
		dirty += r.Latest().DirtyCount()
	}
	em.counters.SlotsDirty.Update(int64(dirty))
	em.counters.Records.Update(int64(em.records.Len()))
	em.counters.MembersReady.Update(int64(len(em.board.Members().KeeperCandidates())))
}
