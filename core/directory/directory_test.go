package directory_test

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"carawaycart"
	"carawaycart/core/directory"
)

// decodeZone decodes each item as a zone that is out, named KEY=VALUE, and
// returns an error for the value "bad".
func decodeZone(i carawaycart.StoreItem) (carawaycart.DecodedItem, error) {
	if string(i.Value) == "bad" {
		return carawaycart.DecodedItem{}, errors.New("bad")
	}
	return carawaycart.DecodedItem{ZoneOut: carawaycart.ZoneID(i.Key + "=" + string(i.Value))}, nil
}

func item(key, value string, r carawaycart.StoreRevision) carawaycart.StoreItem {
	return carawaycart.StoreItem{Key: key, Value: []byte(value), Revision: r}
}

// at returns the position of a revision in a store that states no era.
func at(r carawaycart.StoreRevision) directory.Position { return directory.Position{Revision: r} }

func zones(d *directory.Directory) []carawaycart.ZoneID { return d.Contents().ZonesOut }

func TestApplyReadReturnsDelta(t *testing.T) {
	d := directory.New(decodeZone)
	d.ApplyRead([]carawaycart.StoreItem{item("a", "1", 3), item("b", "1", 4)}, at(5))
	got := d.ApplyRead([]carawaycart.StoreItem{item("b", "2", 7), item("c", "1", 6)}, at(8))
	want := directory.Delta{
		From: at(5), To: at(8), Items: []carawaycart.StoreItem{item("b", "2", 7), item("c", "1", 6)}, RemovedKeys: []string{"a"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got delta %+v, want %+v", got, want)
	}
	if got, want := zones(d), []carawaycart.ZoneID{"b=2", "c=1"}; !slices.Equal(got, want) {
		t.Errorf("got zones %v, want %v", got, want)
	}
}

// A read that is answered late must not restore items that a later read removed.
func TestApplyReadIgnoresOlderRead(t *testing.T) {
	d := directory.New(decodeZone)
	d.ApplyRead([]carawaycart.StoreItem{item("a", "2", 9)}, at(10))
	if delta := d.ApplyRead([]carawaycart.StoreItem{item("a", "1", 3), item("b", "1", 4)}, at(5)); !delta.Empty() {
		t.Errorf("got delta %+v, want an empty one", delta)
	}
	if got, want := zones(d), []carawaycart.ZoneID{"a=2"}; !slices.Equal(got, want) {
		t.Errorf("got zones %v, want %v", got, want)
	}
}

// The pages of a read are fetched one after another, so an item may be newer than the
// revision of the read, which is that of the first page. A later read at a revision
// below the item's must not remove it.
func TestApplyReadKeepsItemNewerThanRead(t *testing.T) {
	d := directory.New(decodeZone)
	d.ApplyRead([]carawaycart.StoreItem{item("a", "1", 12)}, at(10))
	d.ApplyRead(nil, at(11))
	if got, want := zones(d), []carawaycart.ZoneID{"a=1"}; !slices.Equal(got, want) {
		t.Errorf("got zones %v, want %v: a read at revision 11 must not remove an item of revision 12", got, want)
	}
	d.ApplyRead(nil, at(12))
	if got := zones(d); len(got) != 0 {
		t.Errorf("got zones %v, want none", got)
	}
}

// A delta must not be applied if the directory lacks earlier changes, because they
// would be lost, nor if the directory is newer, because old items would return. It
// must be applied if it begins at an earlier revision than the directory's.
func TestApplyDeltaRejectsGap(t *testing.T) {
	d := directory.New(decodeZone)
	d.ApplyRead(nil, at(5))
	if d.ApplyDelta(directory.Delta{From: at(6), To: at(8), Items: []carawaycart.StoreItem{item("a", "1", 8)}}) {
		t.Error("a delta across a gap of revisions was applied")
	}
	if !d.ApplyDelta(directory.Delta{From: at(4), To: at(7), Items: []carawaycart.StoreItem{item("a", "1", 7)}}) || d.Position() != at(7) {
		t.Errorf("got position %+v after a delta from 4 to 7, want it applied", d.Position())
	}
	if !d.ApplyDelta(directory.Delta{From: at(1), To: at(3), RemovedKeys: []string{"a"}}) || len(zones(d)) != 1 {
		t.Error("an old delta removed a newer item")
	}
}

// Another writer may overwrite an entry with one that cannot be decoded. Guards against
// ending a living endpoint, or losing the configuration, because of it.
func TestUndecodableItemKeepsWhatWasKnown(t *testing.T) {
	decode := func(i carawaycart.StoreItem) (carawaycart.DecodedItem, error) {
		switch {
		case string(i.Value) == "bad":
			return carawaycart.DecodedItem{}, errors.New("bad")
		case i.Key == "config":
			return carawaycart.DecodedItem{Config: &carawaycart.RouteConfig{Version: 7, Services: []carawaycart.ServicePolicy{{ID: "desk"}}}}, nil
		}
		return carawaycart.DecodedItem{Lifetime: &carawaycart.Lifetime{ID: carawaycart.EndpointID(i.Key), Service: "desk"}}, nil
	}
	d := directory.New(decode)
	d.ApplyRead([]carawaycart.StoreItem{item("config", "1", 1), item("i-1", "1", 2)}, at(5))
	d.ApplyRead([]carawaycart.StoreItem{item("config", "bad", 6), item("i-1", "bad", 7), item("i-2", "bad", 8)}, at(9))
	c := d.Contents()
	if c.Config == nil || c.Config.Version != 7 {
		t.Errorf("got configuration %+v, want version 7 to stay in force", c.Config)
	}
	if len(c.Lifetimes) != 1 || c.Lifetimes[0].ID != "i-1" || !c.Lifetimes[0].Draining {
		t.Errorf("got lifetimes %+v, want i-1 with its flows and without new ones", c.Lifetimes)
	}
	if got := d.TakeRefusals(); len(got) != 3 || got[1].Key != "i-1" || got[1].Revision != 7 || len(d.TakeRefusals()) != 0 {
		t.Errorf("got refusals %+v, want the three items, once", got)
	}
	d.ApplyRead([]carawaycart.StoreItem{item("config", "bad", 6), item("i-1", "2", 10), item("i-2", "bad", 8)}, at(11))
	if c := d.Contents(); len(c.Lifetimes) != 1 || c.Lifetimes[0].Draining {
		t.Errorf("got lifetimes %+v, want i-1 in use again", c.Lifetimes)
	}
}

func TestDecodeFailuresAreCounted(t *testing.T) {
	d := directory.New(decodeZone)
	d.ApplyRead([]carawaycart.StoreItem{item("a", "bad", 1), item("b", "1", 2)}, at(2))
	if d.DecodeFailures() != 1 || len(zones(d)) != 1 {
		t.Errorf("got %d decode failures and zones %v, want 1 and only b=1", d.DecodeFailures(), zones(d))
	}
}

// Entries of services that the configuration does not name were not written by the
// platform and must not add endpoints.
func TestContentsOmitUnconfiguredService(t *testing.T) {
	d := directory.New(func(i carawaycart.StoreItem) (carawaycart.DecodedItem, error) {
		if i.Key == "config" {
			return carawaycart.DecodedItem{Config: &carawaycart.RouteConfig{Services: []carawaycart.ServicePolicy{{ID: "desk"}}}}, nil
		}
		l := lifetime(i.Key, 1, "10.0.0.1:80")
		l.Service = carawaycart.ServiceID(i.Value)
		return carawaycart.DecodedItem{Lifetime: l}, nil
	})
	d.ApplyRead([]carawaycart.StoreItem{item("config", "", 1), item("i-1", "desk", 2), item("i-2", "else", 3)}, at(3))
	c := d.Contents()
	if len(c.Lifetimes) != 1 || c.Lifetimes[0].ID != "i-1" {
		t.Errorf("got %d lifetimes, want only i-1", len(c.Lifetimes))
	}
}

// An entry without a start must not add an endpoint where the others tell theirs, nor be
// refused where none does.
func TestContentsOmitEntryWithoutStart(t *testing.T) {
	for _, test := range []struct {
		starts  string // a start for each entry, none if zero
		omitted int
	}{
		{"550", 1}, {"500", 0}, {"50", 0}, {"000", 0}, {"555", 0}, {"0", 0},
	} {
		d := directory.New(func(i carawaycart.StoreItem) (carawaycart.DecodedItem, error) {
			return carawaycart.DecodedItem{Lifetime: lifetime(i.Key, int64(i.Value[0]-'0'), "10.0.0.1:80")}, nil
		})
		var items []carawaycart.StoreItem
		for n, start := range test.starts {
			items = append(items, item(fmt.Sprintf("i-%d", n+1), string(start), 2))
		}
		d.ApplyRead(items, at(2))
		if c := d.Contents(); len(c.Unconfigured) != test.omitted || len(c.Lifetimes) != len(items)-test.omitted {
			t.Errorf("starts %s: got %d lifetimes and %v omitted, want %d", test.starts, len(c.Lifetimes), c.Unconfigured, test.omitted)
		}
	}
}

// The entries of endpoints have expired, and one without a start is left. Guards against taking
// it for that of an endpoint because no other entry has a start any more.
func TestEntryWithoutStartIsOmittedOnceOthersHadOne(t *testing.T) {
	d := directory.New(func(i carawaycart.StoreItem) (carawaycart.DecodedItem, error) {
		return carawaycart.DecodedItem{Lifetime: lifetime(i.Key, int64(i.Value[0]-'0'), "10.0.0.1:80")}, nil
	})
	items := []carawaycart.StoreItem{item("i-1", "0", 2), item("i-2", "5", 2), item("i-3", "5", 2)}
	for _, left := range [][]carawaycart.StoreItem{items, items[:2], items[:1]} {
		d.ApplyRead(left, at(d.Position().Revision+1))
		if c := d.Contents(); len(c.Lifetimes) != len(left)-1 || !c.Unconfigured["i-1"] {
			t.Errorf("%d entries: got %d lifetimes and %v omitted, want i-1 omitted", len(left), len(c.Lifetimes), c.Unconfigured)
		}
	}
}

// store models the platform's store, which can be restored from a copy of itself.
type store struct {
	items    map[string]carawaycart.StoreItem
	revision carawaycart.StoreRevision
	era      carawaycart.StoreEra
	copied   *store
}

func (s *store) copy() { s.copied = &store{items: maps.Clone(s.items), revision: s.revision} }

func (s *store) restore() {
	if s.copied != nil {
		s.items, s.revision = maps.Clone(s.copied.items), s.copied.revision
		s.era++
	}
}

func (s *store) write(key, value string) {
	s.revision++
	s.items[key] = item(key, value, s.revision)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

func (s *store) position() directory.Position {
	return directory.Position{Era: s.era, Revision: s.revision}
}

func (s *store) read() ([]carawaycart.StoreItem, directory.Position) {
	return slices.Collect(maps.Values(s.items)), s.position()
}

// Directories that apply reads, deltas and snapshots in any order, with deltas
// lost, duplicated or delayed, must never return to an older position, and must
// hold the items of the store once they are complete up to its position. The store gives
// revisions out again after it was restored.
func TestDirectoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{items: make(map[string]carawaycart.StoreItem)}
		directories := []*directory.Directory{directory.New(decodeZone), directory.New(decodeZone), directory.New(decodeZone)}
		var deltas []directory.Delta
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			d := directories[rapid.IntRange(0, 2).Draw(t, "directory")]
			before := d.Position()
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				s.write(key, fmt.Sprint(s.revision))
			case 2:
				s.remove(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")))
			case 3:
				deltas = append(deltas, d.ApplyRead(s.read()))
			case 4:
				if len(deltas) > 0 {
					d.ApplyDelta(deltas[rapid.IntRange(0, len(deltas)-1).Draw(t, "delta")])
				}
			case 5:
				d.ApplySnapshot(directories[rapid.IntRange(0, 2).Draw(t, "from")].SnapshotSince(d.Position()))
			case 6:
				if delta, ok := directories[rapid.IntRange(0, 2).Draw(t, "from")].DeltaSince(d.Position()); ok {
					deltas = append(deltas, delta)
					d.ApplyDelta(delta)
				}
			case 7:
				s.copy()
			case 8:
				s.restore()
			case 9:
				if i, ok := s.items[fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))]; ok {
					d.ApplyAhead(i, s.position().Era)
				}
			}
			if d.Position().Before(before) {
				t.Fatalf("got position %+v after %+v, want no older one", d.Position(), before)
			}
			if d.Position() == s.position() {
				checkEqual(t, d, s)
			}
		}
		directories[0].ApplyRead(s.read())
		directories[1].ApplySnapshot(directories[0].SnapshotSince(directories[1].Position()))
		directories[2].ApplyRead(s.read())
		for _, d := range directories {
			checkEqual(t, d, s)
		}
	})
}

