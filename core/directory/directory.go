package directory

import (
	"bytes"
	"cmp"
	"slices"

	"carawaycart"
)

// Decoder decodes an item; it returns an error for an invalid item.
type Decoder func(carawaycart.StoreItem) (carawaycart.DecodedItem, error)

// entry is an item with its decoded form, which is empty for an invalid item.
type entry struct {
	item    carawaycart.StoreItem
	decoded carawaycart.DecodedItem
}

// Directory is a replica of the store's items; it is not safe for concurrent use.
type Directory struct {
	decode         Decoder
	items          map[string]entry
	position       Position
	changes        int
	decodeFailures int
	refusals       []Refusal
	lost           []carawaycart.StoreItem
	removals       removalLog
	tellsStarts    bool // whether most entries of endpoints have ever had a start
}

// Refusal is an item that could not be decoded.
type Refusal struct {
	Key      string
	Revision carawaycart.StoreRevision
	Err      error
}

// maxRefusals limits the refusals that are kept for TakeRefusals.
const maxRefusals = 32

// New returns an empty directory that decodes items with decode.
func New(decode Decoder) *Directory {
	return &Directory{decode: decode, items: make(map[string]entry)}
}

// Position returns the position up to which the directory is complete, or the zero value
// before the first read or snapshot.
func (d *Directory) Position() Position { return d.position }

// Changes returns the number of changes of items made so far.
func (d *Directory) Changes() int { return d.changes }

// DecodeFailures returns the number of items received so far that could not be decoded.
func (d *Directory) DecodeFailures() int { return d.decodeFailures }

// TakeRefusals returns the items that could not be decoded since the last call, at most
// maxRefusals of them.
func (d *Directory) TakeRefusals() []Refusal {
	r := d.refusals
	d.refusals = nil
	return r
}

// TakeLost returns the items that restores of the store have removed or replaced since the
// last call, except a configuration that is retained.
func (d *Directory) TakeLost() []carawaycart.StoreItem {
	l := d.lost
	d.lost = nil
	return l
}

// Delta is the set of changes between two positions of the store. Only one within an era
// can be applied to another directory.
type Delta struct {
	From, To    Position
	Items       []carawaycart.StoreItem // items written after From
	RemovedKeys []string                // keys of the items removed after From
}

// Empty reports whether the delta changes no item.
func (d *Delta) Empty() bool { return len(d.Items) == 0 && len(d.RemovedKeys) == 0 }

// ApplyRead applies a full read of the store at a position and returns the changes
// that it made. A read older than the directory is ignored, and its delta is empty.
func (d *Directory) ApplyRead(items []carawaycart.StoreItem, at Position) Delta {
	delta := Delta{From: d.position, To: d.position}
	if at.Before(d.position) {
		return delta
	}
	delta.To = at
	d.enterEra(at.Era, items)
	present := make(map[string]struct{}, len(items))
	for _, i := range items {
		present[i.Key] = struct{}{}
		// An item that was newer than the read before is part of this delta too.
		if d.insert(i) || delta.From.Era != at.Era || i.Revision > delta.From.Revision && i.Revision <= at.Revision {
			delta.Items = append(delta.Items, d.items[i.Key].item)
		}
	}
	delta.RemovedKeys = d.removeAbsent(present, at.Revision)
	d.advance(at)
	return delta
}

// ApplyAhead stores i, which was written in the given era after the position of the
// directory, and reports whether it did. The directory remains complete up to its position
// only, since other changes before i may be missing.
func (d *Directory) ApplyAhead(i carawaycart.StoreItem, era carawaycart.StoreEra) bool {
	if d.position.Revision == 0 || era != d.position.Era || i.Revision <= d.position.Revision {
		return false
	}
	return d.insert(i)
}

// enterEra prepares the directory for items, all items of the store, if era is later than
// that of the directory. The revisions of the directory's items then say nothing of the
// order in which these and items were written. Items that are equal in both are kept,
// and so is a configuration until the store has one that is not older: operators write
// again what the restore has removed.
func (d *Directory) enterEra(era carawaycart.StoreEra, items []carawaycart.StoreItem) {
	if era <= d.position.Era {
		return
	}
	restored := make(map[string]carawaycart.StoreItem, len(items))
	for _, i := range items {
		restored[i.Key] = i
	}
	for key, e := range d.items {
		i, ok := restored[key]
		switch {
		case ok && i.Revision == e.item.Revision && bytes.Equal(i.Value, e.item.Value):
			continue
		case e.decoded.Config != nil:
			e.item.Revision, e.item.Retained = 0, true
			d.items[key] = e
		default:
			delete(d.items, key)
			d.lost = append(d.lost, e.item)
		}
		d.changes++
	}
	d.removals = removalLog{}
	d.position = Position{Era: era}
}

