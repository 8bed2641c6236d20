package edge

import (
	"time"

	"carawaycart"
	"carawaycart/core/admission"
	"carawaycart/core/placement"
	"carawaycart/core/queue"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
)

// observer logs and counts the decisions of a router, and starts the probes and
// broadcasts that they require. It implements steer.Observer.
type observer struct {
	counters     *Counters
	log          *eventlog.Log
	prober       *Prober
	disseminator *Disseminator
	sender       *queueSender
}

// Placed logs the endpoint that a first packet is sent to.
func (o *observer) Placed(key *carawaycart.FlowKey, e carawaycart.EndpointID, c *placement.Candidate, p steer.Placement) {
	o.counters.Placed.Inc(1)
	if p.EndpointsTried > 0 {
		o.counters.Hedged.Inc(1)
	}
	o.log.Event("placed").Flow(key).Int("copy", int64(p.Retransmissions)).Int("hedge", int64(p.EndpointsTried)).Text("endpoint", string(e)).
		Int("outstanding", int64(c.Outstanding)).Bool("avoided", c.Avoided).Bool("failing", c.Failing).Bool("cold", c.Cold).
		Int("candidates", int64(p.Candidates)).Int("revision", int64(p.Revision)).End()
}

// Refused logs why a packet was not forwarded.
func (o *observer) Refused(p *carawaycart.Packet, c carawaycart.Cause, reset bool, r carawaycart.StoreRevision) {
	outcome := "dropped"
	if reset {
		outcome = "reset"
	}
	o.log.Event("refused").Flow(&p.Key).Text("packet", kindName(p)).Int("copy", int64(p.Retransmissions)).Text("cause", c.String()).
		Text("outcome", outcome).Int("token", int64(p.Token)).Int("revision", int64(r)).End()
}

// kindName returns the name in log lines of what p does in its flow.
func kindName(p *carawaycart.Packet) string {
	switch {
	case p.Kind == carawaycart.PacketFirst:
		return "first"
	case p.Kind == carawaycart.PacketLast:
		return "last"
	case p.PayloadBytes > 0:
		return "data"
	}
	return "ack"
}

// Inherited logs that a packet of a flow is forwarded to a later lifetime of its endpoint.
func (o *observer) Inherited(p *carawaycart.Packet, before, after *carawaycart.Lifetime) {
	o.log.Event("inherited").Flow(&p.Key).Text("endpoint", string(after.ID)).Int("token", int64(p.Token)).
		Int("bornBefore", int64(before.StartedAt)).Int("born", int64(after.StartedAt)).End()
}

// OtherToken logs that a packet carries the token of another endpoint than that of its flow.
func (o *observer) OtherToken(p *carawaycart.Packet, recorded, to carawaycart.EndpointID) {
	o.log.Event("otherToken").Flow(&p.Key).Text("endpoint", string(to)).Text("recorded", string(recorded)).Int("token", int64(p.Token)).End()
}

// Avoided logs that an endpoint is avoided for period because it left a packet
// unanswered: a first packet if what is "first", data if it is "data".
func (o *observer) Avoided(e carawaycart.EndpointID, what string, period time.Duration) {
	o.counters.Avoided.Inc(1)
	o.log.Event("avoided").Text("endpoint", string(e)).Text("unanswered", what).Millis("forMs", period).End()
}

// ContestedFlowOpened tells peers of an open flow.
func (o *observer) ContestedFlowOpened(f *steer.OpenFlow) {
	o.counters.FlowsTold.Inc(1)
	o.disseminator.flows.add(f)
}

// Recovered logs that an avoided endpoint has answered again.
func (o *observer) Recovered(e carawaycart.EndpointID) {
	o.log.Event("recovered").Text("endpoint", string(e)).End()
}

// ProbeRequested starts probing an endpoint.
func (o *observer) ProbeRequested(l *carawaycart.Lifetime) { o.prober.Probe(l) }

// SilenceChanged logs that an endpoint has become silent, or has answered again.
func (o *observer) SilenceChanged(e carawaycart.EndpointID, silent bool) {
	o.counters.Silenced.Inc(boolToInt(silent))
	o.log.Event("silent").Text("endpoint", string(e)).Bool("silent", silent).End()
}

// Overloaded logs the share of new flows of a service that are refused.
func (o *observer) Overloaded(v admission.Overload) {
	o.log.Event("overload").Text("service", string(v.Service)).Int("slowPercent", percent(v.SlowShare)).
		Int("refusedPercent", percent(v.RefusedShare)).Int("urgentPercent", percent(v.UrgentRefusedShare)).End()
}

// LoadChanged logs the load of a service whose permits are shared out.
func (o *observer) LoadChanged(s *steer.LoadState) {
	o.log.Event("share").Text("service", string(s.Service)).Bool("saturated", s.Saturated).Int("load", int64(s.Load)).Int("slots", int64(s.Slots)).
		Int("permits", int64(s.Permits)).Int("members", int64(s.Members)).Int("zones", int64(s.Zones)).Int("queued", int64(s.Queued)).End()
}

// Queued logs that a first packet is queued.
func (o *observer) Queued(e *queue.Entry, v queue.Verdict, permits, length int) {
	o.counters.Queued.Inc(1)
	if v == queue.QueuedLate {
		o.counters.QueuedLate.Inc(1)
	}
	o.log.Event("queued").Flow(&e.Key).Int("priority", int64(e.Priority)).Bool("late", v == queue.QueuedLate).Millis("workMs", e.Work).
		Int("permits", int64(permits)).Int("queued", int64(length)).End()
}

// Dispatched logs that a queued first packet is sent to an endpoint.
func (o *observer) Dispatched(e *queue.Entry, permits, length int, now time.Time) {
	o.counters.Dispatched.Inc(1)
	o.log.Event("dispatched").Flow(&e.Key).Int("priority", int64(e.Priority)).Millis("slackMs", e.Deadline.Sub(now)).
		Int("permits", int64(permits)).Int("queued", int64(length)).End()
}

// QueueDropped logs that a queued first packet is discarded. Without a cause, a copy was placed.
func (o *observer) QueueDropped(e *queue.Entry, c carawaycart.Cause) {
	if c == carawaycart.CauseOverload {
		o.counters.QueueExpired.Inc(1)
	}
	o.log.Event("queueExpired").Flow(&e.Key).Int("priority", int64(e.Priority)).Text("cause", c.String()).End()
}

// CapacityFreed lets the sender of queued first packets dispatch the next one.
func (o *observer) CapacityFreed() { o.sender.wakeUp() }

// RequestsFailed logs the counts of failed and answered requests of endpoints that left
// requests unanswered, and sends the counts to the peers of the zone, with those of short
// responses.
func (o *observer) RequestsFailed(outcomes []steer.Outcomes) {
	for _, f := range outcomes {
		if f.Failed == 0 {
			continue
		}
		o.log.Event("failing").Int("token", int64(f.Token)).Int("failed", int64(f.Failed)).Int("answered", int64(f.Answered)).End()
	}
	o.disseminator.BroadcastOutcomes(outcomes)
}

// RejectingChanged logs that an endpoint is found to reject more requests than the others of
// its service, or is tried again.
func (o *observer) RejectingChanged(e carawaycart.EndpointID, rejecting bool) {
	o.counters.Rejecting.Inc(boolToInt(rejecting))
	o.log.Event("rejecting").Text("endpoint", string(e)).Bool("rejecting", rejecting).End()
}

func percent(share float64) int64 { return int64(100 * share) }

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
