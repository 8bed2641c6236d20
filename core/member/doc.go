// Package member maintains an instance's view of the fleet.
//
// Each instance probes a few neighbours: at most two in its own zone and one in
// each other zone. A neighbour that does not answer becomes suspect, and the
// update is disseminated with the next exchanges between peers. The suspect
// refutes the suspicion by an update with a higher incarnation, and is declared
// dead if its deadline passes without one. The scheme follows
// A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
//
// The rule that merges updates is commutative, associative and idempotent for
// incarnations and states, so the order in which they arrive does not matter. A
// member's configuration revision may depend on the order until a later update.
//
// A View is an immutable snapshot of the fleet. Its Holders are the instances
// that hold the state of an object, such as an endpoint: the keeper, which makes
// the decisions about the object, and the replicas.
// They are chosen such that, whichever single instance or single zone is lost,
// the instance that becomes keeper already holds the state.
package member