// removeAbsent removes the items whose keys are not in present, the set of all
// keys at a revision, and returns the removed keys, sorted. It retains items
// written after that revision.
func (d *Directory) removeAbsent(present map[string]struct{}, revision carawaycart.StoreRevision) []string {
	var removed []string
	for key, e := range d.items {
		if _, ok := present[key]; !ok && !e.item.Retained && e.item.Revision <= revision {
			delete(d.items, key)
			removed = append(removed, key)
		}
	}
	d.changes += len(removed)
	slices.Sort(removed)
	d.removals.add(removed, revision)
	return removed
}

// advance records that the directory is complete up to the position at.
func (d *Directory) advance(at Position) {
	d.position = at
	d.removals.advance(at.Revision)
}

// ApplyDelta applies a delta and reports whether the directory is now complete up to
// delta.To. It returns false and changes nothing if the directory is older
// than delta.From, or of an earlier era than delta.To.
//
// A delta omits items that were both written and removed between From and To, but
// a directory newer than From may hold them. Its items that were written between
// the two and are not in the delta are therefore removed. A directory at From may hold
// such items too, from a read whose pages were newer than its revision. Earlier
// versions leave these out of the delta even if they exist, so that only a snapshot can
// tell; ApplyDelta then returns false and changes nothing.
func (d *Directory) ApplyDelta(delta Delta) bool {
	switch {
	case !d.position.Before(delta.To):
		return true
	case d.position.Before(delta.From) || d.position.Era != delta.To.Era || delta.From.Era != delta.To.Era:
		return false
	}
	from, to := delta.From.Revision, delta.To.Revision
	written := make(map[string]struct{}, len(delta.Items)+len(delta.RemovedKeys))
	for _, i := range delta.Items {
		written[i.Key] = struct{}{}
	}
	if d.position == delta.From {
		for _, key := range delta.RemovedKeys {
			written[key] = struct{}{}
		}
		for key, e := range d.items {
			if _, ok := written[key]; !ok && e.item.Revision > from && e.item.Revision <= to {
				return false
			}
		}
	}
	for _, i := range delta.Items {
		d.insert(i)
	}
	removed := slices.Clone(delta.RemovedKeys)
	for _, key := range delta.RemovedKeys {
		if e, ok := d.items[key]; ok && !e.item.Retained && e.item.Revision <= to {
			delete(d.items, key)
			d.changes++
		}
	}
	if delta.From.Before(d.position) {
		for key, e := range d.items {
			if _, ok := written[key]; !ok && e.item.Revision > from && e.item.Revision <= to {
				delete(d.items, key)
				d.changes++
				removed = append(removed, key)
			}
		}
	}
	d.removals.add(removed, to)
	d.advance(delta.To)
	return true
}

// DeltaSince returns the changes after p, up to which the directory of a peer is
// complete. It returns false if p is of another era, or the directory does not know all
// removals after p; the peer then needs a snapshot. It knows them if it was itself complete
// up to exactly p: an item that was written before p and removed after it may have come and
// gone between two reads otherwise.
func (d *Directory) DeltaSince(p Position) (Delta, bool) {
	if p.Revision == 0 || p.Era != d.position.Era || d.position.Before(p) {
		return Delta{}, false
	}
	removed, ok := d.removals.after(p.Revision)
	if !ok {
		return Delta{}, false
	}
	delta := Delta{From: p, To: d.position}
	for _, e := range d.items {
		if e.item.Revision > p.Revision || e.item.Retained {
			delta.Items = append(delta.Items, e.item)
		}
	}
	slices.SortFunc(delta.Items, func(a, b carawaycart.StoreItem) int { return cmp.Compare(a.Key, b.Key) })
	// A key that was written again is not removed.
	delta.RemovedKeys = slices.DeleteFunc(removed, func(key string) bool { _, ok := d.items[key]; return ok })
	return delta, true
}

