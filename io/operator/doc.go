// Package operator implements the HTTP interface for operators and their
// monitoring: metrics in the Prometheus text format, and the status of the
// instance and the explanations of flows and keys as JSON.
package operator
