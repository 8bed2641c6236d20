// Package carawaycart defines the shared types of a layer-4 load balancer: the
// identifiers and units, the configuration objects that operators edit, the
// values that instances exchange, and small interfaces for the external systems
// (platform store, instance list, endpoints, clock).
//
// The packages below core hold the decision logic. They are pure: they map events
// and the time to actions. The packages below io adapt the external systems.
// Packages internal/balancer and internal/edge assemble both into an instance.
//
// The balancer runs as several instances, which together are the fleet. The
// platform is the environment that they run in. It provides a key-value store and
// the fabric, the network that delivers the packets of callers to the instances. A
// flow is one transport connection, identified by its FlowKey; its caller is the
// client that opened it. The fabric encapsulates packets in one of two formats,
// and the format determines how the endpoint that owns a flow is found.
//
// If the packets carry a Token, the token of a packet identifies the Lifetime of
// the endpoint that owns its flow.
//
// If the packets are encapsulated in Geneve, each service divides the space of
// flow fingerprints into slots, and each slot has two endpoints: the base, which
// owns the flows that have no record, and the current endpoint, which receives new
// flows. The instance that ranks highest for an endpoint by rendezvous hashing is
// that endpoint's keeper. The first packet of a flow passes through the keeper of
// the current endpoint of its slot. A slot is clean if its base and current
// endpoints are the same and not guarded (see EndpointStatus); all other packets of
// a clean slot are forwarded without any state.
package carawaycart
