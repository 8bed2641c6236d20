package edge

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/platform"
	"carawaycart/platform/standin"
)

// A starting fleet asks one instance to register it, in several batches. Guards against an
// item for each instance, which makes every read of a large fleet take several pages, and
// against a later batch that replaces an earlier one.
func TestRegistrationsShareOneItem(t *testing.T) {
	emulated, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer emulated.Close()
	store := platform.NewStore(emulated.URL(), nil)
	defer store.Close()
	clock := carawaycart.NewMonotonicClock()
	counters := NewCounters()
	r := steer.NewRouter("a", rand.NewPCG(1, 1), &observer{counters: counters, prober: NewProber(clock, counters, nil)})
	view := NewView("n-0", steer.ColdLimits{}, r, clock, nil)
	registration := func(n int) carawaycart.Registration {
		return carawaycart.Registration{
			ID: carawaycart.InstanceID(string(rune('a' + n%26))), Zone: "a",
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 26), byte(1 + n%26)}), 7420),
		}
	}
	g := NewRegistrar(registration(0), store, view, clock, nil)
	const instances = 26
	for n := range instances {
		if err := g.register(t.Context(), []carawaycart.Registration{registration(n)}, clock.Now()); err != nil {
			t.Fatal(err)
		}
	}
	moved := registration(instances + 3) // the ID of another one, at a new address
	if err := g.register(t.Context(), []carawaycart.Registration{moved}, clock.Now()); err != nil {
		t.Fatal(err)
	}
	read, err := store.ReadAll(t.Context(), "carawaycart/instances/")
	if err != nil || len(read.Items) != 1 {
		t.Fatalf("got %d items, %v, want one", len(read.Items), err)
	}
	view.ApplyRead(read, clock.Now())
	got := view.State().Instances
	if len(got) != instances || got[3] != moved {
		t.Errorf("got %d instances, the fourth at %v, want %d, and %v", len(got), got[min(3, len(got)-1)], instances, moved)
	}
}
