package edge

import (
	"time"

	"carawaycart"
	"carawaycart/internal/eventlog"
)

// observer logs and counts what a router decides. It implements steer.Observer.
type observer struct {
	counters *Counters
	log      *eventlog.Log
}

// Placed logs which endpoint takes a flow.
func (o *observer) Placed(p *carawaycart.Packet, e carawaycart.EndpointID, outstanding, candidates int, r carawaycart.StoreRevision) {
	o.counters.Placed.Inc(1)
	o.log.Event("placed").Flow(&p.Key).Int("copy", int64(p.Copy)).Text("endpoint", string(e)).
		Int("outstanding", int64(outstanding)).Int("candidates", int64(candidates)).Int("revision", int64(r)).End()
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
