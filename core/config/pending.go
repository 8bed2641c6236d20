package config

import "carawaycart"

// PendingChanges holds changes that arrive before those of lower revisions. The number
// of changes that wait is limited, but the one that they wait for is always taken.
type PendingChanges struct {
	limit   int
	changes map[carawaycart.Revision]carawaycart.Change
}

// NewPendingChanges returns an empty PendingChanges for at most limit changes that wait.
func NewPendingChanges(limit int) *PendingChanges {
	return &PendingChanges{limit: limit, changes: make(map[carawaycart.Revision]carawaycart.Change)}
}

// Add holds c, unless it is of the current revision or an earlier one, or waits for
// another while limit changes wait.
func (p *PendingChanges) Add(c carawaycart.Change, current carawaycart.Revision) {
	p.dropThrough(current)
	if c.Revision <= current || c.Revision > current+1 && len(p.changes) >= p.limit {
		return
	}
	p.changes[c.Revision] = c
}

// Pop removes and returns the change that follows the current revision, if it is held.
func (p *PendingChanges) Pop(current carawaycart.Revision) (carawaycart.Change, bool) {
	p.dropThrough(current)
	c, ok := p.changes[current+1]
	delete(p.changes, current+1)
	return c, ok
}

// dropThrough removes the changes up to revision r, which are applied already.
func (p *PendingChanges) dropThrough(r carawaycart.Revision) {
	for held := range p.changes {
		if held <= r {
			delete(p.changes, held)
		}
	}
}
