package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/internal/eventlog"
	"carawaycart/io/platform"
)

// maxRewrites limits the changes that an instance writes again after one read of the store.
const maxRewrites = 16

// lostChanges holds the entries of the change log that a restore of the store has removed.
// They stay in force and are written again, since operators were told that they are
// accepted. The zero value holds none.
type lostChanges struct {
	entries map[string]carawaycart.StoreItem
}

// add adds the entries of the change log among items, which were in the store before a
// restore.
func (c *lostChanges) add(items []carawaycart.StoreItem) {
	for _, i := range items {
		if platform.IsLogKey(i.Key) {
			if c.entries == nil {
				c.entries = make(map[string]carawaycart.StoreItem)
			}
			c.entries[i.Key] = i
		}
	}
}

// prune removes the entries whose keys are in d again. It logs those in whose place an
// operator has meanwhile written another change.
func (c *lostChanges) prune(d *directory.Directory, log *eventlog.Log) {
	for key, lost := range c.entries {
		i, ok := d.Item(key)
		if !ok {
			continue
		}
		delete(c.entries, key)
		if !slices.Equal(i.Value, lost.Value) {
			log.Event("changeLost").Text("key", key).Int("revision", int64(i.Revision)).End()
		}
	}
}

// oldest returns the entries that are to be written first, at most maxRewrites.
func (c *lostChanges) oldest() []carawaycart.StoreItem {
	all := slices.SortedFunc(maps.Values(c.entries), func(a, b carawaycart.StoreItem) int { return cmp.Compare(a.Key, b.Key) })
	return all[:min(len(all), maxRewrites)]
}

// rewriteLost writes the entries of the change log again that a restore of the store has
// removed, in order, unless another change has taken the place of one.
func (r *Reader) rewriteLost(ctx context.Context) {
	for _, i := range r.view.LostChanges() {
		written, err := r.store.CompareAndSwap(ctx, i.Key, i.Value, 0)
		r.log.Event("changeRewritten").Text("key", i.Key).Bool("written", written).Err(err).End()
		if err != nil || !written {
			return // the next read tells what the store holds
		}
	}
}
