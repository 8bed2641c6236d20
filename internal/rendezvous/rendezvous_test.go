package rendezvous_test

import (
	"fmt"
	"testing"

	"carawaycart/internal/rendezvous"
)

// Every candidate must win an equal share of the keys to within 8%, even if the
// keys are consecutive numbers instead of hashes. A score that mixes its arguments
// poorly would give some candidates more keys.
func TestScoreIsUniform(t *testing.T) {
	const candidates, keys = 16, 32000
	for _, test := range []struct {
		name string
		key  func(i int) rendezvous.Key
	}{
		{"consecutive keys", func(i int) rendezvous.Key { return rendezvous.Key(i) }},
		{"hashed keys", func(i int) rendezvous.Key { return rendezvous.NewKey(fmt.Sprint("key-", i)) }},
	} {
		wins := make([]int, candidates)
		for i := range keys {
			best, bestScore := 0, uint64(0)
			for c := range candidates {
				if s := rendezvous.Score(rendezvous.NewName(fmt.Sprint("candidate-", c)), test.key(i)); s >= bestScore {
					best, bestScore = c, s
				}
			}
			wins[best]++
		}
		for c, n := range wins {
			if mean := keys / candidates; n < mean*92/100 || n > mean*108/100 {
				t.Errorf("%s: candidate %d won %d keys, want %d within 8%%", test.name, c, n, mean)
			}
		}
	}
}

func BenchmarkScore(b *testing.B) {
	n, k := rendezvous.NewName("a"), rendezvous.Key(0)
	for b.Loop() {
		rendezvous.Score(n, k)
		k++
	}
}
