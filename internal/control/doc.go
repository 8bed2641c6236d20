// Package control contains the controllers of one instance. The controllers share
// state through the blackboard of package board. If a controller has goroutines,
// its constructor starts them and Close stops them:
//
//   - Disseminator sends updates to neighbours.
//   - UpdateReceiver merges updates from peers.
//   - Membership probes neighbours and lets the instance join and leave the fleet.
//   - Configurer applies the change log in order.
//   - EndpointMonitor monitors the endpoints that the instance is keeper of.
//   - Reconciler proposes configuration changes that follow from observed state.
//   - Replicator copies flow records and claims to their holders.
//   - Claimer makes claims, the records of keyed requests.
//   - Permits acquires request slots from the keepers of endpoints.
//   - Sender sends requests to endpoints.
//   - Dispatcher serves the requests of callers.
//   - PacketHandler decides where packets are sent.
//   - PeerHandler answers the calls of other instances.
//   - Explainer reports status and decisions to operators.
//
// The keeper of an endpoint or of a key is the instance that decides for it; its
// replicas hold copies of the same state. The holders are the keeper and the
// replicas. The entry instance of a request is the instance that received it
// from its caller.
package control
