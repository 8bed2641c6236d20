// Package edge assembles a load balancer instance for a fabric whose packets
// carry tokens. A token identifies one lifetime of an endpoint.
//
// The controllers share the View, the instance's replica of the platform's
// store. The Reader reads the store. The Disseminator sends what was read to
// peers and applies the updates that peers send. The fabric port forwards packets
// according to the routing table built from the view. The Hedger resends unanswered
// first packets, and the Prober checks endpoints that do not answer. The Registrar
// maintains the instance's entry in the store, by which peers find it.
//
// The store is read as seldom as the time limits for changes allow. An instance
// that finds the fleet's last read too old reads the store and broadcasts the
// result. The age at which an instance reads differs between instances, so that
// one read at a time serves the whole fleet, or each part of a partitioned fleet.
package edge
