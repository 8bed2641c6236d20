// Package operator speaks HTTP to operators and their monitoring: metrics in
// the Prometheus text format, the instance's status and explanations as JSON.
package operator
