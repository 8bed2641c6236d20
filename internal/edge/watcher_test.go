package edge

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/message"
	"carawaycart/platform"
)

// restartedItem returns the entry, written at revision, of endpoint i-1 of newTestInstance
// after it has started again, cold.
func restartedItem(revision carawaycart.StoreRevision) carawaycart.StoreItem {
	return testItem("servers/i-1", revision, `{"service":"desk","address":"127.0.0.1:9","zone":"a","version":"v1","slots":2,"state":"ready","cold_left_ms":2000,"seq":1,"born":7}`)
}

// knowsRestart reports whether the router of d has the lifetime of restartedItem.
func knowsRestart(d *Disseminator) bool {
	return d.router.Table().Token(carawaycart.LifetimeKey{ID: "i-1", StartedAt: 7}) != 0
}

// newTestWatcher returns a watcher of the store that h serves, for the instance of the
// returned parts.
func newTestWatcher(t *testing.T, h http.HandlerFunc) (*Watcher, *Disseminator, *View) {
	t.Helper()
	d, v := newTestDisseminator(t)
	s := httptest.NewServer(h)
	store := platform.NewStore(s.URL, nil)
	w := NewWatcher("self", "a", store, v, d, d.clock, nil)
	t.Cleanup(func() {
		w.Close()
		store.Close()
		s.Close()
	})
	return w, d, v
}

// Guards against peers that learn of an endpoint which has started again only by the next
// read, and against a view that takes itself for complete up to an item it was told ahead.
func TestRestartToldAheadIsKnown(t *testing.T) {
	for _, test := range []struct {
		name string
		item carawaycart.StoreItem
		era  uint64
		want bool
	}{
		{"written after the last read", restartedItem(12), 0, true},
		{"written before the last read", restartedItem(8), 0, false},
		{"of another era", restartedItem(12), 1, false},
		{"of an unknown endpoint", testItem("servers/i-2", 12, testEntry), 0, false},
		{"unreadable", testItem("servers/i-1", 12, "?"), 0, false},
		{"of a zone", testItem("op/evacuate/a", 12, "{}"), 0, false},
	} {
		d, v := newTestDisseminator(t)
		before := v.directory.Changes()
		data, err := proto.Marshal(&message.DirectoryNews{
			From: "peer", Ahead: true, Relay: true, Era: test.era, Items: message.FromItems([]carawaycart.StoreItem{test.item}),
		})
		if err != nil {
			t.Fatal(err)
		}
		d.receive(data, netip.MustParseAddrPort("127.0.0.1:1"))
		if got := v.directory.Changes() > before; got != test.want || knowsRestart(d) != test.want {
			t.Errorf("%s: got applied %t, lifetime known %t, want %t", test.name, got, knowsRestart(d), test.want)
		}
		if got := v.State().Position.Revision; got != 10 {
			t.Errorf("%s: got revision %d, want that of the last read, 10", test.name, got)
		}
	}
}

// Guards against a restart that is known only by the next read although the store tells.
func TestWatchTellsOfRestart(t *testing.T) {
	w, d, v := newTestWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "10" {
			_, _ = fmt.Fprintf(w, `{"events":[{"key":"servers/i-9","revision":11,"tombstone":true},7,{"key":"servers/i-1","value":%q,"revision":12}],"at_rev":12}`,
				base64.StdEncoding.EncodeToString(restartedItem(12).Value))
			return
		}
		<-r.Context().Done()
	})
	w.RecordRead(directory.Delta{}, v.State().LastReadAt)
	awaitTrue(t, "the restart is known", func() bool { return knowsRestart(d) })
}

// The connection of a watch goes silent, and a read shows an entry that the watch has not
// reported. Guards against waiting on the silent connection for its whole period.
func TestSilentWatchIsReplaced(t *testing.T) {
	var watches atomic.Int32
	w, d, v := newTestWatcher(t, func(_ http.ResponseWriter, r *http.Request) {
		watches.Add(1)
		<-r.Context().Done()
	})
	read := func(revision carawaycart.StoreRevision, items ...carawaycart.StoreItem) {
		began := d.clock.Now()
		w.RecordRead(v.ApplyRead(platform.RangeResult{Revision: revision, Items: items}, began), began)
	}
	read(11, restartedItem(9))
	awaitTrue(t, "the store is watched", func() bool { return watches.Load() == 1 })
	read(12, restartedItem(12))
	time.Sleep(50 * time.Millisecond)
	if got := watches.Load(); got != 1 {
		t.Errorf("got %d watches right after the read, want 1, as the report may be on its way", got)
	}
	read(12, restartedItem(12))
	awaitTrue(t, "the watch is replaced", func() bool { return watches.Load() == 2 })
	for range 3 {
		read(12, restartedItem(12))
	}
	time.Sleep(50 * time.Millisecond)
	if got := watches.Load(); got != 2 {
		t.Errorf("got %d watches after reads without changes, want 2", got)
	}
}

