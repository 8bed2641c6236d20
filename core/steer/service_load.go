package steer

import (
	"math"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/queue"
	"carawaycart/core/rejection"
	"carawaycart/core/share"
	"carawaycart/internal/rendezvous"
)

const (
	// minQueueBudget is the time that the budget of a route has to leave after its target
	// for first packets to be queued. Callers give an attempt to open a flow up after 1.4 s,
	// and can be served late only by a further one.
	minQueueBudget = 2 * time.Second

	// firstPacketPatience is the time from the first transmission of a first packet after
	// which it is not forwarded any more. The caller gives up after 1.4 s, and the answer
	// takes up to 0.1 s.
	firstPacketPatience = 1300 * time.Millisecond

	// Times from the first transmission of a first packet to its copies.
	firstCopyDelay  = 200 * time.Millisecond
	secondCopyDelay = 600 * time.Millisecond

	// saturatedLoad and unsaturatedLoad are the loads per request slot above which first
	// packets are queued, and below which they are not any more.
	saturatedLoad   = 0.75
	unsaturatedLoad = 0.6
	// busyLoad is the load per request slot above which loads are reported often, and flows are
	// placed by permits. Below it, endpoints have slots to spare for all.
	busyLoad = 0.5

	loadPeriod       = time.Second            // time over which loads are averaged
	allocationPeriod = 200 * time.Millisecond // time between allocations of permits
	loadReportPeriod = time.Second            // minimum time between reports of a saturated service to the observer

	// requestsPerPermit is the number of requests that may be in progress for each permit, so
	// that one is ready when a slot becomes free, and none stays free while instances
	// disagree about their permits. At a slow endpoint, which has slowSlowness times the mean
	// answer time, the second request would wait for too long.
	requestsPerPermit = 2
	slowSlowness      = 2

	// minServicePermits is the number of permits for each instance below which the permits
	// of a service are not shared out: too many instances would have none.
	minServicePermits = 1

	workSmoothing   = 1. / 16 // weight of a request in the expected work
	initialWorkPart = 10      // the expected work is this part of the target until a request was answered

	// maxWaitPart is the part of its target that a request may be expected to wait. A queue
	// of that length keeps all permits in use, and leaves time for requests that take longer
	// than expected.
	maxWaitPart = 4
	workMargin  = 2 // most requests take less than this multiple of the expected work
)

// serviceLoad holds the load of a service whose first packets may be queued, as far as one
// instance knows it, and the queue. It is shared by all tables of a router and safe for
// concurrent use. Its endpoints are those of the latest table.
type serviceLoad struct {
	service    carawaycart.ServiceID
	rejections rejection.Detector

	mu          sync.Mutex
	queue       queue.Queue
	work        map[int]time.Duration // expected time in a request slot by priority
	answerTime  averageTime           // of all endpoints
	arrivedWork time.Duration         // expected work of the requests since sampledAt
	offered     float64               // request slots that new requests need, on average
	busy        float64               // requests in progress or queued, on average
	sampledAt   time.Time
	allocatedAt time.Time
	state       LoadState
	reportedAt  time.Time // when the observer was last notified of the load
	reported    bool      // whether the service was saturated then
}

// LoadState is the load of a service as known to one instance.
type LoadState struct {
	Service   carawaycart.ServiceID
	Load      float64 // request slots that the callers of all known instances need
	Slots     int     // request slots of the endpoints that take new flows
	Permits   int     // permits of this instance
	Members   int     // instances of the zone, including this one
	Zones     int     // other zones that have reported
	Queued    int     // first packets in the queue
	Shared    bool    // whether the permits are shared out
	Saturated bool    // whether first packets without a free permit are queued
}

// expectedWork returns the time that a request of o is expected to be in progress at an endpoint.
// l.mu must be held.
func (l *serviceLoad) expectedWork(o *objective) time.Duration {
	if w := l.work[o.priority]; w > 0 {
		return w
	}
	return o.answerTarget / initialWorkPart
}

// recordArrival records a new request of o.
func (l *serviceLoad) recordArrival(o *objective) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivedWork += l.expectedWork(o)
}

// recordWork records at now that a request of o was answered after the time took.
func (l *serviceLoad) recordWork(o *objective, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answerTime.record(took, now)
	w := l.expectedWork(o)
	l.work[o.priority] = w + time.Duration(workSmoothing*float64(took-w))
}

