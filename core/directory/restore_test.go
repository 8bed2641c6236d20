package directory_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycart"
	"carawaycart/core/directory"
)

// decodeConfig decodes the item "config" as a configuration whose version is the value.
func decodeConfig(i carawaycart.StoreItem) (carawaycart.DecodedItem, error) {
	if i.Key != "config" {
		return decodeZone(i)
	}
	version, err := strconv.ParseUint(string(i.Value), 10, 64)
	if err != nil {
		return carawaycart.DecodedItem{}, err
	}
	return carawaycart.DecodedItem{Config: &carawaycart.RouteConfig{Version: version}}, nil
}

func inEra(era carawaycart.StoreEra, r carawaycart.StoreRevision) directory.Position {
	return directory.Position{Era: era, Revision: r}
}

func configVersion(d *directory.Directory) uint64 {
	if c := d.Contents().Config; c != nil {
		return c.Version
	}
	return 0
}

// Guards against a directory that ignores a restored store until its revisions exceed those
// read before, and that takes an item for unchanged because its revision was given out again.
func TestRestoredStoreReplacesItems(t *testing.T) {
	d := directory.New(decodeZone)
	d.ApplyRead([]carawaycart.StoreItem{item("a", "1", 3), item("b", "2", 18), item("c", "1", 19)}, inEra(1, 20))
	d.ApplyRead([]carawaycart.StoreItem{item("a", "1", 3), item("b", "1", 5), item("c", "2", 19)}, inEra(2, 19))
	if got, want := zones(d), []carawaycart.ZoneID{"a=1", "b=1", "c=2"}; !slices.Equal(got, want) {
		t.Errorf("got zones %v, want %v", got, want)
	}
	if _, ok := d.DeltaSince(inEra(1, 20)); ok {
		t.Error("got a delta from the era before")
	}
	d.ApplyRead([]carawaycart.StoreItem{item("b", "2", 30)}, inEra(1, 31)) // answered late
	if got := d.Position(); got != inEra(2, 19) || len(zones(d)) != 3 {
		t.Errorf("got position %+v and zones %v after a read of the era before", got, zones(d))
	}
	peer := directory.New(decodeZone)
	peer.ApplyRead([]carawaycart.StoreItem{item("b", "2", 18), item("d", "1", 19)}, inEra(1, 20))
	if peer.ApplyDelta(directory.Delta{From: inEra(2, 18), To: inEra(2, 21)}) {
		t.Error("a delta of a later era was applied")
	}
	peer.ApplySnapshot(d.SnapshotSince(peer.Position()))
	if got := zones(peer); !slices.Equal(got, zones(d)) {
		t.Errorf("got zones %v from the snapshot, want %v", got, zones(d))
	}
}

// Guards against a confirmed configuration that goes back, or that an instance which starts
// then does not learn, until operators have written it again.
func TestConfigurationOutlivesRestore(t *testing.T) {
	d := directory.New(decodeConfig)
	d.ApplyRead([]carawaycart.StoreItem{item("config", "9", 18)}, inEra(1, 20))
	d.ApplyRead([]carawaycart.StoreItem{item("config", "7", 8)}, inEra(2, 12))
	started := directory.New(decodeConfig)
	started.ApplyRead([]carawaycart.StoreItem{item("config", "7", 8)}, inEra(2, 12))
	for _, i := range d.SnapshotSince(started.Position()).Items {
		started.Retain(i)
	}
	for _, step := range []struct {
		value    string
		revision carawaycart.StoreRevision
		want     uint64
	}{{"7", 8, 9}, {"8", 13, 9}, {"9", 14, 9}, {"11", 15, 11}} {
		for _, x := range []*directory.Directory{d, started} {
			x.ApplyRead([]carawaycart.StoreItem{item("config", step.value, step.revision)}, inEra(2, step.revision+4))
			if got := configVersion(x); got != step.want {
				t.Errorf("got version %d when the store holds %s, want %d", got, step.value, step.want)
			}
		}
	}
	lost := directory.New(decodeConfig)
	lost.ApplyRead([]carawaycart.StoreItem{item("config", "9", 18)}, inEra(1, 20))
	lost.ApplyRead(nil, inEra(2, 3))
	lost.ApplyRead(nil, inEra(2, 4))
	if got := configVersion(lost); got != 9 {
		t.Errorf("got version %d from a copy without a configuration, want 9", got)
	}
}

