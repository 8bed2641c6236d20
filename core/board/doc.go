// Package board holds the state that the controllers of one instance share: the
// configuration in force, the members of the fleet, and an Entry for each
// endpoint. It follows the blackboard pattern: the controllers read and write a
// shared Board.
//
// A revision of the configuration takes effect in three steps, because instances
// receive it at different times. On arrival, the instance refuses new work where
// the revision requires it. After activationDelay, when every instance has the
// revision, packets follow its slot tables. After stabilityDelay, when every
// instance follows these tables, new flows may be opened under it; until then a
// new flow is opened only where the tables before and after agree on its owner.
package board
