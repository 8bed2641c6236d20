package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/claim"
	"carawaycart/core/flow"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/io/operator"
)

// Explainer reports to operators what the instance does and why. It implements
// operator.Handler.
type Explainer struct {
	board       *board.Board
	memberTable *member.Table
	records     *flow.Records
	claims      *claim.Table
	counters    *counters.Counters
	clock       carawaycart.Clock
}

// NewExplainer returns an Explainer that reads the given state.
func NewExplainer(b *board.Board, t *member.Table, r *flow.Records, claimTable *claim.Table, c *counters.Counters, k carawaycart.Clock) *Explainer {
	return &Explainer{board: b, memberTable: t, records: r, claims: claimTable, counters: c, clock: k}
}

// Status returns the status of the instance and of the fleet as known to the
// instance. Endpoints and services are omitted if there is no configuration.
func (x *Explainer) Status() operator.Status {
	self := x.memberTable.Self()
	s := operator.Status{
		Instance: self.ID, Zone: self.Zone, State: self.State.String(), Revision: x.board.Revision(),
		Members: []operator.MemberStatus{}, Endpoints: []operator.EndpointStatus{}, Services: []operator.ServiceStatus{},
		Alarms: []string{},
	}
	for _, m := range x.memberTable.Members() {
		s.Members = append(s.Members, operator.MemberStatus{ID: m.ID, Zone: m.Zone, State: m.State.String(), Revision: m.Revision})
	}
	view := x.board.View()
	if view == nil {
		s.Alarms = append(s.Alarms, "no configuration")
		return s
	}
	for id, e := range view.Config.Endpoints {
		status := x.board.Entry(id).Status()
		s.Endpoints = append(s.Endpoints, operator.EndpointStatus{
			ID: id, Service: e.Service, Zone: e.Zone, Mark: e.Mark,
			State: status.State.String(), Guarded: status.Guarded, Keeper: status.Keeper,
		})
		if status.State == carawaycart.EndpointSilent || status.State == carawaycart.EndpointDead {
			s.Alarms = append(s.Alarms, fmt.Sprintf("endpoint %s is %s", id, status.State))
		}
	}
	for id, r := range view.Services() {
		s.Services = append(s.Services, operator.ServiceStatus{
			ID: id, Profile: r.Profile.Name, Slots: r.Latest().Len(), DirtySlots: r.Latest().DirtyCount(),
		})
	}
	if n := x.counters.ChangesRefused.Count(); n > 0 {
		s.Alarms = append(s.Alarms, fmt.Sprintf("%d entries of the change log were refused", n))
	}
	slices.SortFunc(s.Endpoints, func(a, b operator.EndpointStatus) int { return compare(a.ID, b.ID) })
	slices.SortFunc(s.Services, func(a, b operator.ServiceStatus) int { return compare(a.ID, b.ID) })
	slices.Sort(s.Alarms)
	return s
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ExplainFlow returns where packets of flow key are sent and why. The error is
// NotFound if there is no configuration, no service at the address, or no
// endpoint of the service.
func (x *Explainer) ExplainFlow(key carawaycart.FlowKey) (operator.FlowExplanation, error) {
	view := x.board.View()
	if view == nil {
		return operator.FlowExplanation{}, errors.NotFoundf("configuration")
	}
	route := view.Service(key.Service)
	if route == nil {
		return operator.FlowExplanation{}, errors.NotFoundf("service at %s", key.Service)
	}
	f := key.Fingerprint()
	index := route.Active.Index(f)
	slot := route.Active.Slot(index)
	if slot.Base == nil || slot.Current == nil {
		return operator.FlowExplanation{}, errors.NotFoundf("endpoint of service %s", route.Service.ID)
	}
	e := operator.FlowExplanation{
		Service: route.Service.ID, Slot: index, Revision: view.Config.Revision,
		Base: slot.Base.ID, Current: slot.Current.ID, Clean: slot.Clean(), DecidedBy: x.board.Self,
		Keeper: slot.Current.Holders(x.board.Members()).Keeper,
	}
	if r, ok := x.records.Get(f); ok {
		e.Record = r.Endpoint
		e.OpenedAt = time.Unix(0, r.OpenedUnixNano).UTC()
	}
	e.Rule = flowRule(&e, x.board)
	return e, nil
}

// flowRule states the rule that decides where packets of the flow of e are sent.
func flowRule(e *operator.FlowExplanation, b *board.Board) string {
	switch {
	case e.Clean:
		return "the slot is clean: every packet goes to its base endpoint"
	case e.Keeper != b.Self:
		return "the slot needs its keeper: packets are relayed to " + string(e.Keeper) + ", ask it"
	case e.Record != "":
		return "the keeper has a record of the flow: packets go to endpoint " + string(e.Record)
	}
	return "the keeper has no record of the flow: packets go to the slot's base endpoint"
}

var claimStateNames = map[carawaycart.ClaimState]string{
	carawaycart.ClaimPending: "pending", carawaycart.ClaimAnswered: "answered",
	carawaycart.ClaimNotRun: "notRun", carawaycart.ClaimUnknown: "unknown",
}

// ExplainKey returns the holders of key, and the state of its claim if this
// instance holds one.
func (x *Explainer) ExplainKey(key carawaycart.IdempotencyKey) operator.KeyExplanation {
	holders := x.board.Members().Holders(claim.Key(key))
	e := operator.KeyExplanation{Key: key, Keeper: holders.Keeper, Replicas: replicas(&holders)}
	if c, ok := x.claims.Get(key, x.clock.Now()); ok {
		e.Held = true
		e.State = claimStateNames[c.State]
		e.Entry = c.EntryInstance
	}
	return e
}
