// Package mutate generates corrupted copies of valid inputs, reproducibly from a
// seed, for tests that decoders handle arbitrary input.
package mutate
