package steer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

const (
	resendPeriod = 150 * time.Millisecond // ends resend after 200 ms; less is a duplicate of the network
	maxTried     = 3                      // endpoints that one first packet is sent to before its copy comes
)

// Observer is told what decisions are made of and what they change.
type Observer interface {
	// Placed is told that a first packet was given to an endpoint.
	Placed(key *carawaycart.FlowKey, e carawaycart.EndpointID, c *Candidate, how Placing)
	// Refused is told that a packet was not forwarded.
	Refused(p *carawaycart.Packet, c carawaycart.Cause, reset bool, revision carawaycart.StoreRevision)
	// Avoided is told that an endpoint left something unanswered.
	Avoided(e carawaycart.EndpointID, what string, period time.Duration)
	// Doubted is told that an endpoint should be probed.
	Doubted(l *carawaycart.Lifetime)
	// Silenced is told that an endpoint answers nothing, or does again.
	Silenced(e carawaycart.EndpointID, silent bool)
	// Failing is told that endpoints left requests unanswered.
	Failing(outcomes []Outcomes)
	// Overloaded is told that new flows of a service are refused, or no longer.
	Overloaded(o Overload)
	// Recovered is told that an avoided endpoint has answered.
	Recovered(e carawaycart.EndpointID)
}

// Router decides packets of one instance; it is safe for concurrent use. It
// implements carawaycart.Router.
type Router struct {
	zone     carawaycart.ZoneID
	table    atomic.Pointer[Table]
	flows    *flowTable
	observer Observer

	mu         sync.Mutex // guards what follows
	random     *rand.Rand
	candidates []Candidate
	patience   map[carawaycart.ZoneID]*patience // by zone of the endpoint
	slow       []awaited                        // not slow until due, nearly in that order
	awaited    []awaited                        // nearly in order of due
	overdue    []awaited                        // not answered when due; in order of the new due
	failing    map[carawaycart.Token]*record    // to be reported
	reported   time.Time
}

// NewRouter returns a router for an instance in zone that draws random numbers
// from source.
func NewRouter(zone carawaycart.ZoneID, source rand.Source, o Observer) *Router {
	return &Router{
		zone: zone, flows: newFlowTable(), observer: o, random: rand.New(source),
		patience: make(map[carawaycart.ZoneID]*patience), failing: make(map[carawaycart.Token]*record),
	}
}

// SetTable makes the router decide by t from now on.
func (r *Router) SetTable(t *Table) { r.table.Store(t) }

// Table returns the table that the router decides by, which may be nil.
func (r *Router) Table() *Table { return r.table.Load() }

// Decide returns what is to be done at now with packet p.
func (r *Router) Decide(p *carawaycart.Packet, now time.Time) carawaycart.Decision {
	t := r.table.Load()
	if !t.Complete() {
		return r.refuse(p, carawaycart.CauseNotReady, false, 0)
	}
	id := newFlowID(&p.Key)
	route := t.routes[id.service]
	if route == nil {
		return r.refuse(p, carawaycart.CauseNoRoute, true, t.Revision)
	}
	if p.Kind == carawaycart.PacketFirst {
		return r.first(t, route, id, p, now)
	}
	e := t.owners[p.Token]
	switch {
	case e == nil:
		return r.refuse(p, carawaycart.CauseUnknownToken, false, t.Revision)
	case e.presence == directory.Ended:
		return r.refuse(p, carawaycart.CauseEnded, true, t.Revision)
	case p.DataBytes > 0 && route.repeatable && e.record.isSilent():
		return r.refuse(p, carawaycart.CauseSilent, true, t.Revision)
	}
	r.watch(id, p, route, e, now)
	return forward(e)
}

func forward(e *endpoint) carawaycart.Decision {
	return carawaycart.Decision{
		Verdict: carawaycart.VerdictForward, Endpoint: e.lifetime.ID, Zone: e.lifetime.Zone,
		Token: e.token, Number: e.lifetime.Number, Address: e.lifetime.Address,
	}
}

// refuse drops p, or resets its flow unless p is itself a reset.
func (r *Router) refuse(p *carawaycart.Packet, c carawaycart.Cause, reset bool, revision carawaycart.StoreRevision) carawaycart.Decision {
	reset = reset && !p.Reset
	r.observer.Refused(p, c, reset, revision)
	if reset {
		return carawaycart.Decision{Verdict: carawaycart.VerdictReset, Cause: c}
	}
	return carawaycart.Decision{Verdict: carawaycart.VerdictDrop, Cause: c}
}

