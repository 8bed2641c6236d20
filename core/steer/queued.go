package steer

import (
	"time"

	"carawaycart"
	"carawaycart/core/queue"
)

// admit decides at now whether p, a first packet without a record of its flow, is refused or
// queued because of the load of to. If it returns false, the packet is to be placed. isNew is as
// in decideFirst.
func (r *Router) admit(t *Table, to *routeTarget, p *carawaycart.Packet, isNew bool, now time.Time) (carawaycart.Decision, bool) {
	o := to.objective
	l := o.load
	if l == nil {
		return r.admitWithoutQueue(t, to, p, isNew, now)
	}
	if p.Retransmissions == 0 {
		l.recordArrival(o)
	}
	shared, saturated := l.status()
	if shared && !saturated {
		return carawaycart.Decision{}, false
	}
	free, permits := 0, 0
	if shared {
		free, permits = r.countPermits(to.endpoints, now)
	}
	if permits == 0 {
		return r.admitWithoutQueue(t, to, p, isNew, now)
	}
	l.mu.Lock()
	if l.queue.Contains(p.Key) {
		l.mu.Unlock()
		return carawaycart.Decision{Verdict: carawaycart.VerdictQueue}, true
	}
	if free > 0 && !l.queue.HasOnTime(now) {
		l.mu.Unlock()
		return carawaycart.Decision{}, false
	}
	entry := l.newEntry(o, p, now)
	verdict := l.queue.Add(entry, permits, now)
	length := l.queue.Len()
	l.mu.Unlock()
	if verdict == queue.Refused {
		return r.refuse(p, carawaycart.CauseOverload, isNew, t.Revision), true
	}
	r.observer.Queued(&entry, verdict, permits, length)
	return carawaycart.Decision{Verdict: carawaycart.VerdictQueue}, true
}

// admitWithoutQueue decides like admit on a packet that cannot be queued, by the admission
// control of to. A copy is not refused, since that would not end the wait of its caller.
func (r *Router) admitWithoutQueue(t *Table, to *routeTarget, p *carawaycart.Packet, isNew bool, now time.Time) (carawaycart.Decision, bool) {
	if r.isOverloaded(to, &p.Key, now) && isNew {
		return r.refuse(p, carawaycart.CauseOverload, true, t.Revision), true
	}
	return carawaycart.Decision{}, false
}

// countPermits returns the number of permits that this instance holds for usable ones of
// endpoints, and of those that are free, at now.
func (r *Router) countPermits(endpoints []*endpoint, now time.Time) (free, permits int) {
	for _, e := range endpoints {
		c, _ := e.candidate(r.zone, now)
		limit, used := e.state.permitUse()
		if limit == 0 || !c.IsUsable() {
			continue
		}
		permits += limit
		free += max(limit-used, 0)
	}
	return free, permits
}

// Dispatch is the decision on a first packet that was queued.
type Dispatch struct {
	Key      carawaycart.FlowKey
	Decision carawaycart.Decision // to forward the packet, or to drop it
}

// DispatchQueued returns the decisions on the queued first packets that an endpoint can take at
// now, and on those whose callers have given up.
func (r *Router) DispatchQueued(now time.Time) []Dispatch {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	var dispatched []Dispatch
	for _, l := range t.queues {
		l.mu.Lock()
		expired := l.queue.Expire(now)
		l.mu.Unlock()
		for i := range expired {
			r.observer.QueueDropped(&expired[i], carawaycart.CauseOverload)
			dispatched = append(dispatched, Dispatch{Key: expired[i].Key, Decision: carawaycart.Decision{Verdict: carawaycart.VerdictDrop, Cause: carawaycart.CauseOverload}})
		}
		for {
			d, ok := r.dispatchNext(t, l, now)
			if !ok {
				break
			}
			dispatched = append(dispatched, d)
		}
	}
	return dispatched
}

// dispatchNext removes the next entry from the queue of l and returns the decision on it, if
// the service is not saturated any more, or this instance has a free permit or none at all.
func (r *Router) dispatchNext(t *Table, l *serviceLoad, now time.Time) (Dispatch, bool) {
	l.mu.Lock()
	empty, saturated := l.queue.Len() == 0, l.state.Saturated
	l.mu.Unlock()
	if empty {
		return Dispatch{}, false
	}
	idle := true
	if saturated {
		free, limit := r.countPermits(t.loadEndpoints[l.service], now)
		if free == 0 && limit > 0 {
			return Dispatch{}, false
		}
		idle = free*requestsPerPermit > limit*(requestsPerPermit-1)
	}
	l.mu.Lock()
	entry, ok := l.queue.Next(idle, now)
	permits, length := l.state.Permits, l.queue.Len()
	l.mu.Unlock()
	if !ok {
		return Dispatch{}, false
	}
	d := r.dispatch(t, l, &entry, now)
	if d.Verdict == carawaycart.VerdictForward {
		r.observer.Dispatched(&entry, permits, length, now)
	} else {
		r.observer.QueueDropped(&entry, d.Cause)
	}
	return Dispatch{Key: entry.Key, Decision: d}, true
}

// dispatch returns the decision on the first packet of entry, which was in the queue of l. It
// drops the packet, without a cause, if a copy was placed meanwhile.
func (r *Router) dispatch(t *Table, l *serviceLoad, entry *queue.Entry, now time.Time) carawaycart.Decision {
	drop := func(c carawaycart.Cause) carawaycart.Decision {
		return carawaycart.Decision{Verdict: carawaycart.VerdictDrop, Cause: c}
	}
	id := newFlowID(&entry.Key)
	via := t.routes[id.service]
	if via == nil {
		return drop(carawaycart.CauseNoRoute)
	}
	to := via.targetOf(l.service)
	if to == nil {
		return drop(carawaycart.CauseNoRoute)
	}
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	if s.flows[id] != nil {
		return drop(carawaycart.CauseNone)
	}
	e, cause := r.place(t, to, &entry.Key, 0, nil, now)
	if e == nil {
		return drop(cause)
	}
	r.openFlow(s, id, e, to.objective, entry.Sequence, now)
	return forwardFirst(e)
}

// recordDone records at now that e has answered a request of o after the time took, so that its
// permit is free.
func (r *Router) recordDone(e *endpoint, o *objective, took time.Duration, now time.Time) {
	if o.load == nil {
		return
	}
	e.state.recordAnswerTime(took, now)
	o.load.recordWork(o, took, now)
	if o.load.hasQueued() {
		r.observer.CapacityFreed()
	}
}

// Ages of the last known read of the store between which an instance whose endpoints are all
// silent is taken to be cut off. Reads normally follow each other within 0.95 s, and count as 1 s
// older if a peer tells of them. The fabric leaves a zone that is cut off within about 3 s.
const (
	minCutOffAge = 2200 * time.Millisecond
	maxCutOffAge = 6500 * time.Millisecond
)

// mayReachOtherZone reports whether a first packet that is refused because of c at now may
// reach an instance of another zone if its caller sends it again: this instance seems to be cut
// off and is about to leave the rotation. A reset would make the caller use up its attempts
// here within 10 ms, while its time budget lasts for seconds.
func mayReachOtherZone(t *Table, to *routeTarget, c carawaycart.Cause, now time.Time) bool {
	if c != carawaycart.CauseSilent || to.objective.load == nil {
		return false
	}
	age := now.Sub(time.Unix(0, t.readAt.Load()))
	return age > minCutOffAge && age < maxCutOffAge
}
