// Package eventlog writes a structured log with one line per event, such as a
// forwarding decision or a change in the assumed state of an endpoint. Logging
// never waits for the writer.
//
// Lines go into a bounded buffer that one goroutine writes out. Each kind of
// event has a quota of lines per second. Lines that exceed the quota or do not
// fit into the buffer are omitted and counted in the next line of the same kind.
package eventlog
