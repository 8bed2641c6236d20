package board_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/internal/configtest"
)

// serviceAddress returns the address of service-0.
func serviceAddress() netip.AddrPort { return netip.MustParseAddrPort("192.0.0.0:443") }

// The tables of a revision must become active after 1 s and be the only recent
// ones after 2 s. Otherwise instances that have not yet received the revision would
// route packets by other tables.
func TestTablesTakeEffectInSteps(t *testing.T) {
	b := board.New("i1")
	c := newConfig(t, configSize{1, 4})
	b.SetConfig(c, start)
	old := b.View().Service(serviceAddress()).Active
	e := c.Endpoints["endpoint-0"]
	e.Mark = carawaycart.MarkLeaving
	b.SetConfig(configtest.MustPut(t, c, carawaycart.KindEndpoint, "endpoint-0", e), start)
	var movedFlow carawaycart.Fingerprint
	for old.Slot(old.Index(movedFlow)).Current.ID != "endpoint-0" {
		movedFlow++
	}
	for _, test := range []struct {
		after          time.Duration
		active, stable bool
	}{
		{0, false, false},
		{999 * time.Millisecond, false, false},
		{time.Second, true, false},
		{1999 * time.Millisecond, true, false},
		{2 * time.Second, true, true},
	} {
		b.Tick(start.Add(test.after))
		r := b.View().Service(serviceAddress())
		stable, baseStable := r.Stable(movedFlow)
		if active := r.Active != old; active != test.active || stable != test.stable || !baseStable {
			t.Errorf("after %v: got active %t, stable %t, base stable %t; want %t, %t, true",
				test.after, active, stable, baseStable, test.active, test.stable)
		}
	}
}

// A configuration that arrives late must not replace a newer one.
func TestSetConfigRejectsOlderRevision(t *testing.T) {
	b := board.New("i1")
	c := newConfig(t, configSize{1, 4})
	n := configtest.MustPut(t, c, carawaycart.KindZone, "zone-0", carawaycart.Zone{ID: "zone-0", Out: true})
	b.SetConfig(n, start)
	for _, old := range []*config.Configuration{c, n} {
		if b.SetConfig(old, start) {
			t.Errorf("revision %d replaced revision %d", old.Revision, n.Revision)
		}
	}
	if b.Revision() != n.Revision {
		t.Errorf("got revision %d, want %d", b.Revision(), n.Revision)
	}
}

// Instances of a zone that returned to service must not be keepers until they
// hold the state of the objects whose keepers they will become.
func TestReturnedZoneHoldsReplicasFirst(t *testing.T) {
	b := board.New("i1")
	c := newConfig(t, configSize{1, 4})
	b.SetConfig(c, start)
	var members []carawaycart.Member
	for i := range 8 {
		members = append(members, carawaycart.Member{
			ID: carawaycart.InstanceID(fmt.Sprintf("i%d", i)), Zone: carawaycart.ZoneID(fmt.Sprintf("zone-%d", i%2)),
			PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), State: carawaycart.MemberReady,
		})
	}
	b.SetMembers(members)
	check := func(when string, candidates, total int) {
		t.Helper()
		if v := b.Members(); len(v.KeeperCandidates()) != candidates || v.Len() != total {
			t.Errorf("%s: got %d of %d instances that can be keeper, want %d of %d", when, len(v.KeeperCandidates()), v.Len(), candidates, total)
		}
	}
	check("in service", 8, 8)
	c = configtest.MustPut(t, c, carawaycart.KindZone, "zone-0", carawaycart.Zone{ID: "zone-0", Out: true})
	b.SetConfig(c, start)
	check("out", 4, 4)
	c = configtest.MustPut(t, c, carawaycart.KindZone, "zone-0", carawaycart.Zone{ID: "zone-0"})
	b.SetConfig(c, start)
	check("returned", 4, 8)
	b.Tick(start.Add(time.Second))
	check("returned for 1 s", 4, 8)
	b.Tick(start.Add(2 * time.Second))
	check("returned for 2 s", 8, 8)
}

// Boards with equal statuses must have equal digests, whether they issued or
// received the statuses.
func TestStatusDigest(t *testing.T) {
	x, y := board.New("x"), board.New("y")
	for i := range 5 {
		id := carawaycart.EndpointID(fmt.Sprintf("e%d", i))
		x.Entry(id).UpdateStatus("x", carawaycart.EndpointCold, true)
		s, _ := x.Entry(id).UpdateStatus("x", carawaycart.EndpointOpen, false)
		if x.StatusDigest() == y.StatusDigest() {
			t.Fatalf("%s: got equal digests of different statuses", id)
		}
		y.Entry(id).MergeStatus(s)
		if x.StatusDigest() != y.StatusDigest() {
			t.Fatalf("%s: got different digests of equal statuses", id)
		}
	}
}

// A status that arrives late must not replace a newer one, and of two keepers that
// issue the same version the same one must win everywhere.
func TestNewerStatusWins(t *testing.T) {
	status := func(v carawaycart.StatusVersion, keeper carawaycart.InstanceID, guarded bool) carawaycart.EndpointStatus {
		return carawaycart.EndpointStatus{Endpoint: "e", Version: v, Keeper: keeper, Guarded: guarded}
	}
	for _, test := range []struct {
		name     string
		next     carawaycart.EndpointStatus
		accepted bool
	}{
		{"newer", status(6, "a", true), true},
		{"older", status(4, "z", true), false},
		{"same version, greater keeper", status(5, "c", true), true},
		{"same version, lesser keeper", status(5, "a", true), false},
	} {
		e := board.New("i1").Entry("e")
		e.MergeStatus(status(5, "b", false))
		if got := e.MergeStatus(test.next); got != test.accepted || e.Guarded() != test.accepted {
			t.Errorf("%s: got accepted %t and guarded %t, want both %t", test.name, got, e.Guarded(), test.accepted)
		}
	}
}
