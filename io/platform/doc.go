// Package platform speaks to what the platform gives: its key-value service by
// long-poll HTTP with JSON, and its lagging list of instances.
//
// The service offers get, list by prefix, compare-and-swap by modify index, and
// a blocking read that returns once a key's index exceeds a given one. A
// ChangeLog keeps the configuration there: one entry per revision, created
// only if absent, so that the first of two racing operators wins, and a
// snapshot that bounds replay.
package platform
