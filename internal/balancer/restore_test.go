package balancer_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/internal/admin"
	"carawaycart/internal/balancer"
	"carawaycart/internal/settings"
	"carawaycart/internal/standin"
	"carawaycart/io/platform"
)

// restoreLimit is the time after a restore of the store within which the changes that
// operators made must be in force and in the log.
const restoreLimit = 5 * time.Second

// fleet is a fleet of ready instances, of which one does not watch the store.
type fleet struct {
	t         *testing.T
	store     *standin.Store
	log       *platform.ChangeLog
	admin     *admin.Admin
	instances []*balancer.Balancer
}

// newFleet returns a running fleet in zone a whose configuration has the zones a to d.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	list, err := standin.NewInstanceList("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	clock := carawaycart.NewSystemClock()
	f := &fleet{t: t, store: store, log: platform.NewChangeLog(platform.NewStore(store.URL(), nil), clock)}
	f.admin = admin.NewAdmin(f.log, "op", clock)
	for _, z := range []carawaycart.ZoneID{"a", "b", "c", "d"} {
		if _, err := f.admin.Put(t.Context(), carawaycart.KindZone, string(z), carawaycart.Zone{ID: z}); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []carawaycart.InstanceID{"lb1", "lb2", "lb3"} {
		f.start(id, list)
	}
	f.await("be ready", readyTimeout, func(b *balancer.Balancer) bool { return b.Ready() && len(b.Board.Members().KeeperCandidates()) == 3 })
	return f
}

func (f *fleet) start(id carawaycart.InstanceID, list *standin.InstanceList) {
	f.t.Helper()
	any := netip.MustParseAddrPort("127.0.0.1:0")
	s := settings.Settings{
		ID: id, Zone: "a", FabricAddress: any, RequestAddress: any, PeerAddress: any, OperatorAddress: any,
		StoreURL: f.store.URL(), InstanceListURL: list.URL(), FabricThreads: 1,
	}
	sockets, err := balancer.Open(s)
	if err != nil {
		f.t.Fatal(err)
	}
	list.Add(carawaycart.ListedInstance{ID: id, Zone: "a", PeerAddress: sockets.Peer.Addr().(*net.TCPAddr).AddrPort()})
	b, err := balancer.New(s, sockets, carawaycart.NewSystemClock())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(b.Kill)
	f.instances = append(f.instances, b)
}

// await waits until done holds for all instances, and fails after limit.
func (f *fleet) await(what string, limit time.Duration, done func(*balancer.Balancer) bool) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for _, b := range f.instances {
		for !done(b) {
			if time.Now().After(deadline) {
				f.t.Fatalf("instance %s at revision %d did not %s within %v", b.Board.Self, b.Board.Revision(), what, limit)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// setOut makes an operator take zone z out, or return it, and returns the change.
func (f *fleet) setOut(z carawaycart.ZoneID, out bool) carawaycart.Change {
	f.t.Helper()
	c, err := f.admin.SetZoneOut(f.t.Context(), z, out)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// awaitOut waits until exactly the given zones are out according to the log, and all
// instances follow the log to its end.
func (f *fleet) awaitOut(limit time.Duration, zones ...carawaycart.ZoneID) {
	f.t.Helper()
	wanted := make(map[carawaycart.ZoneID]bool)
	for _, z := range zones {
		wanted[z] = true
	}
	agree := func(c, latest *config.Configuration) bool {
		for id, z := range c.Zones {
			if z.Out != wanted[id] {
				return false
			}
		}
		return c.Revision == latest.Revision && c.LastID == latest.LastID
	}
	f.await("take exactly the zones out that the operators took out, as the log does", limit, func(b *balancer.Balancer) bool {
		latest := f.latest()
		return agree(latest, latest) && agree(b.Board.View().Config, latest)
	})
}

func (f *fleet) latest() *config.Configuration {
	f.t.Helper()
	c, err := f.log.Latest(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// Guards against changes that operators were told are accepted and that a restore of the
// store removes.
func TestRestoredLogGetsAcceptedChangesAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := f.store.Copy()
	f.setOut("b", true)
	last := f.setOut("c", true)
	f.awaitOut(restoreLimit, "b", "c")
	f.store.SetDown(true)
	f.store.Restore(c)
	f.store.SetDown(false)
	for deadline := time.Now().Add(restoreLimit); f.latest().LastID != last.ID; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got a log that ends at revision %d after %v, want %d again", f.latest().Revision, restoreLimit, last.Revision)
		}
	}
	f.setOut("b", false)
	f.awaitOut(restoreLimit, "c")
}

// Guards against instances that skip a change because it has the revision of one that a
// restore of the store has removed.
func TestChangeAfterRestoreIsInForce(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		lost []carawaycart.ZoneID // taken out by changes that the restore removes
		zone carawaycart.ZoneID   // taken out after the restore
		more carawaycart.ZoneID   // returned after that, if not empty
		want []carawaycart.ZoneID
	}{
		{"of another object", []carawaycart.ZoneID{"b"}, "c", "", []carawaycart.ZoneID{"b", "c"}},
		{"fewer than were lost", []carawaycart.ZoneID{"b", "d"}, "c", "", []carawaycart.ZoneID{"b", "c", "d"}},
		{"more than were lost", []carawaycart.ZoneID{"b"}, "c", "c", []carawaycart.ZoneID{"b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			c := f.store.Copy()
			for _, z := range test.lost {
				f.setOut(z, true)
			}
			f.awaitOut(restoreLimit, test.lost...)
			f.store.Restore(c)
			f.setOut(test.zone, true)
			if test.more != "" {
				f.setOut(test.more, false)
			}
			f.awaitOut(restoreLimit, test.want...)
			f.setOut("b", false)
			f.awaitOut(restoreLimit, withoutZone(test.want, "b")...)
		})
	}
}

func withoutZone(zones []carawaycart.ZoneID, without carawaycart.ZoneID) []carawaycart.ZoneID {
	var rest []carawaycart.ZoneID
	for _, z := range zones {
		if z != without {
			rest = append(rest, z)
		}
	}
	return rest
}

// Guards against a change that a restore of the store removed and that comes back in
// place of what an operator has ordered since for the same object.
func TestLaterChangeOfSameObjectStaysInForce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.setOut("b", true)
	f.awaitOut(restoreLimit, "b")
	c := f.store.Copy()
	f.setOut("b", false)
	f.awaitOut(restoreLimit)
	f.store.Restore(c)
	f.setOut("b", true)
	f.awaitOut(restoreLimit, "b")
	f.setOut("c", true)
	f.awaitOut(restoreLimit, "b", "c")
}