// Snapshot is a snapshot of a directory, reduced to what a peer needs whose own
// directory is complete up to an earlier position.
type Snapshot struct {
	At    Position                // position up to which the snapshot is complete
	Items []carawaycart.StoreItem // items written after the peer's position, or all if it is of another era
	Keys  []string                // keys of all items
	Ended []EndedLifetime         // recently ended lifetimes, which the store does not list

	// Delta replaces Items and Keys if the peer can apply it and the sender knows all
	// removals after the peer's position. It is nil otherwise.
	Delta *Delta
}

// SnapshotSince returns the snapshot for a peer whose directory is complete up to
// position p, with items and keys sorted by key. It leaves Ended to the caller,
// because the directory does not know ended lifetimes.
func (d *Directory) SnapshotSince(p Position) Snapshot {
	s := Snapshot{At: d.position}
	for key, e := range d.items {
		s.Keys = append(s.Keys, key)
		if e.item.Revision > p.Revision || e.item.Retained || p.Era != d.position.Era {
			s.Items = append(s.Items, e.item)
		}
	}
	slices.Sort(s.Keys)
	slices.SortFunc(s.Items, func(a, b carawaycart.StoreItem) int { return cmp.Compare(a.Key, b.Key) })
	return s
}

// ApplySnapshot applies the items and keys of a peer's snapshot and reports whether the
// snapshot was newer than the directory; any other is ignored.
func (d *Directory) ApplySnapshot(s Snapshot) bool {
	if !d.position.Before(s.At) {
		return false
	}
	d.enterEra(s.At.Era, s.Items)
	for _, i := range s.Items {
		d.insert(i)
	}
	present := make(map[string]struct{}, len(s.Keys))
	for _, key := range s.Keys {
		present[key] = struct{}{}
	}
	d.removeAbsent(present, s.At.Revision)
	d.advance(s.At)
	return true
}

// insert stores i and returns true, unless an item with its key and the same or a
// newer revision is stored. It stores an item that cannot be decoded too, with what
// was known before: a configuration stays in force, and an endpoint keeps its flows but
// gets no new ones. A configuration is not replaced by an older version, since versions
// only increase unless the store was restored.
func (d *Directory) insert(i carawaycart.StoreItem) bool {
	stored, ok := d.items[i.Key]
	if ok && stored.item.Revision >= i.Revision {
		return false
	}
	decoded, err := d.decode(i)
	if err != nil {
		d.decodeFailures++
		if len(d.refusals) < maxRefusals {
			d.refusals = append(d.refusals, Refusal{Key: i.Key, Revision: i.Revision, Err: err})
		}
		decoded = carawaycart.DecodedItem{Config: stored.decoded.Config}
		if l := stored.decoded.Lifetime; l != nil {
			draining := *l
			draining.Draining = true
			decoded.Lifetime = &draining
		}
	}
	inserted := entry{item: i, decoded: decoded}
	if isOlderConfig(decoded.Config, stored.decoded.Config) {
		inserted = stored
		inserted.item.Revision, inserted.item.Retained = i.Revision, true
	}
	d.items[i.Key] = inserted
	d.changes++
	return true
}

// isOlderConfig reports whether c is an older version of the configuration than known.
func isOlderConfig(c, known *carawaycart.RouteConfig) bool {
	return c != nil && known != nil && c.Version < known.Version
}

// Retain stores the configuration in i, which a peer has retained, if it is newer than the
// stored one, and reports whether it did.
func (d *Directory) Retain(i carawaycart.StoreItem) bool {
	stored := d.items[i.Key]
	if !i.Retained || bytes.Equal(i.Value, stored.item.Value) {
		return false
	}
	decoded, err := d.decode(i)
	if err != nil || decoded.Config == nil || stored.decoded.Config != nil && !isOlderConfig(stored.decoded.Config, decoded.Config) {
		return false
	}
	i.Revision = stored.item.Revision
	d.items[i.Key] = entry{item: i, decoded: decoded}
	d.changes++
	return true
}

// Item returns the item at key, if there is one.
func (d *Directory) Item(key string) (carawaycart.StoreItem, bool) {
	e, ok := d.items[key]
	return e.item, ok
}