// newEntry returns the queue entry of p, a first packet of a flow with requests of o, at now.
// l.mu must be held.
func (l *serviceLoad) newEntry(o *objective, p *carawaycart.Packet, now time.Time) queue.Entry {
	var waited time.Duration
	switch {
	case p.Retransmissions == 1:
		waited = firstCopyDelay
	case p.Retransmissions > 1:
		waited = secondCopyDelay
	}
	work := l.expectedWork(o)
	return queue.Entry{
		Key: p.Key, Sequence: p.Sequence, Priority: o.priority, Work: work,
		MaxWait: o.answerTarget / maxWaitPart, Deadline: now.Add(o.answerTarget - waited - workMargin*work), Expires: now.Add(firstPacketPatience - waited),
	}
}

// status reports whether the permits of the service are shared out, and whether first packets
// without a free permit are queued. Both are false if l is nil.
func (l *serviceLoad) status() (shared, saturated bool) {
	if l == nil {
		return false, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Shared, l.state.Saturated
}

// hasQueued reports whether first packets are queued.
func (l *serviceLoad) hasQueued() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len() > 0
}

// load returns the load of the instance. l.mu must be held.
func (l *serviceLoad) load() float64 { return max(l.offered, l.busy) }

// sample updates the averages at now, where busy is the number of requests in progress.
// l.mu must be held.
func (l *serviceLoad) sample(busy int, now time.Time) {
	elapsed := now.Sub(l.sampledAt)
	if l.sampledAt.IsZero() || elapsed <= 0 {
		l.sampledAt, l.arrivedWork = now, 0
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(loadPeriod))
	l.offered += weight * (float64(l.arrivedWork)/float64(elapsed) - l.offered)
	l.busy += weight * (float64(busy+l.queue.Len()) - l.busy)
	l.sampledAt, l.arrivedWork = now, 0
}

// allocate shares out the permits for endpoints at now. The instance self is in zone. l.mu must
// be held.
func (l *serviceLoad) allocate(self carawaycart.InstanceID, zone carawaycart.ZoneID, reports *share.Reports, endpoints []*endpoint, now time.Time) {
	in := share.Input{
		Self: self, Zone: zone, Members: []share.Member{{ID: self, Load: l.load()}}, Zones: reports.Zones(l.service, now),
	}
	for _, m := range reports.Members(l.service, now) {
		if m.ID != self {
			in.Members = append(in.Members, m)
		}
	}
	delete(in.Zones, zone)
	slots, permits := 0, 0
	for _, e := range endpoints {
		// Endpoints that are silent or reject requests keep their permits: instances do not
		// find that at the same time, and have to agree on the permits of the others.
		permits += e.lifetime.RequestSlots
		in.Endpoints = append(in.Endpoints, share.Endpoint{ID: e.lifetime.ID, Zone: e.lifetime.Zone, Permits: e.lifetime.RequestSlots})
	}
	usable := withoutRejecting(endpoints, now)
	for _, e := range usable {
		slots += e.lifetime.RequestSlots
	}
	total := 0.0
	for _, m := range in.Members {
		total += m.Load
	}
	for _, z := range in.Zones {
		total += z
	}
	s := &l.state
	s.Service, s.Load, s.Slots, s.Members, s.Zones, s.Queued = l.service, total, slots, len(in.Members), len(in.Zones), l.queue.Len()
	s.Shared = permits >= minServicePermits*len(in.Members)*(len(in.Zones)+1)
	threshold := saturatedLoad
	if s.Saturated {
		threshold = unsaturatedLoad
	}
	s.Saturated = s.Shared && total > threshold*float64(slots)
	var own map[carawaycart.EndpointID]int
	if s.Shared {
		own = share.Allocate(&in)
	}
	if s.Shared {
		borrowPermits(own, in.Self, usable, permits/(len(in.Members)*(len(in.Zones)+1)))
	}
	s.Permits = 0
	for _, e := range endpoints {
		s.Permits += own[e.lifetime.ID]
		e.state.setPermits(s.Shared && (s.Saturated || total > busyLoad*float64(slots)), own[e.lifetime.ID], l.answerTime.mean(now), now)
	}
}

