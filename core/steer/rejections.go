package steer

import (
	"time"

	"carawaycart"
	"carawaycart/core/rejection"
)

// recordResponse records a response of the given length on f at now. It does nothing if first
// packets of the service are not queued, or the route of f is unknown.
func (r *Router) recordResponse(f *flow, bytes int, now time.Time) {
	if f.objective == nil || f.objective.load == nil {
		return
	}
	e := f.endpoint
	if f.objective.load.rejections.Record(e.lifetime.ID, f.objective.route, bytes, now) {
		e.state.recordShort()
		r.scheduleReport(e, shortReportPeriod)
	}
}

// evaluateRejections finds the endpoints of l that reject more requests than the others at now,
// and notifies the observer of changes. The instance is self.
func (r *Router) evaluateRejections(l *serviceLoad, self carawaycart.InstanceID, endpoints []*endpoint, now time.Time) {
	peers := rejection.Peers{Count: 1}
	for _, m := range r.reports.Members(l.service, now) {
		peers.Count += boolToInt(m.ID != self)
		peers.Rank += boolToInt(m.ID < self)
	}
	for _, c := range l.rejections.Evaluate(peers, now) {
		r.observer.RejectingChanged(c.Endpoint, c.Rejecting)
	}
	for _, e := range endpoints {
		e.state.setRejecting(l.rejections.Rejecting(e.lifetime.ID), now)
	}
}

// withoutRejecting returns those of endpoints that are not silent at now and do not reject more
// requests than others, or those that are not silent if all of them reject.
func withoutRejecting(endpoints []*endpoint, now time.Time) []*endpoint {
	var answering, accepting []*endpoint
	for _, e := range endpoints {
		if silent, _ := e.state.isSilent(now); silent {
			continue
		}
		answering = append(answering, e)
		if !e.state.isRejecting(now) {
			accepting = append(accepting, e)
		}
	}
	if len(accepting) == 0 {
		return answering
	}
	return accepting
}
