package rendezvous

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Name is the hash of a candidate's name.
type Name uint64

// Key is the hash of what is to be placed.
type Key uint64

// NewName returns the hash of name.
func NewName(name string) Name { return Name(xxhash.Sum64String(name)) }

// NewKey returns the hash of name.
func NewKey(name string) Key { return Key(xxhash.Sum64String(name)) }

// Score returns the weight of candidate n for key k; the highest wins.
func Score(n Name, k Key) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:8], uint64(n))
	binary.LittleEndian.PutUint64(b[8:16], uint64(k))
	return xxhash.Sum64(b[:])
}