// Guards against an instance that keeps the configuration from before a restore but does
// not pass it on, because it learned of the restore from a peer and not from the store.
func TestConfigurationOfPeerOutlivesRestore(t *testing.T) {
	for name, copied := range map[string][]carawaycart.StoreItem{"older": {item("config", "7", 8)}, "none": nil} {
		reader, peer, started := directory.New(decodeConfig), directory.New(decodeConfig), directory.New(decodeConfig)
		for _, d := range []*directory.Directory{reader, peer} {
			d.ApplyRead([]carawaycart.StoreItem{item("config", "9", 18)}, inEra(1, 20))
		}
		reader.ApplyRead(copied, inEra(2, 12))
		peer.ApplySnapshot(reader.SnapshotSince(peer.Position()))
		started.ApplyRead(copied, inEra(2, 12))
		for _, i := range peer.SnapshotSince(started.Position()).Items {
			started.Retain(i)
		}
		for _, d := range []*directory.Directory{peer, started} {
			d.ApplyRead(copied, inEra(2, 13))
			if got := configVersion(d); got != 9 {
				t.Errorf("%s configuration in the copy: got version %d, want 9, which was confirmed", name, got)
			}
		}
	}
}

// Whatever directories read and tell each other, and whenever the store is restored and
// operators write again what it lost, the configuration never goes back to a lower version.
func TestConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{items: make(map[string]carawaycart.StoreItem)}
		directories := []*directory.Directory{directory.New(decodeConfig), directory.New(decodeConfig), directory.New(decodeConfig)}
		versions := make([]uint64, len(directories))
		confirmed := 1
		s.write("config", "1")
		s.copy()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "directory")
			d, from := directories[n], directories[rapid.IntRange(0, 2).Draw(t, "from")]
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				confirmed += rapid.IntRange(1, 3).Draw(t, "step")
				s.write("config", fmt.Sprint(confirmed))
			case 1:
				s.write("a", fmt.Sprint(s.revision))
			case 2:
				s.copy()
			case 3:
				s.restore()
			case 4:
				s.write("config", fmt.Sprint(confirmed)) // again
			case 5:
				d.ApplyRead(s.read())
			case 6:
				snapshot := from.SnapshotSince(d.Position())
				d.ApplySnapshot(snapshot)
				if snapshot.At.Era == d.Position().Era {
					for _, i := range snapshot.Items {
						d.Retain(i)
					}
				}
			case 7:
				if delta, ok := from.DeltaSince(d.Position()); ok {
					d.ApplyDelta(delta)
				}
			}
			if got := configVersion(d); got < versions[n] {
				t.Fatalf("got version %d after %d", got, versions[n])
			}
			versions[n] = configVersion(d)
		}
		s.write("config", fmt.Sprint(confirmed))
		for _, d := range directories {
			d.ApplyRead(s.read())
			if got := configVersion(d); got != uint64(confirmed) {
				t.Fatalf("got version %d, want %d, which was confirmed", got, confirmed)
			}
		}
	})
}

// A restored store lists endpoints as they were. Guards against ending an endpoint that has
// started again since, and against taking its earlier lifetime for alive.
func TestRestartedEndpointOutlivesRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := directory.NewLifetimeTracker()
	older, newer := lifetime("i-1", 1, "10.0.0.1:80"), lifetime("i-1", 2, "10.0.0.1:80")
	apply := func(l *carawaycart.Lifetime) {
		tracker.ApplyContents(&directory.Contents{Lifetimes: []*carawaycart.Lifetime{l}}, now)
	}
	apply(older)
	apply(newer)
	tracker.RecordRestore(now)
	apply(older)
	check := func(when string, want map[carawaycart.UnixMillis]directory.Presence) {
		t.Helper()
		tracker.ForEach(func(l *directory.TrackedLifetime) {
			if got := l.Presence; got != want[l.Lifetime.StartedAt] {
				t.Errorf("%s: got presence %d of the lifetime from %d, want %d", when, got, l.Lifetime.StartedAt, want[l.Lifetime.StartedAt])
			}
		})
	}
	check("after the restore", map[carawaycart.UnixMillis]directory.Presence{1: directory.Ended, 2: directory.Lapsed})
	now = now.Add(time.Second)
	apply(newer)
	check("written again", map[carawaycart.UnixMillis]directory.Presence{1: directory.Ended, 2: directory.Present})
}

