// Package endpoint implements the HTTP client for endpoints, which fetches load
// reports and forwards requests. Package fabric forwards the packets of flows.
package endpoint
