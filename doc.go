// Package carawaycart defines the shared types of a layer-4 load balancer: the
// identifiers and units, the configuration objects that operators edit, the
// values that instances exchange, and one small interface for each external
// system (platform store, instance list, fabric, endpoints, clock).
//
// The packages below core hold the decision logic. They are pure: they map events
// and the time to actions. The packages below io adapt the external systems.
// Package internal/balancer assembles both into an instance.
//
// A flow is one transport connection, identified by its FlowKey; its caller is
// the client that opened it. Each service divides the space of flow fingerprints
// into slots, and each slot has two endpoints: the base, which owns the flows
// that have no record, and the current endpoint, which receives new flows. The
// instance that ranks highest for an endpoint by rendezvous hashing is that
// endpoint's keeper. First packets of flows pass through the keeper. A slot is
// clean if its base and current endpoints are the same and not guarded; all other
// packets of a clean slot are forwarded without any state.
package carawaycart
