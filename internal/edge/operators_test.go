package edge_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/internal/admin"
	"carawaycart/io/platform"
	users "carawaycart/platform"
	"carawaycart/platform/standin"
)

// Operators' profiles, their services and zones live in the platform's store and
// are in force on the fleet.
func TestOperatorsProfilesAreInForce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(3, 30)
	store := users.NewStore(f.Store.URL(), nil)
	t.Cleanup(store.Close)
	clock := carawaycart.NewSystemClock()
	a := admin.NewAdmin(platform.NewChangeLog(store, clock), "anna", clock)
	put := func(kind carawaycart.ObjectKind, name string, object any) {
		t.Helper()
		if _, err := a.Put(t.Context(), kind, name, object); err != nil {
			t.Fatalf("%s %s: %v", kind, name, err)
		}
	}
	put(carawaycart.KindProfile, "timid", carawaycart.Profile{
		Name: "timid", ColdFlows: 2, ColdRequests: 1, WarmupSeconds: 1, DrainSeconds: 60, FlowIdleSeconds: 60,
		RequestSeconds: 10, QueueSeconds: 1, RetryPercent: 10, AnswerSeconds: 60,
	})
	put(carawaycart.KindService, "desk", carawaycart.Service{
		ID: "desk", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Profile: "timid",
	})
	put(carawaycart.KindZone, "a", carawaycart.Zone{ID: "a"})
	f.served(t, 100) // the fleet reads the store in less
	const cold = 4 * time.Second
	h, err := f.AddHost("a", cold)
	if err != nil {
		t.Fatal(err)
	}
	f.await(t, "the cold host is known", func() bool { return len(f.instances[0].edge.Status().Endpoints) == 5 })
	f.served(t, 100)
	if n := h.FirstPackets(); n > 2 {
		t.Errorf("got %d new flows at a cold host whose profile allows 2 in sum", n)
	}
	if _, err := a.SetZone(t.Context(), "b", true); err == nil {
		t.Error("got a zone taken out that operators never set")
	}
	if _, err := a.SetZone(t.Context(), "a", true); err != nil {
		t.Fatal(err)
	}
	for _, host := range f.Hosts {
		if host.Zone == "a" {
			host.Forbid(time.Now().Add(standin.EvacuateBound))
		}
	}
	f.await(t, "bounds of time have passed", func() bool { return f.Hosts[0].Forbidden() })
	f.served(t, 100)
	f.check(t)
}
