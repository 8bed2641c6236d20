package control

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/core/member"
	"carawaycart/internal/configtest"
	"carawaycart/internal/counters"
	"carawaycart/internal/standin"
	"carawaycart/io/platform"
)

// newConfigurer returns a Configurer at the given configuration that runs no tasks.
func newConfigurer(t *testing.T, c *config.Configuration) *Configurer {
	t.Helper()
	b := board.New("i1")
	table := member.NewTable(carawaycart.Member{ID: "i1", Zone: "a"})
	cf := &Configurer{
		board: b, memberTable: table, counters: counters.New(), clock: carawaycart.NewSystemClock(), pending: config.NewPendingChanges(maxRecentChanges),
		disseminator: &Disseminator{board: b, memberTable: table, wake: make(chan struct{}, 1)},
	}
	cf.Load(c, startTime)
	return cf
}

// Guards against a peer that stays behind because it gets changes of earlier revisions
// than it asks for, from an instance that has loaded a whole configuration.
func TestChangesSinceLoadedConfiguration(t *testing.T) {
	_, c := newKeeperBoard(t)
	cf := newConfigurer(t, c)
	zone := func(r carawaycart.Revision) carawaycart.Change {
		name := fmt.Sprintf("z%d", r)
		return carawaycart.Change{Revision: r, ID: carawaycart.ChangeID(name), Kind: carawaycart.KindZone, Name: name, After: []byte(`{"id":"` + name + `"}`)}
	}
	for range 3 {
		cf.ReceiveChange(zone(cf.current.Revision+1), "", startTime)
	}
	loaded := cf.current
	for range 3 {
		loaded = configtest.MustPut(t, loaded, carawaycart.KindZone, "a", carawaycart.Zone{ID: "a"})
	}
	cf.Load(loaded, startTime)
	if changes, snapshot := cf.ChangesSince(loaded.Revision - 2); len(changes) > 0 || snapshot != loaded {
		t.Errorf("got changes %v, want the configuration that was loaded", changes)
	}
	cf.ReceiveChange(zone(loaded.Revision+1), "", startTime)
	if changes, snapshot := cf.ChangesSince(loaded.Revision - 1); len(changes) > 0 || snapshot != cf.current {
		t.Errorf("got changes %v, want the whole configuration", changes)
	}
	if changes, _ := cf.ChangesSince(loaded.Revision); len(changes) != 1 || changes[0].Revision != loaded.Revision+1 {
		t.Errorf("got changes %v, want the one after the configuration that was loaded", changes)
	}
}

// hookedStore is a store that calls beforeWait, unless it is nil, once before a blocking
// read.
type hookedStore struct {
	*platform.Store
	beforeWait func()
}

func (s *hookedStore) Wait(ctx context.Context, key string, index carawaycart.StoreIndex) (carawaycart.StoreEntry, error) {
	if f := s.beforeWait; f != nil {
		s.beforeWait = nil
		f()
	}
	return s.Store.Wait(ctx, key, index)
}

// Guards against a change that is applied after changes that the store has lost, because
// the restore fell into the wait for it.
func TestRestoreDuringWait(t *testing.T) {
	emulated, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer emulated.Close()
	store := &hookedStore{Store: platform.NewStore(emulated.URL(), nil)}
	log := platform.NewChangeLog(store, carawaycart.NewSystemClock())
	add := func(z carawaycart.ZoneID) {
		t.Helper()
		if _, err := log.Append(t.Context(), platform.Edit{
			Operator: "op", Kind: carawaycart.KindZone, Name: string(z),
			Update: func(json.RawMessage) (json.RawMessage, error) { return json.Marshal(carawaycart.Zone{ID: z}) },
		}); err != nil {
			t.Fatal(err)
		}
	}
	cf := newConfigurer(t, config.New())
	cf.log = log
	add("a")
	c := emulated.Copy()
	add("b")
	cf.awaitChange(t.Context())
	cf.awaitChange(t.Context())
	store.beforeWait = func() {
		emulated.Restore(c)
		add("c")
		add("d")
	}
	cf.awaitChange(t.Context())
	latest, err := log.Latest(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if cf.current.Revision != latest.Revision || len(latest.Zones) != 4 || len(cf.current.Zones) != 4 {
		t.Errorf("got zones %v at revision %d, in the log %v at revision %d, want four zones", cf.current.Zones, cf.current.Revision, latest.Zones, latest.Revision)
	}
}
