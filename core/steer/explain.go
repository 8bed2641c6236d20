package steer

import (
	"cmp"
	"slices"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

// EndpointView is the state of one lifetime as an instance sees it. The fields from
// Cold on are as in placement.Candidate.
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
	Evidence    Evidence
}

// Evidence is what an instance has observed of the answers of a lifetime. The times are
// zero if there was no such event.
type Evidence struct {
	AnsweredAt   time.Time // last answer to a packet or probe
	Timeouts     int       // unanswered packets since then
	FailedProbes int       // unanswered probes since then
	ProbeFailed  time.Time // last unanswered probe
	PeerReported time.Time // last report of a peer that the endpoint is silent
	FailedShare  float64   // recent share of requests without an answer in time, here and at peers
}

// evidence returns what s holds at now.
func (s *state) evidence(now time.Time) Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Evidence{
		AnsweredAt: s.answeredAt, Timeouts: s.timeouts, FailedProbes: s.failedProbes, ProbeFailed: s.probeFailedAt,
		PeerReported: s.silenceReportedAt, FailedShare: s.outcomeCounts.failedShare(now),
	}
}

// Endpoints returns the state of all lifetimes at now, ordered by ID and StartedAt. It
// returns nil without a table.
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
		return cmp.Or(cmp.Compare(a.Lifetime.ID, b.Lifetime.ID), cmp.Compare(a.Lifetime.StartedAt, b.Lifetime.StartedAt))
	})
	return views
}

func (e *endpoint) view(zone carawaycart.ZoneID, now time.Time) EndpointView {
	c, _ := e.candidate(zone, now)
	return EndpointView{
		Lifetime: e.lifetime, Token: e.token, Presence: e.presence, Cold: c.Cold, Avoided: c.Avoided,
		Failing: c.Failing, Silent: c.Silent, Outstanding: c.Outstanding, Open: c.Open,
		Evidence: e.state.evidence(now),
	}
}

// FlowView is the state of one flow as an instance sees it. The zero value means
// that the instance has neither a route for the flow nor a record of it.
type FlowView struct {
	Routed   bool         // whether the configuration has a route for its service address
	Tracked  bool         // whether the instance has a record of the flow
	Endpoint EndpointView // endpoint of the record; this and the fields below are zero without one
	Opened   time.Time    // when the record of the flow was created
	Waiting  bool         // whether a request is unanswered
	Tried    int          // number of endpoints tried since the caller last sent the first packet
}

// Flow returns the state of the flow with the given key at now. It is zero without a
// table and for IPv6 addresses.
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
		v.Tracked, v.Opened, v.Waiting, v.Tried = true, f.openedAt, f.waiting, len(f.tried)+1
		v.Endpoint = f.endpoint.view(r.zone, now)
	}
	return v
}