// Guards against several instances that watch for long, each of which every change answers.
func TestOnlyReaderWatches(t *testing.T) {
	var watches atomic.Int32
	w, d, v := newTestWatcher(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"events":[],"at_rev":%d}`, 10+watches.Add(1))
	})
	w.RecordRead(directory.Delta{}, v.State().LastReadAt)
	awaitTrue(t, "the store is watched", func() bool { return watches.Load() > 0 })
	v.ApplyUpdate(directory.Delta{From: directory.Position{Revision: 10}, To: directory.Position{Revision: 10}}, "peer", d.clock.Now())
	awaitTrue(t, "no further watch is made", func() bool {
		before := watches.Load()
		time.Sleep(10 * watchPause)
		return watches.Load() == before
	})
}

// Guards against a fleet that notices no restart while the only instance that watches is
// killed: one that is early in the order of reads watches although another instance reads.
func TestFirstInstancesWatch(t *testing.T) {
	for _, test := range []struct {
		name, instances string
		want            int32
	}{
		{"listed alone", `{"id":"self","zone":"a","peerAddress":"127.0.0.1:1"}`, 1},
		{"listed with one of another zone", `{"id":"self","zone":"a","peerAddress":"127.0.0.1:1"},{"id":"n1","zone":"b","peerAddress":"127.0.0.1:2"}`, 1},
		{"listed in the second zone", `{"id":"self","zone":"a","peerAddress":"127.0.0.1:1"},{"id":"n1","zone":"0","peerAddress":"127.0.0.1:2"}`, 1},
		{
			"listed in the third zone", `{"id":"self","zone":"a","peerAddress":"127.0.0.1:1"},` +
				`{"id":"n1","zone":"0","peerAddress":"127.0.0.1:2"},{"id":"n2","zone":"1","peerAddress":"127.0.0.1:3"}`, 0,
		},
		{"not listed", `{"id":"n1","zone":"b","peerAddress":"127.0.0.1:2"}`, 0},
	} {
		var watches atomic.Int32
		w, d, v := newTestWatcher(t, func(_ http.ResponseWriter, r *http.Request) {
			watches.Add(1)
			<-r.Context().Done()
		})
		v.ApplyUpdate(directory.Delta{
			From: directory.Position{Revision: 10}, To: directory.Position{Revision: 11},
			Items: []carawaycart.StoreItem{testItem("carawaycart/instances/n1-1", 11, `{"instances":[`+test.instances+`]}`)},
		}, "peer", d.clock.Now())
		w.Wake()
		awaitTrue(t, test.name+": the instance watches if it is to", func() bool { return watches.Load() >= test.want })
		w.Wake()
		time.Sleep(50 * time.Millisecond)
		if got := watches.Load(); got != test.want {
			t.Errorf("%s: got %d watches, want %d", test.name, got, test.want)
		}
	}
}

// Guards against calls without pause to a store that answers a watch at once.
func TestWatchThatDoesNotWaitIsNotRepeated(t *testing.T) {
	var watches atomic.Int32
	w, _, v := newTestWatcher(t, func(w http.ResponseWriter, _ *http.Request) {
		watches.Add(1)
		_, _ = fmt.Fprint(w, `{"events":[],"at_rev":10}`)
	})
	w.RecordRead(directory.Delta{}, v.State().LastReadAt)
	awaitTrue(t, "the store is watched", func() bool { return watches.Load() > 0 })
	time.Sleep(200 * time.Millisecond)
	if got := watches.Load(); got != 1 {
		t.Errorf("got %d watches after one read, want 1", got)
	}
}

// awaitTrue waits until condition holds and fails the test after 10 s, far above any time
// that a test requires.
func awaitTrue(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
