package steer

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
)

// maxDerivations limits the tokens that are derived for one lifetime. With 21,000
// lifetimes, a third one is needed about once in 10^10 days.
const maxDerivations = 4

// provisionalBit is the bit in which the token of a first packet differs from the token of the
// lifetime, so that callers show whether they repeat an answer to a first packet or a later
// packet of the flow's endpoint.
const provisionalBit carawaycart.Token = 1 << 31

// derive returns the n-th of the tokens that a lifetime may get, counted from zero. It
// is a hash of key and n. Neither the token nor its provisional form is zero.
func derive(key carawaycart.LifetimeKey, n int) carawaycart.Token {
	var b [9]byte
	binary.BigEndian.PutUint64(b[:8], uint64(key.StartedAt))
	b[8] = byte(n)
	h := xxhash.New()
	_, _ = h.WriteString(string(key.ID))
	_, _ = h.Write(b[:])
	sum := h.Sum64()
	t := carawaycart.Token(sum ^ sum>>32)
	if t&^provisionalBit == 0 {
		t = 1
	}
	return t
}

// assignTokens returns the token of each lifetime and the owner of each token.
//
// If two lifetimes derive the same token, or tokens that differ only in provisionalBit, it belongs to the older one, and the younger
// one gets the next token that it derives. An instance that does not know the older one
// may have assigned the skipped token to the younger one. A lifetime whose
// maxDerivations tokens all belong to older ones has none.
func assignTokens(keys []carawaycart.LifetimeKey, deriveToken func(carawaycart.LifetimeKey, int) carawaycart.Token,
) (tokens map[carawaycart.LifetimeKey]carawaycart.Token, owners map[carawaycart.Token]carawaycart.LifetimeKey) {
	sorted := slices.Clone(keys)
	slices.SortFunc(sorted, func(a, b carawaycart.LifetimeKey) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
	})
	tokens = make(map[carawaycart.LifetimeKey]carawaycart.Token, len(sorted))
	owners = make(map[carawaycart.Token]carawaycart.LifetimeKey, len(sorted))
	for _, key := range sorted {
		for n := range maxDerivations {
			t := deriveToken(key, n)
			_, taken := owners[t]
			if _, provisional := owners[t^provisionalBit]; taken || provisional {
				continue
			}
			owners[t], tokens[key] = key, t
			break
		}
	}
	return tokens, owners
}
