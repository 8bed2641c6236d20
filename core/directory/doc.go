// Package directory maintains an instance's replica of the platform's store.
//
// The replica holds items, each with the revision of its last change, and the
// revision up to which it is complete. It merges full reads of the store, and
// deltas and snapshots from peers. These merges are idempotent and may be applied
// in any order: an item never returns to an older revision, and is removed only
// by a read, delta or snapshot that is complete at the item's revision or a later
// one.
//
// A store that is restored from a copy gives revisions out again. Revisions are therefore
// ordered within an era of the store only; a Position is an era and a revision in it. The
// first read or snapshot of a later era replaces the replica. A Retention, the tracker below
// and the version of the routing configuration keep what the copy lacks until it is
// written again.
//
// A LifetimeTracker determines what the absence of an endpoint's entry means. If
// the entry disappears while the store answers, the endpoint has ended, as far as the
// store tells. If it disappears shortly after a store failure, it may only have lapsed:
// its endpoint may still be running, and then the entry reappears within a few seconds.
package directory
