// Package steer routes packets of formats that can carry a token.
//
// The instance that receives the first packet of a flow chooses an endpoint and
// writes the token of the endpoint's lifetime into the packet. Both ends return
// the token in every later packet, so any instance can forward those packets
// without a record of the flow. The scheme follows T. Barbette et al., "A
// High-Speed Load-Balancer Design with Guaranteed Per-Connection-Consistency",
// NSDI 2020, and QUIC-LB.
//
// Tokens are derived from the lifetime alone, so instances agree on them without
// communication and derive the same tokens after a restart.
//
// The records that an instance keeps of flows are used only to place new flows:
// they show which endpoints answer first packets and how many requests are
// outstanding at each. They may be lost at any time.
package steer
