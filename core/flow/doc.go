// Package flow decides to which endpoint or instance each packet is sent.
//
// A Router applies three rules:
//   - The first packet of a flow is handled by the keeper of the slot's current
//     endpoint. The keeper admits the flow to that endpoint or, when the
//     endpoint is at its limit, to another one.
//   - Any other packet of a clean slot is forwarded to the slot's endpoint
//     without per-flow state.
//   - Any other packet of a dirty or guarded slot is handled by the keeper. The
//     keeper forwards it to the endpoint in its record of the flow or, without a
//     record, to the slot's base.
//
// A packet is relayed between instances at most once.
//
// Records holds the flow records of a keeper. Decisions perform no input or
// output and read no clock, so that a trace can be replayed.
package flow
