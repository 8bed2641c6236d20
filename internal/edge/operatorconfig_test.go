package edge_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/internal/admin"
	"carawaycart/io/platform"
	platformstore "carawaycart/platform"
	"carawaycart/platform/standin"
)

// Profiles, services and zones that operators set are stored in the platform's store
// and must take effect on the fleet. Guards against a configuration that is written
// but not applied: too many new flows at a cold endpoint, or packets sent to a zone
// that was taken out.
func TestOperatorConfigTakesEffect(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(3, 30)
	store := platformstore.NewStore(f.Store.URL(), nil)
	t.Cleanup(store.Close)
	clock := carawaycart.NewSystemClock()
	a := admin.NewAdmin(platform.NewChangeLog(store, clock), "anna", clock)
	put := func(kind carawaycart.ObjectKind, name string, object any) {
		t.Helper()
		if _, err := a.Put(t.Context(), kind, name, object); err != nil {
			t.Fatalf("put %s %s: %v", kind, name, err)
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
	f.awaitRequests(t, 100) // takes longer than the next read of the store
	const coldPeriod = 4 * time.Second
	cold, err := f.AddEndpoint("a", coldPeriod)
	if err != nil {
		t.Fatal(err)
	}
	f.await(t, "the cold endpoint is listed", func() bool { return len(f.instances[0].running.Status().Endpoints) == 5 })
	f.awaitRequests(t, 100)
	if n := cold.NewFlows(); n > 2 {
		t.Errorf("got %d new flows at a cold endpoint, want at most the 2 that its profile allows", n)
	}
	if _, err := a.SetZoneOut(t.Context(), "b", true); err == nil {
		t.Error("got no error for taking out a zone that operators never set")
	}
	if _, err := a.SetZoneOut(t.Context(), "a", true); err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Endpoints {
		if e.Zone == "a" {
			e.ForbidNewFlows(time.Now().Add(standin.EvacuationTimeLimit))
		}
	}
	f.await(t, "the time limit of the evacuation has passed", func() bool { return f.Endpoints[0].NewFlowsForbidden() })
	f.awaitRequests(t, 100)
	f.checkLedger(t)
}

// Guards against changes of operators that were accepted and are neither in force nor in
// the store after a restore, and against their revisions being given to other changes while
// instances hold the first ones.
func TestAcceptedChangeOutlivesRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(2, 40)
	f.awaitRequests(t, 60)
	store := platformstore.NewStore(f.Store.URL(), nil)
	t.Cleanup(store.Close)
	clock := carawaycart.NewSystemClock()
	changeLog := platform.NewChangeLog(store, clock)
	a := admin.NewAdmin(changeLog, "anna", clock)
	if _, err := a.Put(t.Context(), carawaycart.KindZone, "b", carawaycart.Zone{ID: "b"}); err != nil {
		t.Fatal(err)
	}
	c := f.Store.Copy()
	if _, err := a.SetZoneOut(t.Context(), "b", true); err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Endpoints {
		if e.Zone == "b" {
			e.ForbidNewFlows(time.Now().Add(standin.EvacuationTimeLimit))
		}
	}
	f.await(t, "new flows are forbidden", f.Endpoints[2].NewFlowsForbidden)
	before := f.newFlows("b")
	f.restoreAfterLostWrites(c, 0)
	f.await(t, "the change is in the store again", func() bool {
		latest, err := changeLog.Latest(t.Context())
		return err == nil && latest.Revision == 2 && latest.Zones["b"].Out
	})
	time.Sleep(drillGap)
	if got := f.newFlows("b") - before; got > 0 {
		t.Errorf("got %d new flows in the zone that is out, want none", got)
	}
	if _, err := a.SetZoneOut(t.Context(), "b", false); err != nil {
		t.Fatal(err)
	}
	f.within(t, standin.EvacuationTimeLimit, "the zone gets flows again", func() bool { return f.newFlows("b") > before })
}