// borrowPermits adds permits to own, which are those of instance self, for one of the usable
// endpoints, if own has none for them. The endpoint has to queue the requests
// that are too many; without permits, the instance could serve nothing until the entries of the
// silent ones are gone.
func borrowPermits(own map[carawaycart.EndpointID]int, self carawaycart.InstanceID, usable []*endpoint, permits int) {
	var best *endpoint
	var bestScore uint64
	key := rendezvous.NewKey(string(self))
	for _, e := range usable {
		if own[e.lifetime.ID] > 0 {
			return
		}
		if score := rendezvous.Score(rendezvous.NewName(string(e.lifetime.ID)), key); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	if best != nil {
		own[best.lifetime.ID] = min(max(permits, 1), best.lifetime.RequestSlots)
	}
}

// report returns the state and whether the observer is to be notified of it at now: when the
// service becomes saturated or ceases to be, and every loadReportPeriod in between. l.mu must be
// held.
func (l *serviceLoad) report(now time.Time) (LoadState, bool) {
	s := l.state
	if s.Saturated == l.reported && (!s.Saturated || now.Sub(l.reportedAt) < loadReportPeriod) {
		return s, false
	}
	l.reported, l.reportedAt = s.Saturated, now
	return s, true
}

// ServiceLoad is the load of a service, in request slots.
type ServiceLoad struct {
	Service carawaycart.ServiceID
	Load    float64
}

// SampleLoads measures the loads of the services whose first packets may be queued, and shares
// out their permits. It must be called every 50 ms or so.
func (r *Router) SampleLoads(now time.Time) {
	t := r.table.Load()
	if t == nil {
		return
	}
	for _, l := range t.loads {
		endpoints := t.loadEndpoints[l.service]
		busy := 0
		for _, e := range endpoints {
			if silent, _ := e.state.isSilent(now); !silent {
				busy += e.state.outstanding()
			}
		}
		l.mu.Lock()
		l.sample(busy, now)
		if now.Sub(l.allocatedAt) >= allocationPeriod {
			l.allocatedAt = now
			r.evaluateRejections(l, t.self, endpoints, now)
			l.allocate(t.self, r.zone, &r.reports, endpoints, now)
		}
		state, notify := l.report(now)
		l.mu.Unlock()
		if notify {
			r.observer.LoadChanged(&state)
		}
	}
}

// OwnLoads returns the loads of the services whose first packets may be queued, and whether
// they are to be reported often since one of the services is under high load.
func (r *Router) OwnLoads() (loads []ServiceLoad, often bool) {
	t := r.table.Load()
	if t == nil {
		return nil, false
	}
	for _, l := range t.loads {
		l.mu.Lock()
		loads = append(loads, ServiceLoad{Service: l.service, Load: l.load()})
		often = often || l.state.Load > busyLoad*float64(l.state.Slots)
		l.mu.Unlock()
	}
	return loads, often
}

// ZoneLoads returns the loads of the zone, if this instance is the one that is to report them
// at now: the member with the lowest ID of those that have reported lately. It returns nil
// otherwise.
func (r *Router) ZoneLoads(now time.Time) []ServiceLoad {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	var loads []ServiceLoad
	for _, l := range t.loads {
		l.mu.Lock()
		total := l.load() + share.MinLoad
		l.mu.Unlock()
		first := true
		for _, m := range r.reports.Members(l.service, now) {
			if m.ID != t.self {
				total += m.Load + share.MinLoad
			}
			first = first && m.ID >= t.self
		}
		if first {
			loads = append(loads, ServiceLoad{Service: l.service, Load: total})
		}
	}
	return loads
}

// RecordLoads records at now the loads that a peer has reported: its own if zone is empty, or
// else those of another zone.
func (r *Router) RecordLoads(from carawaycart.InstanceID, zone carawaycart.ZoneID, loads []ServiceLoad, now time.Time) {
	for _, l := range loads {
		if l.Load < 0 || math.IsNaN(l.Load) || math.IsInf(l.Load, 0) {
			continue
		}
		if zone == "" {
			r.reports.RecordInstance(l.Service, from, l.Load, now)
		} else {
			r.reports.RecordZone(l.Service, zone, l.Load, now)
		}
	}
}
