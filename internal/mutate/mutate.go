package mutate

import (
	"math/rand/v2"
	"slices"
)

// Each calls f count times, each time with a corrupted copy of a randomly chosen
// sample. Equal seeds give equal copies. A copy has up to three bits flipped, and may
// be truncated or have a prefix repeated, so that it may also equal the sample.
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
