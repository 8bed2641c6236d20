// Package eventlog writes one structured line for each decision and each change
// of belief, without ever making its caller wait.
//
// Lines go into a bounded buffer that one goroutine writes out. Each kind of
// event has an allowance a second; what exceeds it, or does not fit into the
// buffer, is left out and counted in the next line of the same kind.
package eventlog
