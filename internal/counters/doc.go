// Package counters holds the metrics of one instance. Counters are named in
// camel case and grouped by what they count; every dropped packet and refused
// request is counted by its cause.
package counters
