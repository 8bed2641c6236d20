// Package platform implements HTTP clients of the platform's services: the
// key-value store, and the list of instances, which may lag behind.
//
// The store supports get, list by prefix, compare-and-swap by modify index, and a
// blocking read (long poll) that returns once the modify index of a key exceeds a
// given one. A ChangeLog stores the configuration there as one entry per revision,
// and as a snapshot that limits how many entries readers replay. An entry is
// created only if it is absent, so that of two concurrent changes the first
// succeeds.
package platform
