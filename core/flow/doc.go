// Package flow decides to which endpoint or instance each packet is sent.
//
// Flows are hashed to slots (see package slot). Here a slot is clean if its base
// is its current endpoint and that endpoint is not guarded, and the keeper of a
// slot is the keeper of its current endpoint. A Router applies three rules:
//   - The first packet of a flow is handled by the keeper of its slot. The keeper
//     admits the flow to the current endpoint or, if that may not receive new
//     flows, to another endpoint of the service.
//   - Any other packet of a clean slot is forwarded to the slot's endpoint
//     without per-flow state.
//   - Any other packet of a slot that is not clean is handled by the keeper. The
//     keeper forwards it to the endpoint in its record of the flow or, without a
//     record, to the slot's base.
//
// A packet is relayed between instances at most once.
//
// Records holds the flow records of an instance, as a keeper or as a replica.
// Decisions perform no input or output and read no clock, so that a trace can be
// replayed.
package flow
