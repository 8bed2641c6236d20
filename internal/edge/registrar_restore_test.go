package edge

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/platform"
	"carawaycart/platform/standin"
)

// storeUser is the part of an instance that reads the store and registers the instance.
type storeUser struct {
	store     *platform.Store
	view      *View
	registrar *Registrar
	renewals  int // calls that renewed a lease
}

// newStoreUser returns the user with the given number of an emulated store.
func newStoreUser(t *testing.T, s *standin.Store, number byte) *storeUser {
	t.Helper()
	u := &storeUser{}
	u.store = platform.NewStore(s.URL(), func(call, outcome string) {
		if call == "keep" && outcome == "done" {
			u.renewals++
		}
	})
	t.Cleanup(u.store.Close)
	clock := carawaycart.NewMonotonicClock()
	counters := NewCounters()
	own := testRegistration(number)
	r := steer.NewRouter("a", rand.NewPCG(1, 1), &observer{counters: counters, prober: NewProber(clock, counters, nil)})
	u.view = NewView(own.ID, steer.ColdLimits{}, r, clock, nil)
	u.registrar = NewRegistrar(own, u.store, u.view, clock, nil)
	return u
}

func testRegistration(number byte) carawaycart.Registration {
	return carawaycart.Registration{
		ID: carawaycart.InstanceID([]byte{'n', '0' + number}), Zone: "a",
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1 + number}), 7420),
	}
}

// readAndReconcile reads the store into the view and lets the registrar do what is due
// when the times that it waits for have passed.
func (u *storeUser) readAndReconcile(t *testing.T) {
	t.Helper()
	began := u.registrar.clock.Now()
	read, err := u.store.ReadAll(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	u.view.ApplyRead(read, began)
	u.registrar.mu.Lock()
	u.registrar.retryAt, u.registrar.gatherUntil = time.Time{}, time.Time{}
	u.registrar.mu.Unlock()
	u.registrar.Reconcile(t.Context())
}

// Guards against registrations that expire with the lease of another instance, because
// the store has assigned the ID of their lease again after a restore.
func TestReassignedLeaseIsNotWrittenUnder(t *testing.T) {
	s, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	first, second := newStoreUser(t, s, 0), newStoreUser(t, s, 1)
	c := s.Copy()
	first.readAndReconcile(t)
	first.readAndReconcile(t)
	s.Restore(c)
	second.readAndReconcile(t)
	lost := first.registrar.lease.ID
	if lost == 0 || second.registrar.lease.ID != lost {
		t.Fatalf("got lease %d of the second instance, want %d again", second.registrar.lease.ID, lost)
	}
	for range 3 {
		first.readAndReconcile(t)
	}
	if key := platform.RegistrationsKey("n0", lost); s.Has(key) {
		t.Errorf("got the item %s, written under the lease of another instance", key)
	}
	second.readAndReconcile(t)
	if got := second.view.State().Instances; len(got) != 2 {
		t.Errorf("got instances %v listed, want both", got)
	}
}

// Guards against an instance that renews the lease of another, which it takes for its own
// because the store has assigned the ID again after a restore.
func TestReassignedLeaseIsNotRenewed(t *testing.T) {
	s, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	value, err := platform.EncodeRegistrations([]carawaycart.Registration{testRegistration(0)})
	if err != nil {
		t.Fatal(err)
	}
	s.Put(platform.RegistrationsKey("n9", 1), value) // a peer has registered the first instance
	first, second := newStoreUser(t, s, 0), newStoreUser(t, s, 1)
	c := s.Copy()
	first.registrar.RequestRegistration(testRegistration(5))
	first.readAndReconcile(t)
	first.readAndReconcile(t)
	s.Restore(c)
	second.readAndReconcile(t)
	lost := first.registrar.lease.ID
	if lost == 0 || second.registrar.lease.ID != lost {
		t.Fatalf("got lease %d of the second instance, want %d again", second.registrar.lease.ID, lost)
	}
	first.registrar.renewAt = time.Time{}
	first.readAndReconcile(t)
	if first.renewals > 0 {
		t.Errorf("got %d renewals of the lease of another instance, want none", first.renewals)
	}
}
