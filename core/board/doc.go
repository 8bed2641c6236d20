// Package board is the blackboard that the controllers of one instance read and
// write: the configuration in force, the members of the fleet, and an Entry for
// each endpoint.
//
// A revision of configuration acts in three steps, because instances learn of
// it at different times. From its arrival it refuses new work where it must.
// After activatePeriod packets follow its slot tables, when every instance has
// it. After stablePeriod new flows may be opened under it, when every instance
// follows its tables; until then a new flow is opened only where the tables
// before and after agree on its owner.
package board
