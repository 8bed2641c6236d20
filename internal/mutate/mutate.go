package mutate

import (
	"math/rand/v2"
	"slices"
)

// Each calls f with count damaged copies of samples, the same for the same seed.
// Each copy has bytes flipped, and may be cut short or have a part repeated.
func Each(seed uint64, count int, samples [][]byte, f func([]byte)) {
	random := rand.New(rand.NewPCG(seed, 0))
	for range count {
		data := slices.Clone(samples[random.IntN(len(samples))])
		for range random.IntN(4) {
			if len(data) > 0 {
				data[random.IntN(len(data))] ^= byte(1 << random.IntN(8))
			}
		}
		switch random.IntN(4) {
		case 0:
			data = data[:random.IntN(len(data)+1)]
		case 1:
			at := random.IntN(len(data) + 1)
			data = append(data[:at], append(slices.Clone(data[:at]), data[at:]...)...)
		}
		f(data)
	}
}
