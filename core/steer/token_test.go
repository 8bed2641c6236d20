package steer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"carawaycart"
)

func lifetimeKeys(n int) []carawaycart.LifetimeKey {
	keys := make([]carawaycart.LifetimeKey, n)
	for i := range keys {
		keys[i] = carawaycart.LifetimeKey{ID: carawaycart.EndpointID(fmt.Sprintf("i-%08x", i)), StartedAt: carawaycart.UnixMillis(1000 + i)}
	}
	return keys
}

// deriveNarrow derives tokens from a range so small that many collide.
func deriveNarrow(key carawaycart.LifetimeKey, n int) carawaycart.Token { return derive(key, n)%97 + 1 }

// Guards against instances that assign different tokens because they know the lifetimes
// in a different order.
func TestTokensAreIndependentOfOrder(t *testing.T) {
	keys := lifetimeKeys(30)
	want, wantOwners := assignTokens(keys, deriveNarrow)
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		got, owners := assignTokens(keys, deriveNarrow)
		if !maps.Equal(got, want) || !maps.Equal(owners, wantOwners) {
			t.Fatal("got different tokens for the same lifetimes in another order")
		}
	}
}

// Guards against a token that two lifetimes share when their derived tokens collide.
func TestTokensHaveOneOwner(t *testing.T) {
	tokens, owners := assignTokens(lifetimeKeys(30), deriveNarrow)
	collided := 0
	for key, token := range tokens {
		if owners[token] != key {
			t.Errorf("token %d of %v: got owner %v", token, key, owners[token])
		}
		if token != deriveNarrow(key, 0) {
			collided++
		}
	}
	if len(tokens) != 30 || collided == 0 {
		t.Errorf("got %d tokens, %d of them by a later derivation, want 30 and at least one", len(tokens), collided)
	}
}

// Guards against a younger lifetime that takes over the token of an older one, whose
// flows are still open.
func TestOlderLifetimeKeepsItsToken(t *testing.T) {
	keys := lifetimeKeys(40)
	before, _ := assignTokens(keys[:20], deriveNarrow)
	after, _ := assignTokens(keys, deriveNarrow)
	for key, token := range before {
		if after[key] != token {
			t.Errorf("%v: got token %d after younger lifetimes were added, want %d", key, after[key], token)
		}
	}
}

// Guards against packets that reach the next lifetime of an endpoint with the token of
// the one before.
func TestTokenDistinguishesLifetimes(t *testing.T) {
	a := derive(carawaycart.LifetimeKey{ID: "i-1", StartedAt: 1}, 0)
	b := derive(carawaycart.LifetimeKey{ID: "i-1", StartedAt: 2}, 0)
	if a == b || a == 0 || b == 0 {
		t.Errorf("got tokens %d and %d for two lifetimes of one ID, want different non-zero ones", a, b)
	}
}

// Guards against lifetimes without a token of their own because too few tokens are
// derived for each, at 21,000 lifetimes.
func TestTokensOfManyLifetimesAreDistinct(t *testing.T) {
	tokens, owners := assignTokens(lifetimeKeys(21000), derive)
	if len(tokens) != 21000 || len(owners) != 21000 {
		t.Errorf("got %d tokens and %d owners, want 21000", len(tokens), len(owners))
	}
}

func BenchmarkAssignTokens(b *testing.B) {
	for _, n := range []int{18, 150, 21000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			keys := lifetimeKeys(n)
			b.ReportAllocs()
			for b.Loop() {
				assignTokens(keys, derive)
			}
		})
	}
}
