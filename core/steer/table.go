package steer

import (
	"slices"
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/core/admission"
	"carawaycart/core/directory"
	"carawaycart/core/placement"
	"carawaycart/internal/rendezvous"
)

// Table is a view of the store on which decisions are based. It is immutable, except for
// what RecordRead records, and that it shares the state of endpoints and the admission
// controllers with the tables before and after it.
type Table struct {
	ConfigVersion uint64                    // version of the routing configuration; zero without one
	Revision      carawaycart.StoreRevision // revision of the store that it was built from

	routes       map[packedAddress]*route    // routes by service address
	removedUntil map[packedAddress]time.Time // when flows on routes that were removed have ended
	readAt       atomic.Int64                // latest start of a read that has shown these or earlier routes, in Unix nanoseconds
	byToken      map[carawaycart.Token]*endpoint
	byKey        map[carawaycart.LifetimeKey]*endpoint
	zonesOut     map[carawaycart.ZoneID]bool // zones whose endpoints take no new flows

	policies   map[carawaycart.ServiceID]carawaycart.ServicePolicy
	admissions map[carawaycart.ServiceID]*admission.Controller // shared by all tables of a router

	self          carawaycart.InstanceID
	serviceLoads  map[carawaycart.ServiceID]*serviceLoad // shared by all tables of a router
	loads         []*serviceLoad                         // of the services whose first packets may be queued
	loadEndpoints map[carawaycart.ServiceID][]*endpoint  // endpoints of loads
	// queues holds the loads of this table and of those before it, whose queues may still have
	// entries after their routes have changed.
	queues []*serviceLoad
}

// route determines where the new flows to one service address go.
type route struct {
	targets    []routeTarget
	repeatable bool // whether requests to the address may run more than once
}

// routeTarget is a service that gets a part of the new flows of a route.
type routeTarget struct {
	service   carawaycart.ServiceID
	endpoints []*endpoint // endpoints that may take new flows
	weight    int         // share of the new flows, relative to the weights of the other targets
	objective *objective
}

// targetOf returns the target of r with the given service, or nil.
func (r *route) targetOf(id carawaycart.ServiceID) *routeTarget {
	for i := range r.targets {
		if r.targets[i].service == id {
			return &r.targets[i]
		}
	}
	return nil
}

// warmEndpoint returns the endpoint of t with the lifetime of e if it takes new flows at now
// without a limit, or nil. The instance is in zone.
func (t *routeTarget) warmEndpoint(e *endpoint, zone carawaycart.ZoneID, now time.Time) *endpoint {
	for _, current := range t.endpoints {
		if current.state == e.state {
			if c, _ := current.candidate(zone, now); !c.Cold && !c.AtColdLimit {
				return current
			}
			return nil
		}
	}
	return nil
}

// objective is the priority and target answer time of requests, and the admission
// control that refuses flows while it is missed.
type objective struct {
	admission    *admission.Controller // shared by all routes to the service
	priority     int                   // zero is the most urgent
	answerTarget time.Duration         // time within which a request should be answered
	load         *serviceLoad          // nil unless first packets of the route may be queued
	repeatable   bool                  // whether requests may run more than once
	route        string                // address of the route
}

// ColdLimits limits the new flows per second that a cold endpoint gets from all
// instances together: to ColdOverrun times the rate that it can bear, plus
// ColdSlack.
type ColdLimits struct {
	ColdOverrun float64 // factor of carawaycart.ServicePolicy.ColdRequestRate
	ColdSlack   float64 // new flows per second
}

// Input is the data that a Table is built from.
type Input struct {
	// Contents holds the routing configuration, instances and zones out, as read from
	// the store.
	Contents  directory.Contents
	Revision  carawaycart.StoreRevision  // revision of Contents
	Lifetimes *directory.LifetimeTracker // lifetimes, including lapsed and ended ones
	Self      carawaycart.InstanceID     // instance that the table is built for
	Limits    ColdLimits
	// ZonesColdUntil tells until when all endpoints of a zone count as cold.
	ZonesColdUntil map[carawaycart.ZoneID]time.Time
	Profiles       map[carawaycart.ServiceID]carawaycart.Profile // profiles by service, for services that have one
}

