// Package flow decides where each packet goes.
//
// A Router applies three rules. A first packet goes to the keeper of its
// slot's current endpoint, which admits the flow there or, when that endpoint
// is at its limit, elsewhere. Any other packet of a clean slot is forwarded to
// the slot's endpoint without state. Any other packet of a dirty or guarded
// slot goes to the keeper, which forwards it by its record of the flow, or to
// the slot's base if it has none. A packet is relayed at most once.
//
// Records holds the keeper's records in shards. Decisions perform no input or
// output and read no clock, so that traces can replay them.
package flow
