package steer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycart"
)

// Guards against more flows to a cold endpoint in any second than its limit, at any
// load and also while each half of the instances does not know the other half.
func TestColdEndpointStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 24).Draw(t, "instances")
		f := newFleet(instances, 3)
		cold := f.contents.Lifetimes[0]
		cold.ColdRemaining = 10 * time.Second
		f.contents.Revisions = map[carawaycart.LifetimeKey]carawaycart.StoreRevision{cold.Key(): 9}
		f.update(start)
		if rapid.Bool().Draw(t, "views differ") {
			for i := range f.routers {
				f.setTable(i, f.contents.Instances[i%2*instances/2:], start)
			}
		}
		perSecond := rapid.IntRange(1, 400).Draw(t, "flows a second")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var forwarded []time.Duration
		for n := range 4 * perSecond {
			at := time.Duration(n) * time.Second / time.Duration(perSecond)
			d := f.routers[random.IntN(instances)].Decide(first(n, feed), start.Add(at))
			if d.Endpoint == cold.ID {
				forwarded = append(forwarded, at)
			}
		}
		const limit = 4*1.5 + 5 // ColdRequestRate, ColdOverrun and ColdSlack of newFleet
		for i := range forwarded {
			end, _ := slices.BinarySearch(forwarded, forwarded[i]+time.Second)
			if n := end - i; n > limit {
				t.Fatalf("got %d flows in the second from %v, want at most %v", n, forwarded[i], float64(limit))
			}
		}
	})
}

// Guards against refusing all flows when every endpoint is cold. Each endpoint still
// gets its share, and the other flows are reset with the cause cold.
func TestAllEndpointsColdStillServe(t *testing.T) {
	f := newFleet(2, 4)
	f.contents.Revisions = make(map[carawaycart.LifetimeKey]carawaycart.StoreRevision)
	for _, l := range f.contents.Lifetimes {
		l.ColdRemaining = 10 * time.Second
		f.contents.Revisions[l.Key()] = 9
	}
	f.update(start)
	served := 0
	for n := range 100 {
		d := f.routers[n%2].Decide(first(n, feed), start.Add(time.Duration(n)*5*time.Millisecond))
		switch {
		case d.Verdict == carawaycart.VerdictForward:
			served++
		case d.Verdict != carawaycart.VerdictReset || d.Cause != carawaycart.CauseCold:
			t.Fatalf("flow %d: got verdict %d for %s, want a reset for cold", n, d.Verdict, d.Cause)
		}
	}
	if want := 4 * 5; served != want {
		t.Errorf("got %d flows served in half a second, want %d: half of each limit", served, want)
	}
}

// Guards against a burst of flows to a zone that was out and takes new flows again. Its
// endpoints may have become cold before their entries say so.
func TestReturningZoneCountsAsCold(t *testing.T) {
	f := newFleet(1, 2)
	f.contents.ZonesOut = []carawaycart.ZoneID{"a"}
	f.update(start)
	f.contents.ZonesOut = nil
	f.update(start.Add(time.Second))
	counts := make(map[carawaycart.EndpointID]int)
	for n := range 50 {
		counts[f.routers[0].Decide(first(n, feed), start.Add(time.Second+time.Duration(n)*time.Millisecond)).Endpoint]++
	}
	if counts["i-01"] > 5 {
		t.Errorf("got %d flows immediately at an endpoint of the returning zone, want at most 5", counts["i-01"])
	}
	counts["i-01"] = 0
	for n := range 50 {
		counts[f.routers[0].Decide(first(100+n, feed), start.Add(5*time.Second+time.Duration(n)*time.Millisecond)).Endpoint]++
	}
	if counts["i-01"] <= 5 {
		t.Errorf("got %d flows at the endpoint 4 s after its zone returned, want more than 5, as for a warm one", counts["i-01"])
	}
}