// NewTable returns the table that is built from in at now. Endpoints and admissions
// that are also in previous, which may be nil, keep their state.
func NewTable(in *Input, previous *Table, now time.Time) *Table {
	t := &Table{
		Revision: in.Revision, self: in.Self,
		routes:   make(map[packedAddress]*route),
		byToken:  make(map[carawaycart.Token]*endpoint),
		byKey:    make(map[carawaycart.LifetimeKey]*endpoint),
		zonesOut: make(map[carawaycart.ZoneID]bool),
	}
	if previous != nil {
		t.admissions, t.serviceLoads = previous.admissions, previous.serviceLoads
		t.queues = slices.Clone(previous.queues)
		t.readAt.Store(previous.readAt.Load())
	} else {
		t.admissions = make(map[carawaycart.ServiceID]*admission.Controller)
		t.serviceLoads = make(map[carawaycart.ServiceID]*serviceLoad)
	}
	for _, z := range in.Contents.ZonesOut {
		t.zonesOut[z] = true
	}
	t.addEndpoints(in, previous, now)
	if in.Contents.Config != nil {
		t.ConfigVersion = in.Contents.Config.Version
		t.addRoutes(in.Contents.Config)
	}
	t.clearPermits()
	t.recordRemovedRoutes(previous, now)
	return t
}

// recordRemovedRoutes records the routes that previous or a table before it had and t does
// not have.
func (t *Table) recordRemovedRoutes(previous *Table, now time.Time) {
	t.removedUntil = make(map[packedAddress]time.Time)
	if previous == nil {
		return
	}
	for address, until := range previous.removedUntil {
		if t.routes[address] == nil && now.Before(until) {
			t.removedUntil[address] = until
		}
	}
	for address := range previous.routes {
		if t.routes[address] == nil {
			t.removedUntil[address] = now.Add(MaxFlowAge)
		}
	}
}

// RecordRead records that a read of the store that began at began, or later, has shown the
// routes of t. It must not be called concurrently.
func (t *Table) RecordRead(began time.Time) {
	if n := began.UnixNano(); n > t.readAt.Load() {
		t.readAt.Store(n)
	}
}

// readSince reports whether a read that began after when has shown the routes of t or of a
// table before it, so that the routes that t lacks were missing at some time after when.
func (t *Table) readSince(when time.Time) bool { return t.readAt.Load() > when.UnixNano() }

// isRemoved reports whether a route to the service address was removed and flows may still
// use it at now.
func (t *Table) isRemoved(service packedAddress, now time.Time) bool {
	return now.Before(t.removedUntil[service])
}

// addEndpoints adds the endpoints of all lifetimes in in.Lifetimes and assigns their
// tokens.
func (t *Table) addEndpoints(in *Input, previous *Table, now time.Time) {
	policies := make(map[carawaycart.ServiceID]carawaycart.ServicePolicy)
	if in.Contents.Config != nil {
		for _, s := range in.Contents.Config.Services {
			policies[s.ID] = s
		}
	}
	t.policies = policies
	var keys []carawaycart.LifetimeKey
	var latest map[carawaycart.EndpointID]*endpoint // of previous; nil until it is needed
	in.Lifetimes.ForEach(func(s *directory.TrackedLifetime) {
		key := s.Lifetime.Key()
		var old *endpoint
		if previous != nil {
			old = previous.byKey[key]
		}
		e := newEndpoint(s, old, in.ZonesColdUntil[s.Lifetime.Zone])
		if previous != nil && old == nil {
			if latest == nil {
				latest = previous.latest()
			}
			e.inheritFlows(latest[key.ID], now)
		}
		profile, ok := in.Profiles[s.Lifetime.Service]
		if ok {
			e.warmupUntil = e.coldUntil.Add(profile.WarmupSeconds.Duration())
		}
		if now.Before(e.coldUntil) {
			e.coldShare = coldShare(in, policies[s.Lifetime.Service], profile, key)
		}
		t.byKey[key] = e
		keys = append(keys, key)
	})
	tokens, byToken := assignTokens(keys, derive)
	for token, key := range byToken {
		t.byToken[token] = t.byKey[key]
	}
	for key, token := range tokens {
		t.byKey[key].token = token
	}
	t.linkSuccessors()
}

// linkSuccessors sets the successors of the endpoints that have ended.
func (t *Table) linkSuccessors() {
	var latest map[carawaycart.EndpointID]*endpoint
	for _, e := range t.byKey {
		if e.presence != directory.Ended {
			continue
		}
		if latest == nil {
			latest = t.latest()
		}
		if l := latest[e.lifetime.ID]; l.succeeds(e) {
			e.successor = l
		}
	}
}

// latest returns the latest lifetime of each endpoint.
func (t *Table) latest() map[carawaycart.EndpointID]*endpoint {
	latest := make(map[carawaycart.EndpointID]*endpoint, len(t.byKey))
	for _, e := range t.byKey {
		if l := latest[e.lifetime.ID]; l == nil || l.lifetime.StartedAt < e.lifetime.StartedAt {
			latest[e.lifetime.ID] = e
		}
	}
	return latest
}

