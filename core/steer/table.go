package steer

import (
	"time"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/internal/rendezvous"
)

// Table is an immutable snapshot of what packets are decided by.
type Table struct {
	Version  uint64 // of the routing configuration
	Revision carawaycart.StoreRevision

	routes map[packedAddress]*route
	owners map[carawaycart.Token]*endpoint
	byKey  map[carawaycart.LifetimeKey]*endpoint
	zones  map[carawaycart.ZoneID]bool // out

	policies   map[carawaycart.ServiceID]carawaycart.ServicePolicy
	admissions map[carawaycart.ServiceID]*Admission // shared by all tables of a router
}

// route is where the new flows of an address go.
type route struct {
	targets    []target
	repeatable bool // its requests may run more than once
}

type target struct {
	service   carawaycart.ServiceID
	endpoints []*endpoint
	weight    int
	objective *objective
}

// objective is how soon requests should be answered, and what admits them.
type objective struct {
	admission *Admission // of the service
	priority  int        // zero is the most urgent
	answer    time.Duration
}

// Limits bound what cold endpoints are given.
type Limits struct {
	ColdOverrun float64 // multiple of what a cold endpoint says it bears
	ColdSlack   float64 // requests a second on top
}

// Input is what a Table is built from.
type Input struct {
	Contents directory.Contents
	Revision carawaycart.StoreRevision
	Roster   *directory.Roster
	Self     carawaycart.InstanceID
	Limits   Limits
	Profiles map[carawaycart.ServiceID]carawaycart.Profile // of the services that operators gave one
}

// NewTable returns the table for in at now. Endpoints that were in previous,
// which may be nil, keep what was learnt about them.
func NewTable(in *Input, previous *Table, now time.Time) *Table {
	t := &Table{
		Revision: in.Revision,
		routes:   make(map[packedAddress]*route),
		owners:   make(map[carawaycart.Token]*endpoint),
		byKey:    make(map[carawaycart.LifetimeKey]*endpoint),
		zones:    make(map[carawaycart.ZoneID]bool),
	}
	if previous != nil {
		t.admissions = previous.admissions
	} else {
		t.admissions = make(map[carawaycart.ServiceID]*Admission)
	}
	for _, z := range in.Contents.ZonesOut {
		t.zones[z] = true
	}
	t.addEndpoints(in, previous, now)
	if in.Contents.Config != nil {
		t.Version = in.Contents.Config.Version
		t.addRoutes(in.Contents.Config)
	}
	return t
}

func (t *Table) addEndpoints(in *Input, previous *Table, now time.Time) {
	policies := make(map[carawaycart.ServiceID]carawaycart.ServicePolicy)
	if in.Contents.Config != nil {
		for _, s := range in.Contents.Config.Services {
			policies[s.ID] = s
		}
	}
	t.policies = policies
	var keys []carawaycart.LifetimeKey
	in.Roster.All(func(s *directory.Seen) {
		key := s.Lifetime.Key()
		var old *endpoint
		if previous != nil {
			old = previous.byKey[key]
		}
		e := newEndpoint(s, old, t.returned(previous, s.Lifetime.Zone), now)
		profile, ok := in.Profiles[s.Lifetime.Service]
		if ok {
			e.warmUntil = e.coldUntil.Add(profile.WarmupSeconds.Duration())
		}
		if now.Before(e.coldUntil) {
			e.coldShare = coldShare(in, policies[s.Lifetime.Service], profile, key)
		}
		t.byKey[key] = e
		keys = append(keys, key)
	})
	tokens, owners := assignTokens(keys, derive)
	for token, key := range owners {
		t.owners[token] = t.byKey[key]
	}
	for key, token := range tokens {
		t.byKey[key].token = token
	}
}

// returned reports whether zone was out in previous and is not now.
func (t *Table) returned(previous *Table, zone carawaycart.ZoneID) bool {
	return previous != nil && previous.zones[zone] && !t.zones[zone]
}

// coldShare returns the share that the instance has of a cold endpoint. A profile
// without a name limits nothing.
func coldShare(in *Input, policy carawaycart.ServicePolicy, profile carawaycart.Profile, key carawaycart.LifetimeKey) ColdShare {
	bound := policy.ColdPerSecond*in.Limits.ColdOverrun + in.Limits.ColdSlack
	place := rendezvous.NewKey(string(key.ID))
	own := rendezvous.Score(rendezvous.NewName(string(in.Self)), place)
	rank, members := 0, 1
	for _, i := range in.Contents.Instances {
		if i.ID == in.Self {
			continue
		}
		members++
		if rendezvous.Score(rendezvous.NewName(string(i.ID)), place) > own {
			rank++
		}
	}
	share := NewColdShare(bound, members, rank)
	if profile.Name != "" {
		share.Limited = true
		share.Sum = part(profile.ColdFlows, members, rank)
	}
	return share
}

func (t *Table) addRoutes(c *carawaycart.RouteConfig) {
	services := make(map[carawaycart.ServiceID][]*endpoint)
	for _, e := range t.byKey {
		if t.takesFlows(e) {
			services[e.lifetime.Service] = append(services[e.lifetime.Service], e)
		}
	}
	for i := range c.Routes {
		from := &c.Routes[i]
		r := &route{repeatable: from.Kind == carawaycart.RequestSafe}
		for _, to := range from.Targets {
			if t.admissions[to.Service] == nil {
				t.admissions[to.Service] = &Admission{}
			}
			r.targets = append(r.targets, target{
				service: to.Service, endpoints: services[to.Service], weight: to.Weight,
				objective: &objective{admission: t.admissions[to.Service], priority: from.Priority, answer: from.Target},
			})
		}
		t.routes[pack(from.Address)] = r
	}
}

// takesFlows reports whether e may take new flows.
func (t *Table) takesFlows(e *endpoint) bool {
	return e.presence != directory.Ended && !e.lifetime.Draining && !t.zones[e.lifetime.Zone]
}

// Complete reports whether packets can be decided by t.
func (t *Table) Complete() bool { return t != nil && t.Version != 0 }

// HealthPath returns where endpoints of service answer whether they are well.
func (t *Table) HealthPath(service carawaycart.ServiceID) string {
	return t.policies[service].HealthPath
}

// Token returns the token of the lifetime, or zero if it is unknown.
func (t *Table) Token(key carawaycart.LifetimeKey) carawaycart.Token {
	if e := t.byKey[key]; e != nil {
		return e.token
	}
	return 0
}
