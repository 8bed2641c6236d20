// Package member maintains an instance's view of the fleet.
//
// Each instance probes a small, fixed number of neighbours. A neighbour that
// does not answer becomes suspect, and the update is disseminated with the next
// exchanges. The suspect refutes it by an update with a higher incarnation, and
// is declared dead when its deadline passes without one. The scheme follows
// A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
//
// Updates are merged by a rule that is commutative, associative and idempotent,
// so the order in which they arrive does not matter.
//
// A View is an immutable snapshot of the fleet. Its Holders are the instances
// that hold the state of an object: the keeper, which decides, and the replicas.
// They are chosen such that, whichever single instance or single zone is lost,
// the instance that becomes keeper already holds the state.
package member
