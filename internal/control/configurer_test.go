package control

import (
	"fmt"
	"testing"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/core/member"
	"carawaycart/internal/configtest"
	"carawaycart/internal/counters"
)

// newConfigurer returns a Configurer at the given configuration that runs no tasks.
func newConfigurer(t *testing.T, c *config.Configuration) *Configurer {
	t.Helper()
	b, _ := newKeeperBoard(t)
	table := member.NewTable(carawaycart.Member{ID: "i1", Zone: "a"})
	cf := &Configurer{
		board: b, memberTable: table, counters: counters.New(), pending: config.NewPendingChanges(maxRecentChanges),
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