// Guards against new flows to an endpoint that is about to stop.
func TestDrainingEndpointStaysDrainingAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := directory.NewLifetimeTracker()
	ready := lifetime("i-1", 1, "10.0.0.1:80")
	draining := *ready
	draining.Draining = true
	apply := func(l *carawaycart.Lifetime) (draining bool) {
		tracker.ApplyContents(&directory.Contents{Lifetimes: []*carawaycart.Lifetime{l}}, now)
		tracker.ForEach(func(l *directory.TrackedLifetime) { draining = l.Lifetime.Draining })
		return draining
	}
	apply(ready)
	apply(&draining)
	tracker.RecordRestore(now)
	for range 4 {
		if !apply(ready) || !tracker.MayChange() {
			t.Errorf("the endpoint is ready %v after the restore", now.Sub(time.Unix(1000, 0)))
		}
		now = now.Add(time.Second)
	}
	now = now.Add(10 * time.Second)
	if apply(ready) || tracker.MayChange() {
		t.Error("the endpoint is draining for ever, though its entry says that it is ready")
	}
}

// Guards against sending to the endpoints of a zone that operators have taken out.
func TestZoneStaysOutAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker directory.Retention
	apply := func(listed ...carawaycart.ZoneID) []carawaycart.ZoneID {
		c := directory.Contents{ZonesOut: listed}
		tracker.ApplyContents(&c, now)
		return c.ZonesOut
	}
	apply("a", "b")
	tracker.RecordRestore(now)
	if got := apply("a"); !slices.Equal(got, []carawaycart.ZoneID{"a", "b"}) || !tracker.MayChange() {
		t.Errorf("got zones %v out after the restore, want a and b", got)
	}
	now = now.Add(time.Second)
	apply("a", "b") // written again
	if got := apply("a"); !slices.Equal(got, []carawaycart.ZoneID{"a"}) {
		t.Errorf("got zones %v out, want b back, which operators have put back", got)
	}
	tracker.RecordRestore(now)
	apply()
	now = now.Add(10 * time.Second)
	if got := apply(); len(got) != 0 || tracker.MayChange() {
		t.Errorf("got zones %v out for ever, though nobody has written the mark again", got)
	}
}

// Guards against more flows than a cold endpoint bears, because the restored entry is one
// from before it became cold.
func TestColdEndpointStaysColdAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := directory.NewLifetimeTracker()
	warm := lifetime("i-1", 1, "10.0.0.1:80")
	cold := *warm
	cold.ColdRemaining = 6 * time.Second
	apply := func(l *carawaycart.Lifetime, at directory.Position) (until time.Time) {
		c := directory.Contents{
			Lifetimes: []*carawaycart.Lifetime{l}, Era: at.Era,
			Revisions: map[carawaycart.LifetimeKey]carawaycart.StoreRevision{l.Key(): at.Revision},
		}
		tracker.ApplyContents(&c, now)
		tracker.ForEach(func(s *directory.TrackedLifetime) { until = s.ColdUntil })
		return until
	}
	apply(warm, inEra(1, 8))
	coldUntil := apply(&cold, inEra(1, 20)) // the endpoint has become cold since the copy
	now = now.Add(3 * time.Second)
	tracker.RecordRestore(now)
	if got := apply(warm, inEra(2, 8)); got.Before(coldUntil) {
		t.Errorf("got cold until %v after the restore, want %v", got, coldUntil)
	}
}
