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

	PacketsForwarded metrics.Counter // packets forwarded to endpoints
	PacketsRelayed   metrics.Counter // packets relayed to peers
	FlowsRecorded    metrics.Counter // flows that this instance recorded as keeper
	RecordsLost      metrics.Counter // copies of records and notices of ended flows that did not arrive
	StoreCalls       metrics.Counter // calls to the platform's store
	ControlBytes     metrics.Counter // bytes sent to peers to maintain the fleet's state
	RequestBytes     metrics.Counter // bytes sent to peers on behalf of requests
	ProbesFailed     metrics.Counter // probes and updates that a peer did not answer
	ChangesApplied   metrics.Counter // changes of the change log, including the refused
	ChangesRefused   metrics.Counter // changes that are invalid and were skipped
	ChangesRecovered metrics.Counter // changes appended again that the store had lost
	LogMismatches    metrics.Counter // checks that did not find the change applied last in the change log
	MessagesRefused  metrics.Counter // malformed messages from peers
	Rejoins          metrics.Counter // pauses after which the instance rejoined the fleet

	RequestsAnswered  metrics.Counter // requests answered by an endpoint or with a stored answer
	RequestsNotRun    metrics.Counter // requests certainly not run, except misused and malformed ones
	RequestsUnknown   metrics.Counter // requests that may have run
	RequestsMisused   metrics.Counter // requests with the key of another request
	RequestsMalformed metrics.Counter // requests malformed, too large, cut off, or to unknown services
	RequestsRetried   metrics.Counter // retries sent

	// Endpoints that the instance is keeper of.
	EndpointsSilent metrics.Gauge // endpoints that stopped reporting load, which raises an alarm
	EndpointsCold   metrics.Gauge // endpoints in state cold or unknown
	EndpointsDead   metrics.Gauge // endpoints that refuse connections
	EndpointsKept   metrics.Gauge // endpoints in any state

	MembersReady metrics.Gauge // instances that can be keepers
	SlotsDirty   metrics.Gauge // slots whose base differs from the current endpoint
	Records      metrics.Gauge // flow records held
	Claims       metrics.Gauge // claims held
	Revision     metrics.Gauge // revision of the configuration

	dropped [carawaycart.CauseCount]metrics.Counter // packets by cause
	faults  [fabric.FaultCount]metrics.Counter      // datagrams by fault

	mu      sync.Mutex                 // guards the maps
	byCall  map[string]metrics.Counter // bytes by peer method
	byCause map[string]metrics.Counter // requests by cause
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
		ChangesRecovered:  counter("changesRecovered"),
		LogMismatches:     counter("logMismatches"),
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

// CountDrop counts a packet dropped for cause.
func (c *Counters) CountDrop(cause carawaycart.Cause) { c.dropped[cause].Inc(1) }

// DroppedCount returns how many packets were dropped for cause.
func (c *Counters) DroppedCount(cause carawaycart.Cause) int64 { return c.dropped[cause].Count() }

// CountFault counts a datagram that could not be decoded.
func (c *Counters) CountFault(f fabric.Fault) { c.faults[f].Inc(1) }

// requestCalls are the peer methods that are called on behalf of one request of a
// caller.
var requestCalls = map[string]bool{
	"Peer.Begin": true, "Peer.Finish": true, "Peer.Copy": true, "Peer.Acquire": true, "Peer.Release": true,
}

// CountSent counts bytes sent to a peer in a call of method.
func (c *Counters) CountSent(method string, bytes int) {
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

// CountRequestCause counts a request that the balancer answered itself, by cause.
func (c *Counters) CountRequestCause(cause string) {
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
