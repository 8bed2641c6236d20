package steer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/core/admission"
	"carawaycart/core/directory"
	"carawaycart/core/placement"
	"carawaycart/core/queue"
	"carawaycart/core/share"
	"carawaycart/core/timeout"
)

const (
	// minResendInterval is the time since the flow was opened, for a first packet, or
	// since its last packet, for data, from which a repeated packet counts as resent.
	// Callers resend after 200 ms; earlier repetitions are duplicates made by the
	// network.
	minResendInterval = 150 * time.Millisecond
	// maxFirstPacketEndpoints limits the endpoints that a first packet is sent to
	// before the caller resends it.
	maxFirstPacketEndpoints = 3

	minFirstPacketTimeout     = 20 * time.Millisecond  // answers to first packets normally take 8 ms
	maxFirstPacketTimeout     = 150 * time.Millisecond // callers resend a first packet after 200 ms
	initialFirstPacketTimeout = 40 * time.Millisecond  // timeout before any first packet was answered
)

// Observer is notified of the decisions of a Router and of state changes of endpoints.
// Its methods may be called while the Router holds locks, so they must not call the
// Router.
type Observer interface {
	// Placed is called when an endpoint with state c is chosen for the first packet of
	// a flow, also if the packet was sent to other endpoints before.
	Placed(key *carawaycart.FlowKey, e carawaycart.EndpointID, c *placement.Candidate, p Placement)
	// Refused is called when a packet is not forwarded because of c. The flow is reset
	// if reset is true. The revision is that of the table, zero if it has no
	// routing configuration.
	Refused(p *carawaycart.Packet, c carawaycart.Cause, reset bool, revision carawaycart.StoreRevision)
	// Inherited is called when a packet with the token of before, which has ended, is
	// forwarded to after, the latest lifetime of the same endpoint.
	Inherited(p *carawaycart.Packet, before, after *carawaycart.Lifetime)
	// OtherToken is called when p, whose flow is at recorded by the record of this instance,
	// comes with the token of another endpoint. It is forwarded to the endpoint to, which is
	// recorded if this instance has seen the flow open there.
	OtherToken(p *carawaycart.Packet, recorded, to carawaycart.EndpointID)
	// Avoided is called when an endpoint is avoided for period because it did not
	// answer a packet. The packet is a first packet if what is "first", or data if what
	// is "data".
	Avoided(e carawaycart.EndpointID, what string, period time.Duration)
	// ProbeRequested is called when the endpoint of l is to be probed.
	ProbeRequested(l *carawaycart.Lifetime)
	// SilenceChanged is called when a probe shows that an endpoint has become silent or
	// answers again.
	SilenceChanged(e carawaycart.EndpointID, silent bool)
	// RequestsFailed is called with the outcomes since the last call of endpoints
	// that left requests unanswered or gave short responses.
	RequestsFailed(outcomes []Outcomes)
	// Overloaded is called when refusals of new flows of a service begin or end, and
	// periodically in between.
	Overloaded(o admission.Overload)
	// LoadChanged is called when a service becomes saturated or ceases to be, and periodically
	// in between.
	LoadChanged(s *LoadState)
	// Queued is called when a first packet is queued, where permits is the number that the
	// instance holds and length that of the queue.
	Queued(e *queue.Entry, v queue.Verdict, permits, length int)
	// Dispatched is called at now when a queued first packet is sent to an endpoint. The other
	// arguments are as for Queued.
	Dispatched(e *queue.Entry, permits, length int, now time.Time)
	// QueueDropped is called when a queued first packet is discarded: its caller has given up if
	// c is CauseOverload, a copy was placed if it is CauseNone, or no endpoint may take the flow.
	QueueDropped(e *queue.Entry, c carawaycart.Cause)
	// CapacityFreed is called when a request of a service with queued first packets has ended.
	CapacityFreed()
	// ContestedFlowOpened is called when this instance has seen a flow open whose first packet
	// several endpoints may have received.
	ContestedFlowOpened(o *OpenFlow)
	// RejectingChanged is called when an endpoint is found to reject more requests than the
	// others of its service, and when it is tried again.
	RejectingChanged(e carawaycart.EndpointID, rejecting bool)
	// Recovered is called when an endpoint answers a packet after a timeout.
	Recovered(e carawaycart.EndpointID)
}