// first decides the first packet of a flow.
func (r *Router) first(t *Table, route *route, id flowID, p *carawaycart.Packet, now time.Time) carawaycart.Decision {
	r.sweep(now)
	s := r.flows.shard(id)
	defer s.mu.Unlock()
	var tried []*endpoint
	if f := s.flows[id]; f != nil {
		if f.phase == phaseOpen || now.Sub(f.opened) < resendPeriod {
			f.last = now
			return forward(f.endpoint) // a duplicate
		}
		if f.phase == phaseOpening {
			r.missed(f.endpoint, "first", f.sent, now)
		}
		tried = append(tried, f.tried...)
		tried = append(tried, f.endpoint)
		s.remove(id, f)
	}
	to := r.target(route)
	if to == nil {
		return r.refuse(p, carawaycart.CauseNoEndpoint, true, t.Revision)
	}
	refused := to.objective.admission.Refuses(p.Key, to.objective.priority, now)
	if o, changed := to.objective.admission.report(now); changed {
		o.Service = to.service
		r.observer.Overloaded(o)
	}
	if refused {
		return r.refuse(p, carawaycart.CauseOverload, true, t.Revision)
	}
	e, cause := r.place(t, to, &p.Key, p.Copy, tried, now)
	if e == nil {
		return r.refuse(p, cause, true, t.Revision)
	}
	e.take(now)
	f := &flow{
		endpoint: e, opened: now, sent: now, last: now, sequence: p.Sequence,
		objective: to.objective,
	}
	if !s.put(id, f, now) {
		e.record.adjust(-1, 0, 0)
	}
	return forward(e)
}

// Patience returns how long the answer to a first packet that was sent to an
// endpoint in zone may take.
func (r *Router) Patience(zone carawaycart.ZoneID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.patienceOf(zone).limit(initialPatience, minPatience, maxPatience)
}

func (r *Router) patienceOf(zone carawaycart.ZoneID) *patience {
	p := r.patience[zone]
	if p == nil {
		p = &patience{}
		r.patience[zone] = p
	}
	return p
}

// Hedge returns where the first packet of the flow at key is to be sent besides,
// if its answer is overdue at now. Whichever endpoint answers first is the one
// that the caller acknowledges; it ignores the others.
func (r *Router) Hedge(key *carawaycart.FlowKey, now time.Time) (carawaycart.Decision, bool) {
	t := r.table.Load()
	id := newFlowID(key)
	s := r.flows.shard(id)
	defer s.mu.Unlock()
	f := s.flows[id]
	if f == nil || f.phase != phaseOpening {
		return carawaycart.Decision{}, false
	}
	r.missed(f.endpoint, "first", f.sent, now)
	f.tried = append(f.tried, f.endpoint)
	var e *endpoint
	if route := t.routes[id.service]; route != nil && len(f.tried) < maxTried {
		if to := r.target(route); to != nil {
			e, _ = r.place(t, to, key, 0, f.tried, now)
		}
	}
	f.endpoint.record.adjust(-1, 0, 0)
	if e == nil || isTried(f.tried, e) {
		f.phase = phaseSilent
		return carawaycart.Decision{}, false
	}
	e.take(now)
	f.endpoint, f.sent = e, now
	return forward(e), true
}

func isTried(tried []*endpoint, e *endpoint) bool {
	for _, t := range tried {
		if t.record == e.record {
			return true
		}
	}
	return false
}

// place chooses an endpoint for a flow, one that was not tried if there is any.
func (r *Router) place(t *Table, to *target, key *carawaycart.FlowKey, copied int, tried []*endpoint, now time.Time,
) (*endpoint, carawaycart.Cause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoints := to.endpoints
	r.candidates = r.candidates[:0]
	cold, silent := false, false
	for _, e := range endpoints {
		c := e.candidate(r.zone, now)
		c.Tried = isTried(tried, e)
		cold, silent = cold || c.Full, silent || c.Silent
		r.candidates = append(r.candidates, c)
	}
	i := Choose(r.candidates, r.random.IntN)
	if i < 0 {
		switch {
		case cold:
			return nil, carawaycart.CauseCold
		case silent:
			return nil, carawaycart.CauseSilent
		}
		return nil, carawaycart.CauseNoEndpoint
	}
	r.observer.Placed(key, endpoints[i].lifetime.ID, &r.candidates[i], Placing{
		Copy: copied, Hedge: len(tried), Candidates: len(endpoints), Revision: t.Revision,
	})
	return endpoints[i], carawaycart.CauseNone
}

// Placing is what else is known when a flow is placed.
type Placing struct {
	Copy       int // of the first packet
	Hedge      int // endpoints that were tried before
	Candidates int
	Revision   carawaycart.StoreRevision
}

