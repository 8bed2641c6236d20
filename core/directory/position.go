package directory

import (
	"cmp"

	"carawaycart"
)

// Position is a point in the history of the store. The zero value precedes all others.
type Position struct {
	Era      carawaycart.StoreEra
	Revision carawaycart.StoreRevision
}

// Compare returns a negative number if p precedes q, zero if they are equal, and a
// positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }
