// Package soak runs real instances as processes and injects faults into their
// environment.
//
// Each run injects a seeded series of overlapping faults: signals to processes,
// errors of the store, restores of the store from a copy, proxies on loopback that
// delay, reset or drop traffic in one or both directions, and endpoints that become
// silent, drain and recover. Emulated callers send packets and keyed requests
// throughout. The ledger of the emulated platform compares the requests that
// endpoints executed with the answers that callers received, and reports violated
// guarantees.
//
//	go test ./soak                                         # all tests but the long runs
//	go test ./soak -run Long -seed 7 -runs 50 -faults 60   # long runs, started by hand
package soak
