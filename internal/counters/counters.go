package counters

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"carawaycart"
	"carawaycart/io/fabric"
)

// Counters holds the metrics of one instance. It is safe for concurrent use.
type Counters struct {
	Registry metrics.Registry

	PacketsForwarded metrics.Counter
	PacketsRelayed   metrics.Counter
	FlowsRecorded    metrics.Counter
	RecordsLost      metrics.Counter // copies that a replica did not receive
	StoreCalls       metrics.Counter
	ControlBytes     metrics.Counter // sent to peers to maintain the fleet's state
	RequestBytes     metrics.Counter // sent to peers on behalf of requests
	ProbesFailed     metrics.Counter
	ChangesApplied   metrics.Counter
	ChangesRefused   metrics.Counter
	MessagesRefused  metrics.Counter // malformed messages from peers
	Rejoins          metrics.Counter // pauses after which the instance rejoined the fleet

	RequestsAnswered  metrics.Counter
	RequestsNotRun    metrics.Counter
	RequestsUnknown   metrics.Counter
	RequestsMisused   metrics.Counter
	RequestsMalformed metrics.Counter
	RequestsRetried   metrics.Counter

	EndpointsSilent metrics.Gauge // alarm: endpoints of this keeper that stopped reporting
	EndpointsCold   metrics.Gauge
	EndpointsDead   metrics.Gauge
	EndpointsKept   metrics.Gauge
	MembersReady    metrics.Gauge
	SlotsDirty      metrics.Gauge
	Records         metrics.Gauge
	Claims          metrics.Gauge
	Revision        metrics.Gauge

	dropped [carawaycart.CauseCount]metrics.Counter
	faults  [fabric.FaultCount]metrics.Counter

	mu      sync.Mutex
	byCall  map[string]metrics.Counter
	byCause map[string]metrics.Counter
}

// New returns Counters at zero with a registry of their own.
func New() *Counters {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.NewRegisteredGauge(name, r) }
	c := &Counters{
		Registry:          r,
		PacketsForwarded:  counter("packetsForwarded"),
		PacketsRelayed:    counter("packetsRelayed"),
		FlowsRecorded:     counter("flowsRecorded"),
		RecordsLost:       counter("recordsLost"),
		StoreCalls:        counter("storeCalls"),
		ControlBytes:      counter("controlBytes"),
		RequestBytes:      counter("requestBytes"),
		ProbesFailed:      counter("probesFailed"),
		ChangesApplied:    counter("changesApplied"),
		ChangesRefused:    counter("changesRefused"),
		MessagesRefused:   counter("messagesRefused"),
		Rejoins:           counter("rejoins"),
		RequestsAnswered:  counter("requestsAnswered"),
		RequestsNotRun:    counter("requestsNotRun"),
		RequestsUnknown:   counter("requestsUnknown"),
		RequestsMisused:   counter("requestsMisused"),
		RequestsMalformed: counter("requestsMalformed"),
		RequestsRetried:   counter("requestsRetried"),
		EndpointsSilent:   gauge("endpointsSilent"),
		EndpointsCold:     gauge("endpointsCold"),
		EndpointsDead:     gauge("endpointsDead"),
		EndpointsKept:     gauge("endpointsKept"),
		MembersReady:      gauge("membersReady"),
		SlotsDirty:        gauge("slotsDirty"),
		Records:           gauge("records"),
		Claims:            gauge("claims"),
		Revision:          gauge("revision"),
		byCall:            make(map[string]metrics.Counter),
		byCause:           make(map[string]metrics.Counter),
	}
	for i := range c.dropped {
		c.dropped[i] = counter("packetsDropped." + carawaycart.Cause(i).String())
	}
	for i := range c.faults {
		c.faults[i] = counter("packetsMalformed." + fabric.Fault(i).String())
	}
	return c
}

// Dropped counts a packet dropped for cause.
func (c *Counters) Dropped(cause carawaycart.Cause) { c.dropped[cause].Inc(1) }

// DroppedCount returns how many packets were dropped for cause.
func (c *Counters) DroppedCount(cause carawaycart.Cause) int64 { return c.dropped[cause].Count() }

// Fault counts a datagram that could not be decoded.
func (c *Counters) Fault(f fabric.Fault) { c.faults[f].Inc(1) }

// requestCalls are the peer methods that are called for single requests.
var requestCalls = map[string]bool{
	"Peer.Begin": true, "Peer.Finish": true, "Peer.Copy": true, "Peer.Acquire": true, "Peer.Release": true,
}

// Sent counts bytes sent to a peer in a call of method.
func (c *Counters) Sent(method string, bytes int) {
	if requestCalls[method] {
		c.RequestBytes.Inc(int64(bytes))
	} else {
		c.ControlBytes.Inc(int64(bytes))
	}
	c.peerBytes(method).Inc(int64(bytes))
}

func (c *Counters) peerBytes(method string) metrics.Counter {
	return c.registeredCounter(c.byCall, "peerBytes.", method)
}

// RequestCause counts a request that the balancer answered itself, by cause.
func (c *Counters) RequestCause(cause string) {
	c.registeredCounter(c.byCause, "requestsByCause.", cause).Inc(1)
}

// registeredCounter returns the counter of name in counters. At first use it
// registers the counter as prefix followed by name.
func (c *Counters) registeredCounter(counters map[string]metrics.Counter, prefix, name string) metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := counters[name]
	if m == nil {
		m = metrics.NewRegisteredCounter(prefix+name, c.Registry)
		counters[name] = m
	}
	return m
}

// BytesByCall returns the bytes sent to peers by method.
func (c *Counters) BytesByCall() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := make(map[string]int64, len(c.byCall))
	for method, m := range c.byCall {
		calls[method] = m.Count()
	}
	return calls
}