// Contents holds all items in decoded form; the slices are in order of the
// items' keys.
type Contents struct {
	Config         *carawaycart.RouteConfig // nil if the store has none
	ConfigRetained bool                     // whether Config was in force before a restore, which has removed it from the store
	ZonesOut       []carawaycart.ZoneID     // zones that operators have taken out
	// ZoneMarks and ZoneRecords hold the revisions of the operators' marks of zones that are
	// out, and of the fleet's records of them; see ZoneReturns.
	ZoneMarks, ZoneRecords map[carawaycart.ZoneID]carawaycart.StoreRevision
	Lifetimes              []*carawaycart.Lifetime
	Revisions              map[carawaycart.LifetimeKey]carawaycart.StoreRevision // revisions of the lifetimes' items, of Era
	Era                    carawaycart.StoreEra
	Instances              []carawaycart.Registration

	// Unconfigured holds the endpoints whose entries are those of other writers: they name
	// services that Config does not, or lack the start that other entries have.
	Unconfigured map[carawaycart.EndpointID]bool
}

// Contents returns all items in decoded form. If there is a configuration,
// it omits lifetimes of services that the configuration does not name, because
// their entries were not written by the platform.
func (d *Directory) Contents() Contents {
	keys := make([]string, 0, len(d.items))
	for key := range d.items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	c := Contents{
		Revisions: make(map[carawaycart.LifetimeKey]carawaycart.StoreRevision), Era: d.position.Era,
		ZoneMarks: make(map[carawaycart.ZoneID]carawaycart.StoreRevision), ZoneRecords: make(map[carawaycart.ZoneID]carawaycart.StoreRevision),
	}
	for _, key := range keys {
		e := d.items[key]
		switch r := e.decoded; {
		case r.Config != nil:
			c.Config, c.ConfigRetained = r.Config, e.item.Retained
		case r.ZoneOut != "":
			c.ZonesOut = append(c.ZonesOut, r.ZoneOut)
			c.ZoneMarks[r.ZoneOut] = e.item.Revision
		case r.ZoneRecord != "":
			c.ZoneRecords[r.ZoneRecord] = e.item.Revision
		case r.Lifetime != nil:
			c.Lifetimes = append(c.Lifetimes, r.Lifetime)
			c.Revisions[r.Lifetime.Key()] = e.item.Revision
		}
	}
	c.Instances = d.instances()
	c.dropUnconfigured()
	if d.tellsStarts = d.tellsStarts || c.mostHaveStart(); d.tellsStarts {
		c.dropWithoutStart()
	}
	return c
}

// instances returns the registrations in all items, ordered by ID. Of an instance that
// several items hold, it returns the registration that was written last.
func (d *Directory) instances() []carawaycart.Registration {
	type written struct {
		registration carawaycart.Registration
		revision     carawaycart.StoreRevision
	}
	newest := make(map[carawaycart.InstanceID]written)
	for _, e := range d.items {
		for _, r := range e.decoded.Instances {
			if old, ok := newest[r.ID]; !ok || old.revision < e.item.Revision {
				newest[r.ID] = written{r, e.item.Revision}
			}
		}
	}
	var all []carawaycart.Registration
	for _, w := range newest {
		all = append(all, w.registration)
	}
	slices.SortFunc(all, func(a, b carawaycart.Registration) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// dropUnconfigured moves the lifetimes of services that the configuration does
// not name to Unconfigured. Without a configuration it removes none.
func (c *Contents) dropUnconfigured() {
	if c.Config == nil {
		return
	}
	configured := make(map[carawaycart.ServiceID]bool, len(c.Config.Services))
	for i := range c.Config.Services {
		configured[c.Config.Services[i].ID] = true
	}
	c.Unconfigured = make(map[carawaycart.EndpointID]bool)
	c.Lifetimes = slices.DeleteFunc(c.Lifetimes, func(l *carawaycart.Lifetime) bool {
		if !configured[l.Service] {
			c.Unconfigured[l.ID] = true
		}
		return !configured[l.Service]
	})
}

// mostHaveStart reports whether most lifetimes have a start. The endpoints of a platform
// either all tell theirs or none does, so that entries without are then those of other writers.
func (c *Contents) mostHaveStart() bool {
	without := 0
	for _, l := range c.Lifetimes {
		if l.StartedAt == 0 {
			without++
		}
	}
	return 2*without < len(c.Lifetimes)
}

// dropWithoutStart moves the lifetimes without a start to Unconfigured.
func (c *Contents) dropWithoutStart() {
	if c.Unconfigured == nil {
		c.Unconfigured = make(map[carawaycart.EndpointID]bool)
	}
	c.Lifetimes = slices.DeleteFunc(c.Lifetimes, func(l *carawaycart.Lifetime) bool {
		if l.StartedAt == 0 {
			c.Unconfigured[l.ID] = true
		}
		return l.StartedAt == 0
	})
}
