// Package carawaycart holds the vocabulary of a layer-4 load balancer: the
// named identifiers and units, the configuration objects that operators edit,
// the values that instances exchange, and one small interface for each outside
// system (platform store, instance list, fabric, endpoints, clock).
//
// Decisions live below core and are pure: events and the time go in, actions
// come out. Adapters to the outside systems live below io. The instance that
// joins both is assembled in internal/balancer.
//
// A flow is one transport connection, identified by its FlowKey. Its service
// divides the space of flow fingerprints into slots, and each slot names two
// endpoints: the base, which owns the flows that nobody recorded, and the
// current one, which takes new flows. An instance that ranks highest for an
// endpoint by rendezvous hashing is that endpoint's keeper. First packets pass
// through the keeper; all other packets of a clean slot are forwarded without
// any state.
package carawaycart