// coldShare returns the share of instance in.Self of the new flows of the cold endpoint
// with the given key. Members are ranked by rendezvous hashing, so that they agree on
// their ranks and the rank of each varies with the endpoint. A profile without a name
// does not limit the total number of flows.
func coldShare(in *Input, policy carawaycart.ServicePolicy, profile carawaycart.Profile, key carawaycart.LifetimeKey) placement.ColdShare {
	limit := policy.ColdRequestRate*in.Limits.ColdOverrun + in.Limits.ColdSlack
	endpointKey := rendezvous.NewKey(string(key.ID))
	ownScore := rendezvous.Score(rendezvous.NewName(string(in.Self)), endpointKey)
	rank, members := 0, 1
	for _, i := range in.Contents.Instances {
		if i.ID == in.Self {
			continue
		}
		members++
		if rendezvous.Score(rendezvous.NewName(string(i.ID)), endpointKey) > ownScore {
			rank++
		}
	}
	share := placement.NewColdShare(limit, members, rank)
	if profile.Name != "" {
		share.HasMaxFlows = true
		share.MaxFlows = placement.MemberShare(profile.ColdFlows, members, rank)
	}
	return share
}

// addRoutes adds the routes of c, with an admission controller for each service that has none.
func (t *Table) addRoutes(c *carawaycart.RouteConfig) {
	services := make(map[carawaycart.ServiceID][]*endpoint)
	for _, e := range t.byKey {
		if t.acceptsFlows(e) {
			services[e.lifetime.Service] = append(services[e.lifetime.Service], e)
		}
	}
	t.loadEndpoints = make(map[carawaycart.ServiceID][]*endpoint)
	for i := range c.Routes {
		from := &c.Routes[i]
		r := &route{repeatable: from.Kind.Idempotent()}
		for _, to := range from.Targets {
			if t.admissions[to.Service] == nil {
				t.admissions[to.Service] = &admission.Controller{}
			}
			o := &objective{admission: t.admissions[to.Service], priority: from.Priority, answerTarget: from.TargetLatency, repeatable: r.repeatable, route: from.Address.String()}
			// Without a target, the queue could not tell what is served in time and would be unbounded.
			if from.TargetLatency > 0 && from.TimeBudget-from.TargetLatency >= minQueueBudget {
				o.load = t.loadOf(to.Service)
				t.loadEndpoints[to.Service] = services[to.Service]
			}
			r.targets = append(r.targets, routeTarget{service: to.Service, endpoints: services[to.Service], weight: to.Weight, objective: o})
		}
		t.routes[pack(from.Address)] = r
	}
}

// loadOf returns the load of a service whose first packets may be queued.
func (t *Table) loadOf(id carawaycart.ServiceID) *serviceLoad {
	l := t.serviceLoads[id]
	if l == nil {
		l = &serviceLoad{service: id, work: make(map[int]time.Duration)}
		t.serviceLoads[id] = l
		t.queues = append(t.queues, l)
	}
	if !slices.Contains(t.loads, l) {
		t.loads = append(t.loads, l)
	}
	return l
}

// clearPermits makes the endpoints of services without loads available without permits. Those
// of an earlier configuration would otherwise affect placement for good.
func (t *Table) clearPermits() {
	for _, e := range t.byKey {
		if _, ok := t.loadEndpoints[e.lifetime.Service]; !ok {
			e.state.clearPermits()
		}
	}
}

// queuedLoad returns the load of a service, or nil if its first packets are not queued.
func (t *Table) queuedLoad(id carawaycart.ServiceID) *serviceLoad {
	if t.loadEndpoints[id] == nil {
		return nil
	}
	return t.serviceLoads[id]
}

// acceptsFlows reports whether e may take new flows.
func (t *Table) acceptsFlows(e *endpoint) bool {
	return e.presence != directory.Ended && !e.lifetime.Draining && !t.zonesOut[e.lifetime.Zone]
}

// HasConfig reports whether t has a routing configuration. It is false if t is nil.
func (t *Table) HasConfig() bool { return t != nil && t.ConfigVersion != 0 }

// HealthPath returns the HTTP path of the health check of the endpoints of service, or
// the empty string if the service is not configured.
func (t *Table) HealthPath(service carawaycart.ServiceID) string {
	return t.policies[service].HealthPath
}

// Token returns the token of the lifetime with the given key, or zero if the lifetime
// is unknown.
func (t *Table) Token(key carawaycart.LifetimeKey) carawaycart.Token {
	if e := t.byKey[key]; e != nil {
		return e.token
	}
	return 0
}
