package edge

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawaycart"
)

const (
	latencyReservoirSize = 512 // samples of the decision latency that are retained

	// latencyAlpha is the usual decay of an exponentially decaying reservoir,
	// which biases it to the last five minutes.
	latencyAlpha = 0.015

	latencySamplingInterval = 8 // packets per latency sample
)

// Counters holds the metrics of an instance. Its methods are safe for concurrent
// use.
type Counters struct {
	Registry metrics.Registry // holds all metrics below

	Forwarded    metrics.Counter   // packets forwarded, except resent first packets
	Placed       metrics.Counter   // first packets sent to an endpoint, including resent ones
	Hedged       metrics.Counter   // first packets resent to another endpoint because no answer came
	Queued       metrics.Counter   // first packets queued because of the load of their service
	QueuedLate   metrics.Counter   // of these, those that could not be answered within their target
	Dispatched   metrics.Counter   // queued first packets sent to an endpoint
	QueueExpired metrics.Counter   // queued first packets whose callers gave up
	FlowsAsked   metrics.Counter   // flows whose endpoint peers were asked for
	FlowsTold    metrics.Counter   // open flows that peers were told of
	Rejecting    metrics.Counter   // times an endpoint was found to reject requests
	Avoided      metrics.Counter   // times an endpoint became avoided
	Silenced     metrics.Counter   // times an endpoint became silent
	Probes       metrics.Counter   // probes sent
	PeerBytes    metrics.Counter   // bytes of calls and replies to peers, excluding datagrams
	Latency      metrics.Histogram // decision latency in nanoseconds

	dropped    [carawaycart.CauseCount]metrics.Counter // packets dropped
	reset      [carawaycart.CauseCount]metrics.Counter // packets answered with a reset
	faults     [carawaycart.FaultCount]metrics.Counter // datagrams that could not be decoded
	storeCalls map[[2]string]metrics.Counter           // by kind and outcome
	decisions  atomic.Uint32                           // packets decided
}

// storeCallKinds and storeOutcomes are the kinds and outcomes of calls that
// platform.Store reports. The kinds are reading items, granting a lease, renewing a
// lease, and writing items.
var (
	storeCallKinds = []string{"range", "lease", "keep", "txn"}
	storeOutcomes  = []string{"done", "failed"}
)

// NewCounters returns counters with value zero in a new registry.
func NewCounters() *Counters {
	r := metrics.NewRegistry()
	c := &Counters{
		Registry:     r,
		Forwarded:    metrics.NewRegisteredCounter("packetsForwarded", r),
		Placed:       metrics.NewRegisteredCounter("flowsPlaced", r),
		Avoided:      metrics.NewRegisteredCounter("endpointsAvoided", r),
		Hedged:       metrics.NewRegisteredCounter("firstPacketsHedged", r),
		Silenced:     metrics.NewRegisteredCounter("endpointsSilent", r),
		Probes:       metrics.NewRegisteredCounter("probes", r),
		PeerBytes:    metrics.NewRegisteredCounter("peerBytes.news", r),
		Latency:      metrics.NewRegisteredHistogram("decisionNanos", r, metrics.NewExpDecaySample(latencyReservoirSize, latencyAlpha)),
		Queued:       metrics.NewRegisteredCounter("waiting.queued", r),
		QueuedLate:   metrics.NewRegisteredCounter("waiting.late", r),
		Dispatched:   metrics.NewRegisteredCounter("waiting.dispatched", r),
		QueueExpired: metrics.NewRegisteredCounter("waiting.expired", r),
		Rejecting:    metrics.NewRegisteredCounter("rejecting", r),
		FlowsAsked:   metrics.NewRegisteredCounter("flowsAsked", r),
		FlowsTold:    metrics.NewRegisteredCounter("flowsTold", r),
		storeCalls:   make(map[[2]string]metrics.Counter),
	}
	for i := range c.dropped {
		c.dropped[i] = metrics.NewRegisteredCounter("packetsDropped."+carawaycart.Cause(i).String(), r)
		c.reset[i] = metrics.NewRegisteredCounter("flowsReset."+carawaycart.Cause(i).String(), r)
	}
	for i := range c.faults {
		c.faults[i] = metrics.NewRegisteredCounter("datagramFaults."+carawaycart.Fault(i).String(), r)
	}
	for _, call := range storeCallKinds {
		for _, outcome := range storeOutcomes {
			c.storeCalls[[2]string{call, outcome}] = metrics.NewRegisteredCounter("storeCalls."+call+"."+outcome, r)
		}
	}
	return c
}

// CountReset counts a flow that was reset because of c without a packet of its caller.
func (c *Counters) CountReset(cause carawaycart.Cause) { c.reset[cause].Inc(1) }

// RegisterViewGauges registers gauges for the revision and the age of the view, and for
// the items that could not be decoded. The functions return them when the metrics are
// read, the age in milliseconds.
func (c *Counters) RegisterViewGauges(revision, ageMillis, itemsRefused func() int64) {
	metrics.NewRegisteredFunctionalGauge("itemsRefused", c.Registry, itemsRefused)
	metrics.NewRegisteredFunctionalGauge("storeRevision", c.Registry, revision)
	metrics.NewRegisteredFunctionalGauge("viewAgeMillis", c.Registry, ageMillis)
}

// CountFault counts a datagram that could not be decoded.
func (c *Counters) CountFault(f carawaycart.Fault) { c.faults[f].Inc(1) }

// CountStoreCall counts a call to the store, where call is its kind. It ignores
// unknown kinds and outcomes.
func (c *Counters) CountStoreCall(call, outcome string) {
	if m := c.storeCalls[[2]string{call, outcome}]; m != nil {
		m.Inc(1)
	}
}

// CountSent counts bytes sent to a peer, for all methods together. It implements
// peer.Meter.
func (c *Counters) CountSent(_ string, bytes int) { c.PeerBytes.Inc(int64(bytes)) }

// CountDecision counts decision d and samples took, the time that it took.
func (c *Counters) CountDecision(d *carawaycart.Decision, took time.Duration) {
	switch d.Verdict {
	case carawaycart.VerdictForward:
		c.Forwarded.Inc(1)
	case carawaycart.VerdictReset:
		c.reset[d.Cause].Inc(1)
	case carawaycart.VerdictQueue, carawaycart.VerdictAsk:
	default:
		c.dropped[d.Cause].Inc(1)
	}
	if c.decisions.Add(1)%latencySamplingInterval == 0 {
		c.Latency.Update(took.Nanoseconds())
	}
}
