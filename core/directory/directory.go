package directory

import (
	"cmp"
	"slices"

	"carawaycart"
)

// Decoder decodes an item into a record; it returns an error for an invalid item.
type Decoder func(carawaycart.StoreItem) (carawaycart.Record, error)

// entry is an item with its decoded record, which is empty for an invalid item.
type entry struct {
	item   carawaycart.StoreItem
	record carawaycart.Record
}

// Directory is a replica of the store's items; it is not safe for concurrent use.
type Directory struct {
	decode         Decoder
	items          map[string]entry
	revision       carawaycart.StoreRevision
	decodeFailures int
}

// New returns an empty directory that decodes items with decode.
func New(decode Decoder) *Directory {
	return &Directory{decode: decode, items: make(map[string]entry)}
}

// At returns the revision up to which the directory is complete, or zero before
// the first read.
func (d *Directory) At() carawaycart.StoreRevision { return d.revision }

// Refused returns the number of items received so far that could not be decoded.
func (d *Directory) Refused() int { return d.decodeFailures }

// Difference is the delta between two revisions of the store.
type Difference struct {
	From, To carawaycart.StoreRevision
	Items    []carawaycart.StoreItem // written since From
	Missing  []string                // keys removed since From
}

// Empty reports whether the delta changes no item.
func (d *Difference) Empty() bool { return len(d.Items) == 0 && len(d.Missing) == 0 }

// Replace applies a full read of the store at revision at and returns the delta.
// A read older than the directory is ignored, and its delta is empty.
func (d *Directory) Replace(items []carawaycart.StoreItem, revision carawaycart.StoreRevision) Difference {
	delta := Difference{From: d.revision, To: d.revision}
	if revision < d.revision {
		return delta
	}
	delta.To = revision
	present := make(map[string]struct{}, len(items))
	for _, i := range items {
		present[i.Key] = struct{}{}
		if d.insert(i) {
			delta.Items = append(delta.Items, d.items[i.Key].item)
		}
	}
	delta.Missing = d.removeAbsent(present, revision)
	d.revision = revision
	return delta
}

// removeAbsent removes the items that are not present at a revision and returns
// their keys, sorted. It retains items written after that revision.
func (d *Directory) removeAbsent(present map[string]struct{}, revision carawaycart.StoreRevision) []string {
	var removed []string
	for key, e := range d.items {
		if _, ok := present[key]; !ok && e.item.Revision <= revision {
			delete(d.items, key)
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	return removed
}

// Apply applies a delta and reports whether the directory is now complete up to
// delta.To. It returns false and changes nothing if the directory is older
// than delta.From.
//
// A delta omits items that were both written and removed within its range, but
// the directory may hold them. Items that were written within the range and are
// not in the delta are therefore removed.
func (d *Directory) Apply(delta Difference) bool {
	switch {
	case delta.To <= d.revision:
		return true
	case delta.From > d.revision:
		return false
	}
	written := make(map[string]struct{}, len(delta.Items))
	for _, i := range delta.Items {
		written[i.Key] = struct{}{}
		d.insert(i)
	}
	for _, key := range delta.Missing {
		if e, ok := d.items[key]; ok && e.item.Revision <= delta.To {
			delete(d.items, key)
		}
	}
	if d.revision > delta.From {
		for key, e := range d.items {
			if _, ok := written[key]; !ok && e.item.Revision > delta.From && e.item.Revision <= delta.To {
				delete(d.items, key)
			}
		}
	}
	d.revision = delta.To
	return true
}

// Copy is a snapshot for a peer that is complete up to an earlier revision: the
// items written since, the keys of all items, and the recently ended lifetimes,
// which the store does not list.
type Copy struct {
	At    carawaycart.StoreRevision
	Items []carawaycart.StoreItem
	Keys  []string
	Ended []carawaycart.LifetimeKey
}

// Since returns the snapshot for a peer that is complete up to revision r, with
// items and keys sorted by key. It leaves Ended empty.
func (d *Directory) Since(r carawaycart.StoreRevision) Copy {
	c := Copy{At: d.revision}
	for key, e := range d.items {
		c.Keys = append(c.Keys, key)
		if e.item.Revision > r {
			c.Items = append(c.Items, e.item)
		}
	}
	slices.Sort(c.Keys)
	slices.SortFunc(c.Items, func(a, b carawaycart.StoreItem) int { return cmp.Compare(a.Key, b.Key) })
	return c
}

// Adopt applies a peer's snapshot and reports whether it was newer than the
// directory; an older one is ignored.
func (d *Directory) Adopt(c Copy) bool {
	if c.At <= d.revision {
		return false
	}
	for _, i := range c.Items {
		d.insert(i)
	}
	present := make(map[string]struct{}, len(c.Keys))
	for _, key := range c.Keys {
		present[key] = struct{}{}
	}
	d.removeAbsent(present, c.At)
	d.revision = c.At
	return true
}

// insert stores i if it is newer than the stored item with its key, and reports
// whether it is.
func (d *Directory) insert(i carawaycart.StoreItem) bool {
	stored, ok := d.items[i.Key]
	if ok && stored.item.Revision >= i.Revision {
		return false
	}
	record, err := d.decode(i)
	if err != nil {
		d.decodeFailures++
	}
	d.items[i.Key] = entry{item: i, record: record}
	return true
}

// Item returns the item at key, if there is one.
func (d *Directory) Item(key string) (carawaycart.StoreItem, bool) {
	e, ok := d.items[key]
	return e.item, ok
}

// Contents holds the decoded records of all items, in order of their keys.
type Contents struct {
	Config    *carawaycart.RouteConfig
	ZonesOut  []carawaycart.ZoneID
	Lifetimes []*carawaycart.Lifetime
	Revisions map[carawaycart.LifetimeKey]carawaycart.StoreRevision
	Instances []carawaycart.Registration
}

// Contents returns the decoded records of all items. It omits lifetimes of
// services that the configuration does not name, because their entries were not
// written by the platform.
func (d *Directory) Contents() Contents {
	keys := make([]string, 0, len(d.items))
	for key := range d.items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	c := Contents{Revisions: make(map[carawaycart.LifetimeKey]carawaycart.StoreRevision)}
	for _, key := range keys {
		e := d.items[key]
		switch r := e.record; {
		case r.Config != nil:
			c.Config = r.Config
		case r.ZoneOut != "":
			c.ZonesOut = append(c.ZonesOut, r.ZoneOut)
		case r.Lifetime != nil:
			c.Lifetimes = append(c.Lifetimes, r.Lifetime)
			c.Revisions[r.Lifetime.Key()] = e.item.Revision
		case r.Instance != nil:
			c.Instances = append(c.Instances, *r.Instance)
		}
	}
	c.dropUnconfigured()
	return c
}

// dropUnconfigured removes the lifetimes of services that the configuration does
// not name. Without a configuration it removes none.
func (c *Contents) dropUnconfigured() {
	if c.Config == nil {
		return
	}
	c.Lifetimes = slices.DeleteFunc(c.Lifetimes, func(l *carawaycart.Lifetime) bool {
		return !slices.ContainsFunc(c.Config.Services, func(s carawaycart.ServicePolicy) bool { return s.ID == l.Service })
	})
}
