package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"carawaycart"
)

const (
	latencySamples = 512   // held of the decision latency
	latencyAlpha   = 0.015 // the usual bias to the last five minutes of an exponentially decaying sample
	latencyEvery   = 8     // packets for one sample
)

// Counters are the metrics of an instance; they are safe for concurrent use.
type Counters struct {
	Registry metrics.Registry

	Forwarded metrics.Counter
	Placed    metrics.Counter
	Hedged    metrics.Counter
	Avoided   metrics.Counter
	Silenced  metrics.Counter
	Probes    metrics.Counter
	NewsBytes metrics.Counter
	Latency   metrics.Histogram

	dropped    [carawaycart.CauseCount]metrics.Counter
	reset      [carawaycart.CauseCount]metrics.Counter
	faults     [carawaycart.FaultCount]metrics.Counter
	storeCalls map[[2]string]metrics.Counter
	packets    uint32 // decided; written by one thread
}

// storeCallNames and storeOutcomes are what platform.Store reports.
var (
	storeCallNames = []string{"range", "lease", "keep", "txn"}
	storeOutcomes  = []string{"done", "failed"}
)

// NewCounters returns counters at zero in a registry of their own.
func NewCounters() *Counters {
	r := metrics.NewRegistry()
	c := &Counters{
		Registry:   r,
		Forwarded:  metrics.NewRegisteredCounter("packetsForwarded", r),
		Placed:     metrics.NewRegisteredCounter("flowsPlaced", r),
		Avoided:    metrics.NewRegisteredCounter("endpointsAvoided", r),
		Hedged:     metrics.NewRegisteredCounter("firstPacketsHedged", r),
		Silenced:   metrics.NewRegisteredCounter("endpointsSilent", r),
		Probes:     metrics.NewRegisteredCounter("probes", r),
		NewsBytes:  metrics.NewRegisteredCounter("peerBytes.news", r),
		Latency:    metrics.NewRegisteredHistogram("decisionNanos", r, metrics.NewExpDecaySample(latencySamples, latencyAlpha)),
		storeCalls: make(map[[2]string]metrics.Counter),
	}
	for i := range c.dropped {
		c.dropped[i] = metrics.NewRegisteredCounter("packetsDropped."+carawaycart.Cause(i).String(), r)
		c.reset[i] = metrics.NewRegisteredCounter("flowsReset."+carawaycart.Cause(i).String(), r)
	}
	for i := range c.faults {
		c.faults[i] = metrics.NewRegisteredCounter("datagramFaults."+carawaycart.Fault(i).String(), r)
	}
	for _, call := range storeCallNames {
		for _, outcome := range storeOutcomes {
			c.storeCalls[[2]string{call, outcome}] = metrics.NewRegisteredCounter("storeCalls."+call+"."+outcome, r)
		}
	}
	return c
}

// ShowView makes the revision and the age of the view metrics.
func (c *Counters) ShowView(revision, ageMillis func() int64) {
	metrics.NewRegisteredFunctionalGauge("storeRevision", c.Registry, revision)
	metrics.NewRegisteredFunctionalGauge("viewAgeMillis", c.Registry, ageMillis)
}

// Fault counts a datagram that could not be decoded.
func (c *Counters) Fault(f carawaycart.Fault) { c.faults[f].Inc(1) }

// StoreCall counts a call of the store.
func (c *Counters) StoreCall(call, outcome string) {
	if m := c.storeCalls[[2]string{call, outcome}]; m != nil {
		m.Inc(1)
	}
}

// Sent counts bytes sent to a peer. It implements peer.Meter.
func (c *Counters) Sent(_ string, bytes int) { c.NewsBytes.Inc(int64(bytes)) }

// Decided counts a decision that took the given time.
func (c *Counters) Decided(d *carawaycart.Decision, took time.Duration) {
	switch d.Verdict {
	case carawaycart.VerdictForward:
		c.Forwarded.Inc(1)
	case carawaycart.VerdictReset:
		c.reset[d.Cause].Inc(1)
	default:
		c.dropped[d.Cause].Inc(1)
	}
	if c.packets++; c.packets%latencyEvery == 0 {
		c.Latency.Update(took.Nanoseconds())
	}
}
