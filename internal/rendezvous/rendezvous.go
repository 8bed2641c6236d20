package rendezvous

import "github.com/cespare/xxhash/v2"

// Name is a candidate, represented by the hash of its name.
type Name uint64

// Key is a key to be assigned to a candidate, represented by its hash.
type Key uint64

// NewName returns the candidate with the given name.
func NewName(name string) Name { return Name(xxhash.Sum64String(name)) }

// NewKey returns the key with the given name.
func NewKey(name string) Key { return Key(xxhash.Sum64String(name)) }

// Score returns the weight of candidate n for key k; the highest wins. It mixes
// the two hashes with the finalizer of SplitMix64, from G. Steele, D. Lea and
// C. Flood, "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014.
func Score(n Name, k Key) uint64 {
	const gamma = 0x9e3779b97f4a7c15 // increment of SplitMix64, from the golden ratio
	x := uint64(n) ^ (uint64(k)+1)*gamma
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