// Router decides what one instance does with each packet. It implements
// carawaycart.Router and is safe for concurrent use.
type Router struct {
	zone     carawaycart.ZoneID
	table    atomic.Pointer[Table]
	flows    *flowTable
	observer Observer
	// contested holds the flows whose packets may carry the token of an endpoint at which
	// they are not open.
	contested *contestedFlows

	reports share.Reports // loads that peers have reported

	configured     chan struct{} // closed when a table with a routing configuration is first set
	configuredOnce sync.Once

	mu               sync.Mutex // guards the fields below
	random           *rand.Rand
	candidates       []placement.Candidate                     // buffer that is reused between placements
	timeoutEstimator map[carawaycart.ZoneID]*timeout.Estimator // for first packets, by zone of the endpoint
	// slow and pending hold the tracked requests, nearly ordered by the time when they
	// become slow and when they fail. The queue abandoned holds the failed requests,
	// ordered by the time when they are abandoned.
	slow       []pending
	pending    []pending
	abandoned  []pending
	unreported map[carawaycart.Token]*state // states of the endpoints whose outcomes are to be reported
	reportedAt time.Time                    // when outcomes were last reported
	// reportDueAt is when unreported is to be reported, if it is not empty.
	reportDueAt time.Time
}

// NewRouter returns a router without a table for an instance in zone. It draws random
// numbers from source and notifies o.
func NewRouter(zone carawaycart.ZoneID, source rand.Source, o Observer) *Router {
	return &Router{
		zone: zone, flows: newFlowTable(), contested: newContestedFlows(), observer: o, random: rand.New(source), configured: make(chan struct{}),
		timeoutEstimator: make(map[carawaycart.ZoneID]*timeout.Estimator), unreported: make(map[carawaycart.Token]*state),
	}
}

// SetTable replaces the table on which decisions are based. Endpoints whose entries have
// returned since the table before are alive, so those that were silent are probed again.
func (r *Router) SetTable(t *Table) {
	previous := r.table.Swap(t)
	if t.HasConfig() {
		r.configuredOnce.Do(func() { close(r.configured) })
	}
	if t == nil || previous == nil {
		return
	}
	for key, e := range t.byKey {
		old := previous.byKey[key]
		if old != nil && old.presence != directory.Present && e.presence == directory.Present && e.state.outdateSilence() {
			r.observer.ProbeRequested(&e.lifetime)
		}
	}
}

// Configured returns a channel that is closed once the router has had a table with a
// routing configuration.
func (r *Router) Configured() <-chan struct{} { return r.configured }

// Table returns the current table, or nil if none was set.
func (r *Router) Table() *Table { return r.table.Load() }

// Decide returns the decision for packet p at now. Without a routing configuration it
// drops all packets. An instance with a newer configuration may have opened a flow on a
// route that the table does not have yet, or not have again, so open flows are reset only if
// they were open before a read that showed their route missing. A flow that sends data to a
// silent endpoint is reset only if data on an open flow was left unanswered too, and if the
// requests of the route may run more than once, since a reset does not tell the caller whether
// its request was run. A flow with the token of an earlier lifetime is left to the endpoint if
// that has started again: the flow may have been opened since. The token of another endpoint
// does not move a flow that this instance has seen open. A provisional token decides only if
// nothing else is known of the flow: peers are asked first if p.MayAsk is set.
func (r *Router) Decide(p *carawaycart.Packet, now time.Time) carawaycart.Decision {
	t := r.table.Load()
	if !t.HasConfig() {
		return r.refuse(p, carawaycart.CauseNotReady, false, 0)
	}
	id := newFlowID(&p.Key)
	route := t.routes[id.service]
	if p.Kind == carawaycart.PacketFirst {
		return r.decideFirst(t, route, id, p, now)
	}
	owner, provisional := t.ownerOf(p.Token)
	certain := owner != nil && !provisional
	if provisional {
		var settled bool
		if owner, settled = r.settle(t, id, p, owner, now); !settled && p.MayAsk {
			return carawaycart.Decision{Verdict: carawaycart.VerdictAsk}
		}
		certain = settled
	}
	e, cause := r.ownerNow(route, id, p, owner, now)
	if cause == carawaycart.CauseNone && route != nil && e == owner && r.trackPacket(id, p, route, e, certain, now) {
		return forwardLater(p, e)
	}
	opened := r.openEndpoint(t, id, p, owner)
	if opened != nil {
		owner = opened
		if e, cause = r.ownerNow(route, id, p, owner, now); cause == carawaycart.CauseNone && route != nil && e == owner {
			r.trackPacket(id, p, route, e, true, now)
		}
	}
	switch {
	case cause != carawaycart.CauseNone:
		return r.refuse(p, cause, cause != carawaycart.CauseUnknownToken, t.Revision)
	case route == nil && t.isRemoved(id.service, now) && r.wasOpenBeforeRead(t, id, p, e, now):
		return r.refuse(p, carawaycart.CauseNoRoute, true, t.Revision)
	case route != nil && e != owner:
		return r.forwardInherited(id, p, owner, e)
	}
	if opened != nil {
		r.observer.OtherToken(p, opened.lifetime.ID, e.lifetime.ID)
	}
	return forwardLater(p, e)
}

