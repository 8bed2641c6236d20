package edge

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/core/steer"
	"carawaycart/io/operator"
)

// maxViewAge is the age of the view above which the status has an alarm. Changes
// must take effect within 3 s.
const maxViewAge = 3 * time.Second

// Status returns the state of the instance and its alarms, the registered
// instances, and the endpoints.
func (e *Instance) Status() operator.Status {
	now := e.clock.Now()
	view := e.view.State()
	s := e.settings.Load()
	status := operator.Status{
		Instance: s.ID, Zone: s.Zone, State: e.state(), Revision: carawaycart.Revision(view.Revision), Alarms: e.alarms(&view, now),
	}
	for _, i := range view.Instances {
		status.Members = append(status.Members, operator.MemberStatus{ID: i.ID, Zone: i.Zone, State: "registered"})
	}
	for _, v := range e.router.Endpoints(now) {
		status.Endpoints = append(status.Endpoints, endpointStatus(&v))
	}
	return status
}

func (e *Instance) state() string {
	switch {
	case e.stopping.Load():
		return carawaycart.MemberLeft.String()
	case e.Isolated():
		return "isolated"
	case e.Ready():
		return carawaycart.MemberReady.String()
	}
	return carawaycart.MemberJoining.String()
}

func (e *Instance) alarms(view *State, now time.Time) []string {
	if view.LastReadAt.IsZero() {
		return []string{"the store has not been read"}
	}
	var alarms []string
	if e.Isolated() {
		alarms = append(alarms, "neither an endpoint nor the store can be reached; other zones are sent the packets")
	}
	if age := now.Sub(view.LastReadAt); age > maxViewAge {
		alarms = append(alarms, fmt.Sprintf("the view is %v old", age.Round(time.Millisecond)))
	}
	for _, v := range e.router.Endpoints(now) {
		if v.Silent && v.Presence != directory.Ended {
			alarms = append(alarms, fmt.Sprintf("endpoint %s answers nothing", v.Lifetime.ID))
		}
	}
	return alarms
}

func endpointStatus(v *steer.EndpointView) operator.EndpointStatus {
	status := operator.EndpointStatus{ID: v.Lifetime.ID, Service: v.Lifetime.Service, Zone: v.Lifetime.Zone, State: endpointState(v)}
	switch {
	case v.Presence == directory.Ended:
		status.Mark = carawaycart.MarkEnded
	case v.Lifetime.Draining:
		status.Mark = carawaycart.MarkLeaving
	}
	return status
}

func endpointState(v *steer.EndpointView) string {
	switch {
	case v.Presence == directory.Lapsed:
		return "lapsed"
	case v.Silent:
		return carawaycart.EndpointSilent.String()
	case v.Failing:
		return "failing"
	case v.Avoided:
		return "avoided"
	case v.Cold:
		return carawaycart.EndpointCold.String()
	}
	return carawaycart.EndpointOpen.String()
}

// ExplainFlow returns the endpoint that packets of the flow key are sent to, and
// why. It returns a NotFound error if the flow's service address has no route.
func (e *Instance) ExplainFlow(key carawaycart.FlowKey) (operator.FlowExplanation, error) {
	now := e.clock.Now()
	flow := e.router.Flow(&key, now)
	explanation := operator.FlowExplanation{Revision: carawaycart.Revision(e.view.State().Revision), DecidedBy: e.settings.Load().ID}
	switch {
	case !flow.Routed:
		return explanation, errors.NotFoundf("route for %s", key.Service)
	case !flow.Tracked:
		explanation.Rule = "by the token of each packet; none of this flow passed here lately"
		return explanation, nil
	}
	lifetime := &flow.Endpoint.Lifetime
	explanation.Service, explanation.Current = lifetime.Service, lifetime.ID
	// The times of clock have no meaning but their differences.
	explanation.OpenedAt = time.Now().Add(flow.Opened.Sub(now))
	explanation.Rule = fmt.Sprintf("by token %d; endpoint %s, first packet sent to %d endpoints, waiting for an answer: %t",
		flow.Endpoint.Token, endpointState(&flow.Endpoint), flow.Tried, flow.Waiting)
	return explanation, nil
}

// ExplainKey returns an empty explanation, since the instance forwards packets
// without reading requests and has no record of keyed requests.
func (e *Instance) ExplainKey(key carawaycart.IdempotencyKey) operator.KeyExplanation {
	return operator.KeyExplanation{Key: key}
}
