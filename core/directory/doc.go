// Package directory maintains an instance's replica of the platform's store.
//
// The replica consists of items, each with the revision of its last change, and
// of the revision up to which the replica is complete. A full read replaces
// older items; a delta or a snapshot from a peer adds newer ones. These merges
// are idempotent and may be applied in any order: an item never returns to an
// older revision, and is removed only by a read, delta or snapshot that is
// complete at the item's revision or a later one.
//
// Roster determines what an absent endpoint entry means. An entry that
// disappears while the store answers belongs to an endpoint that has ended. An
// entry that disappears while the store was failing may only have lapsed, and
// reappears within a few seconds if its endpoint is still running.
package directory