// decideFirst returns the decision for p, the first packet of the flow id, which the
// caller may have sent before. The route is nil if there is none.
//
// A flow that has to be refused is reset only if no other instance is likely to have forwarded
// it: p is its first transmission, has not waited here, and was not forwarded here. Otherwise an
// endpoint may have answered directly to the caller, which may have acknowledged that through
// another instance. A copy is then left to the endpoint that has the flow as far as known here,
// or dropped.
func (r *Router) decideFirst(t *Table, via *route, id flowID, p *carawaycart.Packet, now time.Time) carawaycart.Decision {
	r.ProcessDeadlines(now)
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	f := s.flows[id]
	if f != nil && !areNear(p.Sequence, f.sequence) {
		s.remove(id, f) // the record is of an earlier flow from the same port
		f = nil
	}
	isNew := f == nil && p.Retransmissions == 0 && !p.Waited
	if via == nil {
		return r.refuse(p, carawaycart.CauseNoRoute, isNew, t.Revision)
	}
	if f != nil && f.told {
		return r.decideTold(t, via, f, p, now)
	}
	if f != nil && (f.phase == phaseOpen || now.Sub(f.openedAt) < minResendInterval) {
		f.lastSeen = now
		return forwardFirst(f.endpoint) // a duplicate made by the network
	}
	to := r.routeTarget(via)
	if to == nil {
		return r.refuse(p, carawaycart.CauseNoEndpoint, isNew, t.Revision)
	}
	if f == nil {
		if d, decided := r.admit(t, to, p, isNew, now); decided {
			return d
		}
	}
	var tried []*endpoint
	if f != nil {
		if f.phase == phaseOpening {
			r.handleTimeout(f.endpoint, "first", f.sentAt, now)
		}
		tried = append(tried, f.tried...)
		tried = append(tried, f.endpoint)
		s.remove(id, f)
	}
	e, cause := r.place(t, to, &p.Key, p.Retransmissions, tried, now)
	if e == nil {
		if f == nil {
			return r.refuse(p, cause, isNew && !mayReachOtherZone(t, to, cause, now), t.Revision)
		}
		f.phase, f.lastSeen = phaseUnanswered, now
		s.flows[id] = f
		if e = to.warmEndpoint(f.endpoint, r.zone, now); e != nil {
			return forwardFirst(e)
		}
		return r.refuse(p, cause, false, t.Revision)
	}
	opened := r.openFlow(s, id, e, to.objective, p.Sequence, now)
	opened.shared = f == nil && !isNew || f != nil && f.shared
	opened.contested = f != nil
	return forwardFirst(e)
}

// openFlow records that the first packet of the flow id, with the given sequence number, is
// sent to e at now. It returns the record. s is the shard of id, and s.mu must be held.
func (r *Router) openFlow(s *flowShard, id flowID, e *endpoint, o *objective, sequence uint32, now time.Time) *flow {
	e.recordFlow(now)
	f := &flow{endpoint: e, openedAt: now, sentAt: now, lastSeen: now, sequence: sequence, objective: o}
	if !s.insert(id, f, now) {
		e.state.adjustCounts(-1, 0, 0)
	}
	return f
}

// isOverloaded reports whether a new flow with the given key is refused at now because of
// the load of to, and notifies the observer of changes of the load.
func (r *Router) isOverloaded(to *routeTarget, key *carawaycart.FlowKey, now time.Time) bool {
	refused := to.objective.admission.Refuses(*key, to.objective.priority, now)
	if o, changed := to.objective.admission.Report(now); changed {
		o.Service = to.service
		r.observer.Overloaded(o)
	}
	return refused
}

// FirstPacketTimeout returns the timeout for the answer to a first packet that is
// sent to an endpoint in zone. It is estimated from earlier answers of this zone.
func (r *Router) FirstPacketTimeout(zone carawaycart.ZoneID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimatorFor(zone).Timeout(initialFirstPacketTimeout, minFirstPacketTimeout, maxFirstPacketTimeout)
}

// estimatorFor returns the estimator for zone and adds it if there is none. r.mu must
// be held.
func (r *Router) estimatorFor(zone carawaycart.ZoneID) *timeout.Estimator {
	e := r.timeoutEstimator[zone]
	if e == nil {
		e = &timeout.Estimator{}
		r.timeoutEstimator[zone] = e
	}
	return e
}