// target returns one of the targets of t, drawn by weight from those that have
// endpoints, or nil.
func (r *Router) target(t *route) *target {
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

func (r *Router) missed(e *endpoint, what string, sent, now time.Time) {
	period, probe := e.record.miss(sent, now)
	if period > 0 {
		r.observer.Avoided(e.lifetime.ID, what, period)
	}
	if probe {
		r.observer.Doubted(&e.lifetime)
	}
}

// Probed takes in the outcome of a probe that began at began. It reports whether
// the endpoint should be probed again, and whether it has just turned out silent.
func (r *Router) Probed(key carawaycart.LifetimeKey, alive bool, began, now time.Time) (again, silent bool) {
	t := r.table.Load()
	if t == nil || t.byKey[key] == nil || t.byKey[key].presence == directory.Ended {
		return false, false
	}
	e := t.byKey[key]
	changed := e.record.probed(alive, began, now)
	if changed {
		r.observer.Silenced(e.lifetime.ID, !alive)
	}
	return e.record.doubted(), changed && !alive
}

// Reachable reports whether an endpoint that may take new flows is not silent, or
// there is none that may.
func (r *Router) Reachable() bool {
	t := r.table.Load()
	if t == nil {
		return true
	}
	some := false
	for _, e := range t.byKey {
		if !t.takesFlows(e) {
			continue
		}
		if !e.record.isSilent() {
			return true
		}
		some = true
	}
	return !some
}

// Doubt has the endpoint with token t probed, which answers a peer nothing.
func (r *Router) Doubt(token carawaycart.Token) {
	t := r.table.Load()
	if t == nil {
		return
	}
	if e := t.owners[token]; e != nil && e.presence != directory.Ended && !e.record.isSilent() {
		r.observer.Doubted(&e.lifetime)
	}
}

// watch takes in what a later packet of a flow at e tells about e.
func (r *Router) watch(id flowID, p *carawaycart.Packet, via *route, e *endpoint, now time.Time) {
	s := r.flows.shard(id)
	defer s.mu.Unlock()
	f := s.flows[id]
	if f != nil && f.phase != phaseOpen && isTried(f.tried, e) {
		// The answer of an endpoint that was tried before came first after all.
		f.endpoint.record.adjust(-one(f.phase == phaseOpening), 0, 0)
		f.phase, f.endpoint, f.sent = phaseSilent, e, f.opened
	}
	if f == nil || f.endpoint.record != e.record {
		if p.DataBytes == 0 || p.Kind == carawaycart.PacketLast {
			return
		}
		if f != nil {
			s.remove(id, f)
		}
		f = &flow{endpoint: e, opened: now, phase: phaseOpen, acked: p.Acknowledged, sequence: p.Sequence - 1}
		if len(via.targets) == 1 {
			f.objective = via.targets[0].objective
		}
		if !s.put(id, f, now) {
			return
		}
		e.record.adjust(0, 0, 1)
	}
	r.advance(id, f, p, now)
	f.last = now
	if p.Kind == carawaycart.PacketLast {
		s.remove(id, f)
	}
}

// advance moves f on by packet p.
func (r *Router) advance(id flowID, f *flow, p *carawaycart.Packet, now time.Time) {
	e := f.endpoint
	if f.phase != phaseOpen {
		e.record.adjust(-one(f.phase == phaseOpening), 0, 1)
		f.phase = phaseOpen
		f.acked = p.Acknowledged
		r.mu.Lock()
		r.patienceOf(e.lifetime.Zone).observe(now.Sub(f.sent))
		r.mu.Unlock()
		r.heard(e, now)
	}
	if int32(p.Acknowledged-f.acked) > 0 {
		f.acked = p.Acknowledged
		r.heard(e, now)
		if f.waiting {
			e.record.adjust(0, -one(!f.overdue), one(f.overdue))
			f.waiting, f.overdue = false, false
			e.record.outcome(0, 1, now)
			if o := f.objective; o != nil {
				o.admission.Answered(o.priority, now.Sub(f.asked), o.answer, f.slow, now)
			}
		}
	}
	if p.DataBytes == 0 {
		return
	}
	if int32(p.Sequence-f.sequence) > 0 {
		f.sequence = p.Sequence
		if !f.waiting {
			f.waiting, f.slow, f.asked = true, false, now
			r.await(id, f, now)
			e.record.adjust(0, 1, 0)
		}
		return
	}
	if sent := f.last; now.Sub(sent) > resendPeriod {
		r.missed(e, "data", sent, now)
	}
}

func (r *Router) heard(e *endpoint, now time.Time) {
	if e.record.answer(now) {
		r.observer.Recovered(e.lifetime.ID)
	}
}
