// Package slot assigns the slots of a service to its endpoints.
//
// The flows of a service are hashed to slots, whose number is a power of two.
// Every slot has a base endpoint, which owns the flows without a flow record, and a
// current endpoint, which receives new flows. A slot is clean if both are the
// same, and dirty otherwise. While the service has no endpoint that may receive new
// flows, a slot may have neither.
//
// Assignment is a pure function of the previous table and the candidates, so
// instances that apply the same changes in the same order compute the same table
// without exchanging it. Each candidate is the current endpoint of as many slots as
// its quota, which is proportional to its weight to within one slot. A change
// reassigns only as many slots as the quotas require. Each of them is assigned to
// its base if that has quota left, and otherwise to the candidate with quota left
// that has the highest rendezvous score.
package slot
