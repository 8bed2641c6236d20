// Package counters holds the metrics of one instance. Metrics are named in
// camel case and grouped by what they count; every dropped packet and every
// refused request is counted by cause.
package counters
