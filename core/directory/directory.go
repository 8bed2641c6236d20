package directory

import (
	"cmp"
	"slices"

	"carawaycart"
)

// Decoder gives an item its meaning; an error means that it has none.
type Decoder func(carawaycart.StoreItem) (carawaycart.Record, error)

// entry is an item with its meaning.
type entry struct {
	item   carawaycart.StoreItem
	record carawaycart.Record
}

// Directory is a copy of the store's items; it is not safe for concurrent use.
type Directory struct {
	decode  Decoder
	items   map[string]entry
	at      carawaycart.StoreRevision
	refused int
}

// New returns an empty directory that decodes items with decode.
func New(decode Decoder) *Directory {
	return &Directory{decode: decode, items: make(map[string]entry)}
}

// At returns the revision up to which the directory is whole; zero means never.
func (d *Directory) At() carawaycart.StoreRevision { return d.at }

// Refused returns how many items could not be decoded so far.
func (d *Directory) Refused() int { return d.refused }

// Difference is what leads from one revision to a later one.
type Difference struct {
	From, To carawaycart.StoreRevision
	Items    []carawaycart.StoreItem // written since From
	Missing  []string                // keys that are gone
}

// Empty reports whether the difference changes no item.
func (d *Difference) Empty() bool { return len(d.Items) == 0 && len(d.Missing) == 0 }

// Replace takes in all items of the store as they were read when its revision
// was at, and returns what changed. A read that is older than the directory
// changes nothing.
func (d *Directory) Replace(items []carawaycart.StoreItem, at carawaycart.StoreRevision) Difference {
	change := Difference{From: d.at, To: d.at}
	if at < d.at {
		return change
	}
	change.To = at
	present := make(map[string]struct{}, len(items))
	for _, i := range items {
		present[i.Key] = struct{}{}
		if d.put(i) {
			change.Items = append(change.Items, d.items[i.Key].item)
		}
	}
	change.Missing = d.removeAbsent(present, at)
	d.at = at
	return change
}

// removeAbsent removes the items that are not present at revision at.
func (d *Directory) removeAbsent(present map[string]struct{}, at carawaycart.StoreRevision) []string {
	var missing []string
	for key, e := range d.items {
		if _, ok := present[key]; !ok && e.item.Revision <= at {
			delete(d.items, key)
			missing = append(missing, key)
		}
	}
	slices.Sort(missing)
	return missing
}

// Apply takes in a difference and reports whether the directory is whole at its
// end; it is not if changes before the difference are unknown here.
//
// The directory may have seen items that were written and removed within the
// difference, which therefore does not tell of them: what was written since its
// beginning and is not among its items is gone at its end.
func (d *Directory) Apply(change Difference) bool {
	switch {
	case change.To <= d.at:
		return true
	case change.From > d.at:
		return false
	}
	told := make(map[string]struct{}, len(change.Items))
	for _, i := range change.Items {
		told[i.Key] = struct{}{}
		d.put(i)
	}
	for _, key := range change.Missing {
		if e, ok := d.items[key]; ok && e.item.Revision <= change.To {
			delete(d.items, key)
		}
	}
	if d.at > change.From {
		for key, e := range d.items {
			if _, ok := told[key]; !ok && e.item.Revision > change.From && e.item.Revision <= change.To {
				delete(d.items, key)
			}
		}
	}
	d.at = change.To
	return true
}

// Copy is what a peer needs that is whole at an earlier revision: the items
// written since, the keys of all items, and the lifetimes that have ended lately,
// of which the store tells nothing.
type Copy struct {
	At    carawaycart.StoreRevision
	Items []carawaycart.StoreItem
	Keys  []string
	Ended []carawaycart.LifetimeKey
}

// Since returns the copy for a peer that is whole at revision r.
func (d *Directory) Since(r carawaycart.StoreRevision) Copy {
	c := Copy{At: d.at}
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

// Adopt takes in a peer's copy and reports whether it was newer.
func (d *Directory) Adopt(c Copy) bool {
	if c.At <= d.at {
		return false
	}
	for _, i := range c.Items {
		d.put(i)
	}
	present := make(map[string]struct{}, len(c.Keys))
	for _, key := range c.Keys {
		present[key] = struct{}{}
	}
	d.removeAbsent(present, c.At)
	d.at = c.At
	return true
}

// put takes in i if it is newer than what is held, and reports whether it is.
func (d *Directory) put(i carawaycart.StoreItem) bool {
	held, ok := d.items[i.Key]
	if ok && held.item.Revision >= i.Revision {
		return false
	}
	record, err := d.decode(i)
	if err != nil {
		d.refused++
	}
	d.items[i.Key] = entry{item: i, record: record}
	return true
}

// Item returns the item at key, if there is one.
func (d *Directory) Item(key string) (carawaycart.StoreItem, bool) {
	e, ok := d.items[key]
	return e.item, ok
}

// Contents are the meanings of all items, ordered by key.
type Contents struct {
	Config    *carawaycart.RouteConfig
	ZonesOut  []carawaycart.ZoneID
	Lifetimes []*carawaycart.Lifetime
	Revisions map[carawaycart.LifetimeKey]carawaycart.StoreRevision
	Instances []carawaycart.Registration
}

// Contents returns the meanings of all items. An endpoint of a service that the
// configuration does not name is left out: its entry is not the platform's.
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
	c.dropForeign()
	return c
}

func (c *Contents) dropForeign() {
	if c.Config == nil {
		return
	}
	c.Lifetimes = slices.DeleteFunc(c.Lifetimes, func(l *carawaycart.Lifetime) bool {
		return !slices.ContainsFunc(c.Config.Services, func(s carawaycart.ServicePolicy) bool { return s.ID == l.Service })
	})
}
