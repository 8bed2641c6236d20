package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"carawaycart/core/placement"
)

// Checks the order in which candidates are preferred.
func TestChoose(t *testing.T) {
	good := placement.Candidate{RequestSlots: 2, SameZone: true}
	with := func(change func(*placement.Candidate)) placement.Candidate {
		c := good
		change(&c)
		return c
	}
	busy := with(func(c *placement.Candidate) { c.Outstanding = 1 })
	queued := with(func(c *placement.Candidate) { c.Outstanding = 10 })
	remote := with(func(c *placement.Candidate) { c.SameZone = false })
	avoided := with(func(c *placement.Candidate) { c.Avoided = true })
	silent := with(func(c *placement.Candidate) { c.Silent, c.Avoided = true, true })
	lapsed := with(func(c *placement.Candidate) { c.Lapsed = true })
	atColdLimit := with(func(c *placement.Candidate) { c.Cold, c.AtColdLimit = true, true })
	cold := with(func(c *placement.Candidate) { c.Cold = true })
	failing := with(func(c *placement.Candidate) { c.Failing = true })
	tried := with(func(c *placement.Candidate) { c.Tried = true })
	for _, test := range []struct {
		name       string
		candidates []placement.Candidate
		want       int
	}{
		{"no candidates", nil, -1},
		{"fewest outstanding", []placement.Candidate{queued, busy, good}, 2},
		{"same zone before another zone", []placement.Candidate{remote, busy}, 1},
		{"another zone before a long queue", []placement.Candidate{queued, remote}, 1},
		{"long queue before avoided", []placement.Candidate{avoided, queued}, 1},
		{"silent is excluded", []placement.Candidate{silent}, -1},
		{"lapsed before avoided", []placement.Candidate{avoided, lapsed}, 1},
		{"avoided before tried", []placement.Candidate{tried, avoided}, 1},
		{"tried before silent", []placement.Candidate{silent, tried}, 1},
		{"warm before cold", []placement.Candidate{cold, good}, 1},
		{"cold before avoided", []placement.Candidate{avoided, cold}, 1},
		{"another zone before failing", []placement.Candidate{failing, remote}, 1},
		{"failing before avoided", []placement.Candidate{avoided, failing}, 1},
		{"cold at its limit is excluded", []placement.Candidate{atColdLimit}, -1},
		{"silent and cold at its limit are excluded", []placement.Candidate{silent, atColdLimit}, -1},
	} {
		if got := placement.Choose(test.candidates, func(int) int { return 1 }); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}

// Guards against an uneven distribution of flows that stay open over equal endpoints.
func TestOpenFlowsSpreadEvenly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := make([]placement.Candidate, 14)
	for i := range candidates {
		candidates[i] = placement.Candidate{RequestSlots: 2, SameZone: true}
	}
	for range 1400 {
		candidates[placement.Choose(candidates, random.IntN)].Open++
	}
	most := slices.MaxFunc(candidates, func(a, b placement.Candidate) int { return a.Open - b.Open }).Open
	if limit := 110; most > limit {
		t.Errorf("got %d flows at the busiest of 14 endpoints, want at most %d with a mean of 100", most, limit)
	}
}

func BenchmarkChoose(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := make([]placement.Candidate, 120)
	for i := range candidates {
		candidates[i] = placement.Candidate{RequestSlots: 2, SameZone: i%5 == 0, Open: i % 7}
	}
	b.ReportAllocs()
	for b.Loop() {
		placement.Choose(candidates, random.IntN)
	}
}
