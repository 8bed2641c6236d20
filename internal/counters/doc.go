// Package counters holds the metrics of one instance. Metrics are named in camel
// case; those that are counted by cause, fault or method have it as a suffix after
// a dot. Every dropped packet and every refused request is counted by cause.
package counters