// checkEqual checks that d holds the items of s.
func checkEqual(t *rapid.T, d *directory.Directory, s *store) {
	model := directory.New(decodeZone)
	model.ApplyRead(s.read())
	if got, want := zones(d), zones(model); !slices.Equal(got, want) {
		t.Fatalf("at %+v: got zones %v, want %v", s.position(), got, want)
	}
}

func BenchmarkApplyReadUnchanged(b *testing.B) {
	for _, n := range []int{18, 150, 21000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var items []carawaycart.StoreItem
			for i := range n {
				items = append(items, item(fmt.Sprint("k", i), "1", carawaycart.StoreRevision(i+1)))
			}
			d := directory.New(decodeZone)
			b.ReportAllocs()
			for b.Loop() {
				d.ApplyRead(items, at(carawaycart.StoreRevision(n+1)))
			}
		})
	}
}

// The pages of a read may hold an item that is newer than the read. Guards against two
// faults: a receiver that keeps such an item although it was removed within the next
// delta, and a sender that leaves it out of the next delta although it is there.
func TestDeltaAfterReadWithNewerItem(t *testing.T) {
	sender, receiver := directory.New(decodeZone), directory.New(decodeZone)
	receiver.ApplyDelta(sender.ApplyRead([]carawaycart.StoreItem{item("a", "1", 7), item("b", "1", 8)}, at(5)))
	delta := sender.ApplyRead([]carawaycart.StoreItem{item("a", "1", 7)}, at(9)) // b was removed
	if !receiver.ApplyDelta(delta) {
		receiver.ApplySnapshot(sender.SnapshotSince(receiver.Position()))
	}
	if got, want := zones(receiver), []carawaycart.ZoneID{"a=1"}; !slices.Equal(got, want) {
		t.Errorf("got zones %v after the delta %+v, want %v", got, delta, want)
	}
	// An instance that saw b written and removed between two of its reads sends a delta
	// that does not mention b.
	other := directory.New(decodeZone)
	other.ApplyRead(nil, at(5))
	late := directory.New(decodeZone)
	late.ApplyRead([]carawaycart.StoreItem{item("b", "1", 8)}, at(5))
	if late.ApplyDelta(other.ApplyRead(nil, at(9))) && len(zones(late)) != 0 {
		t.Errorf("got zones %v, want none, or a snapshot asked for", zones(late))
	}
}

