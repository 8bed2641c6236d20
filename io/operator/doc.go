// Package operator implements the HTTP interface for operators and their
// monitoring. It serves metrics in the Prometheus text format, and as JSON the
// status of the instance and explanations of how it handles a flow or a keyed
// request.
package operator
