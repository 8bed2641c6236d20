package steer

import (
	"cmp"
	"slices"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

// EndpointView is the state of one lifetime as an instance sees it.
type EndpointView struct {
	Lifetime    carawaycart.Lifetime
	Token       carawaycart.Token
	Presence    directory.Presence
	Cold        bool
	Avoided     bool
	Failing     bool
	Silent      bool
	Outstanding int
	Open        int
}

// Endpoints returns the state of all lifetimes at now, ordered by ID and time of
// birth. It returns nil without a table.
func (r *Router) Endpoints(now time.Time) []EndpointView {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	views := make([]EndpointView, 0, len(t.byKey))
	for _, e := range t.byKey {
		views = append(views, e.view(r.zone, now))
	}
	slices.SortFunc(views, func(a, b EndpointView) int {
		return cmp.Or(cmp.Compare(a.Lifetime.ID, b.Lifetime.ID), cmp.Compare(a.Lifetime.Born, b.Lifetime.Born))
	})
	return views
}

func (e *endpoint) view(zone carawaycart.ZoneID, now time.Time) EndpointView {
	c := e.candidate(zone, now)
	return EndpointView{
		Lifetime: e.lifetime, Token: e.token, Presence: e.presence, Cold: c.Cold, Avoided: c.Avoided,
		Failing: c.Failing, Silent: c.Silent, Outstanding: c.Outstanding, Open: c.Open,
	}
}

// FlowView is the state of one flow as an instance sees it. The zero value means
// that neither a route nor a packet of the flow is known.
type FlowView struct {
	Routed   bool // whether the configuration has a route for its service address
	Seen     bool // whether the instance has a record of the flow
	Endpoint EndpointView
	Opened   time.Time // when the record of the flow was created
	Waiting  bool      // whether a request is unanswered
	Tried    int       // number of endpoints that its first packet was sent to
}

// Flow returns the state of the flow with the given key at now.
func (r *Router) Flow(key *carawaycart.FlowKey, now time.Time) FlowView {
	t := r.table.Load()
	if t == nil || !key.Caller.Addr().Is4() || !key.Service.Addr().Is4() {
		return FlowView{}
	}
	id := newFlowID(key)
	v := FlowView{Routed: t.routes[id.service] != nil}
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	if f := s.flows[id]; f != nil {
		v.Seen, v.Opened, v.Waiting, v.Tried = true, f.openedAt, f.waiting, len(f.tried)+1
		v.Endpoint = f.endpoint.view(r.zone, now)
	}
	return v
}
