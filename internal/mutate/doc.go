// Package mutate damages valid inputs in a repeatable way, for tests that a
// decoder survives any input.
package mutate
