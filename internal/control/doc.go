// Package control holds the controllers of one instance. Each has one job,
// reads and writes the blackboard of package board, and runs in goroutines that
// its constructor starts and its Close ends:
//
//   - Spreader passes news on to neighbours.
//   - Membership probes neighbours and lets the instance join and leave.
//   - Configurer applies the change log in order.
//   - Keeping judges the endpoints that the instance is keeper of.
//   - Replicator copies flow records and claims to their holders.
//   - Orders makes claims on keyed requests.
//   - Permits acquires request slots from the keepers of endpoints.
//   - Packets decides where packets go.
//   - Peers answers the calls of other instances.
package control
