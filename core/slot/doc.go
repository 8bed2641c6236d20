// Package slot assigns the slots of a service to its endpoints.
//
// A service's flows hash to a fixed number of slots, a power of two. Every slot
// has a base endpoint, which owns the flows that nobody recorded, and a current
// endpoint, which takes new flows. A slot is clean when both are the same.
//
// Assignment is a pure function of the previous table and the candidates, so
// instances that apply the same changes in the same order hold the same table
// without exchanging it. Each candidate receives a number of slots in proportion
// to its weight, to within one slot, and a change moves no more slots than those
// quotas require; among the candidates that have room, a slot goes to the one
// that scores highest by rendezvous hashing.
package slot
