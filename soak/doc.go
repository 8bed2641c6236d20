// Package soak runs real instances as processes and breaks things around them.
//
// A seeded series of faults overlaps: signals to processes, a store that
// misbehaves, proxies on loopback that delay, reset, silence or cut one way what
// passes, hosts that go dark, drain and come back. Meanwhile callers keep using
// their flows, and the ledger of the platform's stand-in tells from what hosts
// ran and callers were told whether a promise was broken.
//
//	go test ./soak                                  # a short run and the regression seeds
//	go test ./soak -run Long -seed 7 -runs 50 -faults 60   # by hand
package soak
