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

// staleLimit is the age of the view above which operators are alarmed: a change
// must be in force within 3 s.
const staleLimit = 3 * time.Second

// Status returns the status of the instance.
func (e *Edge) Status() operator.Status {
	now := e.clock.Now()
	view := e.view.State()
	s := e.settings.Load()
	status := operator.Status{
		Instance: s.ID, Zone: s.Zone, State: e.state(), Revision: carawaycart.Revision(view.At), Alarms: e.alarms(&view, now),
	}
	for _, i := range view.Instances {
		status.Members = append(status.Members, operator.MemberStatus{ID: i.ID, Zone: i.Zone, State: "registered"})
	}
	for _, v := range e.router.Endpoints(now) {
		status.Endpoints = append(status.Endpoints, endpointStatus(&v))
	}
	return status
}

func (e *Edge) state() string {
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

func (e *Edge) alarms(view *State, now time.Time) []string {
	if view.Confirmed.IsZero() {
		return []string{"the store has not been read"}
	}
	var alarms []string
	if e.Isolated() {
		alarms = append(alarms, "neither an endpoint nor the store can be reached; other zones are sent the packets")
	}
	if age := now.Sub(view.Confirmed); age > staleLimit {
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
	status := operator.EndpointStatus{ID: v.Lifetime.ID, Service: v.Lifetime.Service, Zone: v.Lifetime.Zone, State: stateOf(v)}
	switch {
	case v.Presence == directory.Ended:
		status.Mark = carawaycart.MarkEnded
	case v.Lifetime.Draining:
		status.Mark = carawaycart.MarkLeaving
	}
	return status
}

func stateOf(v *steer.EndpointView) string {
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

// ExplainFlow returns where packets of key go; the error is NotFound.
func (e *Edge) ExplainFlow(key carawaycart.FlowKey) (operator.FlowExplanation, error) {
	now := e.clock.Now()
	f := e.router.Flow(&key, now)
	x := operator.FlowExplanation{Revision: carawaycart.Revision(e.view.State().At), DecidedBy: e.settings.Load().ID}
	switch {
	case !f.Routed:
		return x, errors.NotFoundf("route for %s", key.Service)
	case !f.Seen:
		x.Rule = "by the token of each packet; none of this flow passed here lately"
		return x, nil
	}
	l := &f.Endpoint.Lifetime
	x.Service, x.Current = l.Service, l.ID
	x.OpenedAt = time.Now().Add(f.Opened.Sub(now))
	x.Rule = fmt.Sprintf("by token %d; endpoint %s, first packet sent to %d endpoints, waiting for an answer: %t",
		f.Endpoint.Token, stateOf(&f.Endpoint), f.Tried, f.Waiting)
	return x, nil
}

// ExplainKey returns that nothing is known: requests pass unread.
func (e *Edge) ExplainKey(key carawaycart.IdempotencyKey) operator.KeyExplanation {
	return operator.KeyExplanation{Key: key}
}
