package edge

import (
	"fmt"
	"strings"
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
		Instance: s.ID, Zone: s.Zone, State: e.state(), Revision: carawaycart.Revision(view.Position.Revision), Alarms: e.alarms(&view, now),
	}
	for _, i := range view.Instances {
		status.Members = append(status.Members, operator.MemberStatus{ID: i.ID, Zone: i.Zone, State: "registered"})
	}
	for _, v := range e.router.Endpoints(now) {
		status.Endpoints = append(status.Endpoints, endpointStatus(&v, now))
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

// endpointStatus returns the status of the endpoint with view v at now.
func endpointStatus(v *steer.EndpointView, now time.Time) operator.EndpointStatus {
	status := operator.EndpointStatus{ID: v.Lifetime.ID, Service: v.Lifetime.Service, Zone: v.Lifetime.Zone, State: endpointState(v), Evidence: evidenceText(&v.Evidence, now)}
	switch {
	case v.Presence == directory.Ended:
		status.Mark = carawaycart.MarkEnded
	case v.Lifetime.Draining:
		status.Mark = carawaycart.MarkLeaving
	}
	return status
}

// evidenceText returns what speaks against an endpoint at now, or the empty string if
// nothing does.
func evidenceText(e *steer.Evidence, now time.Time) string {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	age := func(t time.Time) time.Duration { return now.Sub(t).Round(time.Millisecond) }
	if e.Timeouts > 0 {
		add("%d packets unanswered", e.Timeouts)
	}
	if e.FailedProbes > 0 {
		add("%d probes unanswered", e.FailedProbes)
		if !e.ProbeFailed.IsZero() {
			add("the last %v ago", age(e.ProbeFailed))
		}
	}
	if e.FailedProbes > 0 && !e.PeerReported.IsZero() {
		add("reported silent by a peer %v ago", age(e.PeerReported))
	}
	if e.FailedShare > 0 {
		add("%.0f%% of its requests late or lost, here and at peers", 100*e.FailedShare)
	}
	if len(parts) > 0 && !e.AnsweredAt.IsZero() {
		add("last answer %v ago", age(e.AnsweredAt))
	}
	return strings.Join(parts, ", ")
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
	explanation := operator.FlowExplanation{Revision: carawaycart.Revision(e.view.State().Position.Revision), DecidedBy: e.settings.Load().ID}
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
	if evidence := evidenceText(&flow.Endpoint.Evidence, now); evidence != "" {
		explanation.Rule += "; " + evidence
	}
	return explanation, nil
}

// ExplainKey returns an empty explanation, since the instance forwards packets
// without reading requests and has no record of keyed requests.
func (e *Instance) ExplainKey(key carawaycart.IdempotencyKey) operator.KeyExplanation {
	return operator.KeyExplanation{Key: key}
}