// Guards against an instance that is listed twice, or at its former address, because two
// writers have registered it.
func TestInstancesAreListedOnce(t *testing.T) {
	a := func(zone carawaycart.ZoneID) carawaycart.Registration {
		return carawaycart.Registration{ID: "a", Zone: zone}
	}
	d := directory.New(func(i carawaycart.StoreItem) (carawaycart.DecodedItem, error) {
		return carawaycart.DecodedItem{Instances: []carawaycart.Registration{a(carawaycart.ZoneID(i.Value)), {ID: carawaycart.InstanceID("of-" + i.Key)}}}, nil
	})
	d.ApplyRead([]carawaycart.StoreItem{item("x", "old", 3), item("y", "new", 5), item("z", "older", 2)}, at(6))
	got := d.Contents().Instances
	if len(got) != 4 || got[0] != a("new") || got[1].ID != "of-x" {
		t.Errorf("got %+v, want a once, as written last, and three others", got)
	}
}

// Guards against a peer that keeps removed items because the removals were forgotten, and
// against the keys of all items in place of the few that were removed.
func TestDeltaSince(t *testing.T) {
	d := directory.New(decodeZone)
	if _, ok := d.DeltaSince(at(0)); ok {
		t.Error("got a delta of an empty directory")
	}
	d.ApplyRead([]carawaycart.StoreItem{item("a", "1", 3), item("b", "1", 4), item("c", "1", 4)}, at(5))
	d.ApplyRead([]carawaycart.StoreItem{item("b", "1", 4)}, at(7))
	d.ApplyRead([]carawaycart.StoreItem{item("b", "2", 8), item("a", "2", 9)}, at(9))
	for _, test := range []struct {
		since carawaycart.StoreRevision
		want  *directory.Delta
	}{
		{4, nil}, // before the first read
		{5, &directory.Delta{From: at(5), To: at(9), Items: []carawaycart.StoreItem{item("a", "2", 9), item("b", "2", 8)}, RemovedKeys: []string{"c"}}},
		{7, &directory.Delta{From: at(7), To: at(9), Items: []carawaycart.StoreItem{item("a", "2", 9), item("b", "2", 8)}}},
		{8, nil}, // between two reads
		{9, &directory.Delta{From: at(9), To: at(9)}},
		{10, nil}, // a peer that is ahead
	} {
		got, ok := d.DeltaSince(at(test.since))
		if ok != (test.want != nil) || ok && (!reflect.DeepEqual(got.Items, test.want.Items) || !slices.Equal(got.RemovedKeys, test.want.RemovedKeys) || got.To != test.want.To) {
			t.Errorf("since %d: got %+v, %t, want %+v", test.since, got, ok, test.want)
		}
	}
	revision := carawaycart.StoreRevision(9)
	for n := range 5000 { // each read removes an item, more than are remembered
		revision++
		d.ApplyRead([]carawaycart.StoreItem{item(fmt.Sprint("k", n), "1", revision)}, at(revision))
	}
	if _, ok := d.DeltaSince(at(9)); ok {
		t.Error("got a delta from before the removals that are remembered")
	}
	if got, ok := d.DeltaSince(at(revision - 10)); !ok || len(got.RemovedKeys) != 10 {
		t.Errorf("got %d removals, %t, want the last 10", len(got.RemovedKeys), ok)
	}
}
