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
	answerPeriod = 80 * time.Millisecond  // for the answer to a first packet; a round trip takes about 10 ms
	resendPeriod = 150 * time.Millisecond // ends resend after 200 ms; less is a duplicate of the network
)

// Observer is told what decisions are made of and what they change.
type Observer interface {
	// Placed is told that a first packet was given to an endpoint.
	Placed(p *carawaycart.Packet, e carawaycart.EndpointID, outstanding, candidates int, revision carawaycart.StoreRevision)
	// Refused is told that a packet was not forwarded.
	Refused(p *carawaycart.Packet, c carawaycart.Cause, reset bool, revision carawaycart.StoreRevision)
	// Avoided is told that an endpoint left something unanswered.
	Avoided(e carawaycart.EndpointID, what string, period time.Duration)
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
	pending    []pendingFirst // in order of sent
}

// pendingFirst is a first packet whose answer has not been seen.
type pendingFirst struct {
	key      carawaycart.FlowKey
	endpoint *endpoint
	sent     time.Time
}

// NewRouter returns a router for an instance in zone that draws random numbers
// from source.
func NewRouter(zone carawaycart.ZoneID, source rand.Source, o Observer) *Router {
	return &Router{zone: zone, flows: newFlowTable(), observer: o, random: rand.New(source)}
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
	route := t.routes[p.Key.Service]
	if route == nil {
		return r.refuse(p, carawaycart.CauseNoRoute, true, t.Revision)
	}
	if p.Kind == carawaycart.PacketFirst {
		return r.first(t, route, p, now)
	}
	e := t.owners[p.Token]
	switch {
	case e == nil:
		return r.refuse(p, carawaycart.CauseUnknownToken, false, t.Revision)
	case e.presence == directory.Ended:
		return r.refuse(p, carawaycart.CauseEnded, true, t.Revision)
	}
	r.watch(p, e, now)
	return forward(e)
}

func forward(e *endpoint) carawaycart.Decision {
	return carawaycart.Decision{
		Verdict: carawaycart.VerdictForward, Endpoint: e.lifetime.ID,
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
func (r *Router) first(t *Table, route *route, p *carawaycart.Packet, now time.Time) carawaycart.Decision {
	r.expire(now)
	s := r.flows.shard(&p.Key)
	defer s.mu.Unlock()
	var avoid *endpoint
	if f := s.flows[p.Key]; f != nil {
		if f.phase == phaseOpen || now.Sub(f.opened) < resendPeriod {
			f.last = now
			return forward(f.endpoint) // a duplicate
		}
		r.missed(f.endpoint, "first", f.opened, now)
		avoid = f.endpoint
		s.remove(p.Key, f)
	}
	e, cause := r.place(t, route, p, avoid, now)
	if e == nil {
		return r.refuse(p, cause, true, t.Revision)
	}
	e.take(now)
	if s.put(p.Key, &flow{endpoint: e, opened: now, last: now, sequence: p.Sequence}, now) {
		r.mu.Lock()
		r.pending = append(r.pending, pendingFirst{p.Key, e, now})
		r.mu.Unlock()
	} else {
		e.record.adjust(-1, 0, 0)
	}
	return forward(e)
}

// place chooses an endpoint for the flow of p, not avoid if there is another.
func (r *Router) place(t *Table, route *route, p *carawaycart.Packet, avoid *endpoint, now time.Time) (*endpoint, carawaycart.Cause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoints := route.choose(r.random)
	r.candidates = r.candidates[:0]
	cold := false
	for _, e := range endpoints {
		c := e.candidate(r.zone, now)
		c.Avoided = c.Avoided || avoid != nil && e.record == avoid.record
		cold = cold || c.Full
		r.candidates = append(r.candidates, c)
	}
	i := Choose(r.candidates, r.random.IntN)
	if i < 0 {
		if cold {
			return nil, carawaycart.CauseCold
		}
		return nil, carawaycart.CauseNoEndpoint
	}
	r.observer.Placed(p, endpoints[i].lifetime.ID, r.candidates[i].Outstanding, len(endpoints), t.Revision)
	return endpoints[i], carawaycart.CauseNone
}

// choose returns the endpoints of one of the route's targets, drawn by weight
// from those that have any.
func (r *route) choose(random *rand.Rand) []*endpoint {
	if len(r.targets) == 1 {
		return r.targets[0].endpoints
	}
	total := 0
	for _, t := range r.targets {
		if len(t.endpoints) > 0 {
			total += t.weight
		}
	}
	if total == 0 {
		return nil
	}
	n := random.IntN(total)
	for _, t := range r.targets {
		if len(t.endpoints) == 0 {
			continue
		}
		if n < t.weight {
			return t.endpoints
		}
		n -= t.weight
	}
	return nil
}

// expire counts the first packets that were not answered in time.
func (r *Router) expire(now time.Time) {
	for {
		r.mu.Lock()
		if len(r.pending) == 0 || now.Sub(r.pending[0].sent) < answerPeriod {
			r.mu.Unlock()
			return
		}
		first := r.pending[0]
		r.pending = r.pending[1:]
		r.mu.Unlock()
		s := r.flows.shard(&first.key)
		f := s.flows[first.key]
		unanswered := f != nil && f.phase == phaseOpening && f.opened.Equal(first.sent)
		if unanswered {
			f.phase = phaseSilent
			first.endpoint.record.adjust(-1, 0, 0)
		}
		s.mu.Unlock()
		if unanswered {
			r.missed(first.endpoint, "first", first.sent, now)
		}
	}
}

func (r *Router) missed(e *endpoint, what string, sent, now time.Time) {
	if period := e.record.miss(sent, now); period > 0 {
		r.observer.Avoided(e.lifetime.ID, what, period)
	}
}

// watch takes in what a later packet of a flow at e tells about e.
func (r *Router) watch(p *carawaycart.Packet, e *endpoint, now time.Time) {
	s := r.flows.shard(&p.Key)
	defer s.mu.Unlock()
	f := s.flows[p.Key]
	if f == nil || f.endpoint.record != e.record {
		if p.DataBytes == 0 || p.Kind == carawaycart.PacketLast {
			return
		}
		if f != nil {
			s.remove(p.Key, f)
		}
		f = &flow{endpoint: e, opened: now, phase: phaseOpen, acked: p.Acknowledged, sequence: p.Sequence - 1}
		if !s.put(p.Key, f, now) {
			return
		}
		e.record.adjust(0, 0, 1)
	}
	r.advance(f, p, now)
	f.last = now
	if p.Kind == carawaycart.PacketLast {
		s.remove(p.Key, f)
	}
}

// advance moves f on by packet p.
func (r *Router) advance(f *flow, p *carawaycart.Packet, now time.Time) {
	e := f.endpoint
	if f.phase != phaseOpen {
		e.record.adjust(-one(f.phase == phaseOpening), 0, 1)
		f.phase = phaseOpen
		f.acked = p.Acknowledged
		r.heard(e, now)
	}
	if int32(p.Acknowledged-f.acked) > 0 {
		f.acked = p.Acknowledged
		r.heard(e, now)
		if f.waiting {
			f.waiting = false
			e.record.adjust(0, -1, 0)
		}
	}
	if p.DataBytes == 0 {
		return
	}
	if int32(p.Sequence-f.sequence) > 0 {
		f.sequence = p.Sequence
		if !f.waiting {
			f.waiting = true
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
