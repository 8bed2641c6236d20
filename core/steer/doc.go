// Package steer decides packets whose format can carry a token.
//
// The instance that handles the first packet of a flow chooses an endpoint and
// writes the token of the endpoint's lifetime into the packet. Both ends return
// it in every later packet, so any instance forwards those without a record of
// the flow. The scheme is known from T. Barbette et al., "A High-Speed
// Load-Balancer Design with Guaranteed Per-Connection-Consistency", NSDI 2020,
// and from QUIC-LB.
//
// Tokens are derived from the lifetime alone, so instances agree on them without
// a word and know them again after a restart.
//
// What an instance sees of a flow serves only to place new ones: which endpoints
// answer first packets, and how many requests are outstanding at each. It may be
// lost at any time.
package steer
