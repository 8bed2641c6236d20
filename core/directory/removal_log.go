package directory

import (
	"slices"

	"carawaycart"
)

const (
	// maxRemovals limits the removals that a removalLog holds. A release of a whole
	// service of 234 endpoints removes as many within a minute.
	maxRemovals = 4096
	// maxRevisions limits the revisions that a removalLog holds. Reads are 0.6 s apart.
	maxRevisions = 256
)

// removalLog holds the revisions up to which a directory was complete, one after the
// other, and the keys that it found missing at each.
type removalLog struct {
	revisions []carawaycart.StoreRevision // in ascending order
	removals  []removal                   // by revision, in ascending order; all after revisions[0]
}

type removal struct {
	key      string
	revision carawaycart.StoreRevision
}

// add records that keys were found missing at revision r, which is not lower than that of
// earlier calls.
func (l *removalLog) add(keys []string, r carawaycart.StoreRevision) {
	for _, key := range keys {
		l.removals = append(l.removals, removal{key, r})
	}
}

// advance records that the directory is complete up to revision r. It forgets the older
// half of the revisions if there are too many of them or of the removals.
func (l *removalLog) advance(r carawaycart.StoreRevision) {
	if n := len(l.revisions); n == 0 || l.revisions[n-1] < r {
		l.revisions = append(l.revisions, r)
	}
	if len(l.revisions) <= maxRevisions && len(l.removals) <= maxRemovals {
		return
	}
	l.revisions = slices.Clone(l.revisions[len(l.revisions)/2:])
	forgotten := 0
	for forgotten < len(l.removals) && l.removals[forgotten].revision <= l.revisions[0] {
		forgotten++
	}
	l.removals = slices.Clone(l.removals[forgotten:])
}

// after returns the keys that were found missing after revision r, sorted and each once.
// It returns false if the directory was not complete up to r, or that is forgotten.
func (l *removalLog) after(r carawaycart.StoreRevision) ([]string, bool) {
	if _, ok := slices.BinarySearch(l.revisions, r); !ok {
		return nil, false
	}
	var keys []string
	for i := len(l.removals) - 1; i >= 0 && l.removals[i].revision > r; i-- {
		keys = append(keys, l.removals[i].key)
	}
	slices.Sort(keys)
	return slices.Compact(keys), true
}
