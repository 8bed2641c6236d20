// Package platform implements clients of the platform's services: the key-value
// store, by long-poll HTTP with JSON, and the list of instances, which may lag
// behind.
//
// The store supports get, list by prefix, compare-and-swap by modify index, and
// a blocking read that returns once a key's index exceeds a given one. A
// ChangeLog stores the configuration there: one entry per revision, created
// only if absent, so that the first of two concurrent operators wins, and a
// snapshot that limits replay.
package platform
