// Package directory keeps an instance's copy of the platform's store.
//
// The copy is made of items, each with the revision of its last change, and of
// the revision up to which the copy is known to be whole. A complete read
// replaces what is older; a peer's news add what is newer. Both merges are
// idempotent and may come in any order: an item never goes back to an older
// revision, and an item goes missing only by a read or by news that are whole at
// a later revision than the item's.
//
// Roster gives missing endpoints a meaning. An entry that disappears while the
// store answers belongs to an endpoint that has ended. An entry that disappears
// while the store was in trouble may only have lapsed, and comes back within a
// few seconds if its endpoint lives.
package directory
