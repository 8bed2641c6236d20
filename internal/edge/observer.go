package edge

import (
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
)

// observer logs and counts what a router decides. It implements steer.Observer.
type observer struct {
	counters *Counters
	log      *eventlog.Log
	prober   *Prober
	courier  *Courier
}

// Placed logs which endpoint takes a flow.
func (o *observer) Placed(key *carawaycart.FlowKey, e carawaycart.EndpointID, c *steer.Candidate, how steer.Placing) {
	o.counters.Placed.Inc(1)
	if how.Hedge > 0 {
		o.counters.Hedged.Inc(1)
	}
	o.log.Event("placed").Flow(key).Int("copy", int64(how.Copy)).Int("hedge", int64(how.Hedge)).Text("endpoint", string(e)).
		Int("outstanding", int64(c.Outstanding)).Bool("avoided", c.Avoided).Bool("failing", c.Failing).Bool("cold", c.Cold).
		Int("candidates", int64(how.Candidates)).Int("revision", int64(how.Revision)).End()
}

// Refused logs why a packet was not forwarded.
func (o *observer) Refused(p *carawaycart.Packet, c carawaycart.Cause, reset bool, r carawaycart.StoreRevision) {
	outcome := "dropped"
	if reset {
		outcome = "reset"
	}
	o.log.Event("refused").Flow(&p.Key).Text("cause", c.String()).Text("outcome", outcome).
		Int("token", int64(p.Token)).Int("revision", int64(r)).End()
}

// Avoided logs that an endpoint left something unanswered.
func (o *observer) Avoided(e carawaycart.EndpointID, what string, period time.Duration) {
	o.counters.Avoided.Inc(1)
	o.log.Event("avoided").Text("endpoint", string(e)).Text("unanswered", what).Millis("forMs", period).End()
}

// Recovered logs that an avoided endpoint has answered.
func (o *observer) Recovered(e carawaycart.EndpointID) {
	o.log.Event("recovered").Text("endpoint", string(e)).End()
}

// Doubted has the endpoint probed.
func (o *observer) Doubted(l *carawaycart.Lifetime) { o.prober.Probe(l) }

// Silenced logs that an endpoint answers nothing, or does again.
func (o *observer) Silenced(e carawaycart.EndpointID, silent bool) {
	o.counters.Silenced.Inc(one(silent))
	o.log.Event("silent").Text("endpoint", string(e)).Bool("silent", silent).End()
}

// Overloaded logs how far new flows of a service are refused.
func (o *observer) Overloaded(v steer.Overload) {
	o.log.Event("overload").Text("service", string(v.Service)).Int("slowPercent", percent(v.Slow)).
		Int("refusedPercent", percent(v.Level)).Int("urgentPercent", percent(v.Urgent)).End()
}

// Failing logs that endpoints left requests unanswered, and tells the zone.
func (o *observer) Failing(outcomes []steer.Outcomes) {
	for _, f := range outcomes {
		o.log.Event("failing").Int("token", int64(f.Token)).Int("failed", int64(f.Failed)).Int("answered", int64(f.Answered)).End()
	}
	o.courier.TellOutcomes(outcomes)
}

func percent(share float64) int64 { return int64(100 * share) }

func one(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