// Hedge records at now that the first packet of the flow with the given key has timed
// out, and returns the decision to send it to another endpoint. It returns false if the
// packet was answered meanwhile or is not to be sent again. The caller of the flow
// acknowledges the endpoint that answers first and ignores the others.
func (r *Router) Hedge(key *carawaycart.FlowKey, now time.Time) (carawaycart.Decision, bool) {
	t := r.table.Load()
	id := newFlowID(key)
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	f := s.flows[id]
	if f == nil || f.phase != phaseOpening {
		return carawaycart.Decision{}, false
	}
	r.handleTimeout(f.endpoint, "first", f.sentAt, now)
	f.tried = append(f.tried, f.endpoint)
	var e *endpoint
	if route := t.routes[id.service]; route != nil && len(f.tried) < maxFirstPacketEndpoints {
		if to := r.routeTarget(route); to != nil {
			e, _ = r.place(t, to, key, 0, f.tried, now)
		}
	}
	f.endpoint.state.adjustCounts(-1, 0, 0)
	if e == nil || isTried(f.tried, e) {
		f.phase = phaseUnanswered
		return carawaycart.Decision{}, false
	}
	e.recordFlow(now)
	f.endpoint, f.sentAt, f.contested = e, now, true
	return forwardFirst(e), true
}

// isTried reports whether the lifetime of e is among tried. It compares the states,
// since every table has its own endpoints.
func isTried(tried []*endpoint, e *endpoint) bool {
	for _, t := range tried {
		if t.state == e.state {
			return true
		}
	}
	return false
}

// place chooses an endpoint of to for the flow with the given key, preferably one that
// is not among tried, and notifies the observer. If all are excluded, it returns nil and
// the cause.
func (r *Router) place(t *Table, to *routeTarget, key *carawaycart.FlowKey, retransmissions int, tried []*endpoint, now time.Time,
) (*endpoint, carawaycart.Cause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoints := to.endpoints
	r.candidates = r.candidates[:0]
	full, silent := false, false
	_, saturated := to.objective.load.status()
	for _, e := range endpoints {
		c, outdated := e.candidate(r.zone, now)
		c.Tried = isTried(tried, e)
		c.Saturated = saturated
		if to.objective.load == nil {
			c.NoPermit, c.Slowness = false, 0 // other routes are placed without permits
		}
		full, silent = full || c.AtColdLimit, silent || c.Silent
		if outdated {
			r.observer.ProbeRequested(&e.lifetime)
		}
		r.candidates = append(r.candidates, c)
	}
	i := placement.Choose(r.candidates, r.random.IntN)
	if i < 0 {
		switch {
		case full:
			return nil, carawaycart.CauseCold
		case silent:
			return nil, carawaycart.CauseSilent
		}
		return nil, carawaycart.CauseNoEndpoint
	}
	r.observer.Placed(key, endpoints[i].lifetime.ID, &r.candidates[i], Placement{
		Retransmissions: retransmissions, EndpointsTried: len(tried), Candidates: len(endpoints), Revision: t.Revision,
	})
	return endpoints[i], carawaycart.CauseNone
}

// Placement describes the circumstances under which an endpoint was chosen for a flow.
type Placement struct {
	// Retransmissions is the number of times that the caller had sent the first packet
	// before. It is zero for a hedge.
	Retransmissions int
	// EndpointsTried is the number of times that the first packet was sent to an
	// endpoint before.
	EndpointsTried int
	Candidates     int                       // number of endpoints to choose from, including excluded ones
	Revision       carawaycart.StoreRevision // revision of the table
}

// routeTarget returns a random target of t, chosen by weight among those that have
// endpoints, or nil if none has. If t has a single target, it is returned even without
// endpoints.
func (r *Router) routeTarget(t *route) *routeTarget {
	if len(t.targets) == 1 {
		return &t.targets[0]
	}
	total := 0
	for i := range t.targets {
		if len(t.targets[i].endpoints) > 0 {
			total += t.targets[i].weight
		}
	}
	if total == 0 {
		return nil
	}
	r.mu.Lock()
	n := r.random.IntN(total)
	r.mu.Unlock()
	for i := range t.targets {
		to := &t.targets[i]
		if len(to.endpoints) == 0 {
			continue
		}
		if n < to.weight {
			return to
		}
		n -= to.weight
	}
	return nil
}

// handleTimeout records at now that a packet sent to e at sent is unanswered, and
// notifies the observer. The argument what is as in Observer.Avoided.
func (r *Router) handleTimeout(e *endpoint, what string, sent, now time.Time) {
	period, probe := e.state.recordTimeout(sent, now)
	if period > 0 {
		r.observer.Avoided(e.lifetime.ID, what, period)
	}
	if probe {
		r.observer.ProbeRequested(&e.lifetime)
	}
}
