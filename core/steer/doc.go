// Package steer decides where packets are forwarded, for packet formats that can
// carry a token. A token is a number that identifies one lifetime of an endpoint.
//
// The instance that receives the first packet of a flow chooses an endpoint and
// writes the token of the endpoint's lifetime into the packet. The endpoint and the
// caller copy the token into every later packet, so any instance can forward those
// packets without a record of the flow. The scheme follows T. Barbette et al., "A
// High-Speed Load-Balancer Design with Guaranteed Per-Connection-Consistency",
// NSDI 2020, and QUIC-LB.
//
// Tokens are derived from the lifetime alone, so instances agree on them without
// communication and derive the same tokens after a restart.
//
// The records that an instance keeps of flows are used only to place or refuse new
// flows and to detect silent endpoints: they show which endpoints answer, how fast,
// and how many requests are outstanding at each. Loss of the
// records does not affect open flows.
package steer
