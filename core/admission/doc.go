// Package admission decides which new flows of a service are refused while its endpoints
// cannot answer in time.
//
// The load pattern is a burst of 1.2 to 4 times what the endpoints bear, for seconds,
// on flows that each carry one request or stay open for many. Without refusals all
// requests wait in full queues and nearly all are late. A flow that stays open cannot be
// refused later, so refusals have to begin within 0.2 s and end slowly.
package admission
