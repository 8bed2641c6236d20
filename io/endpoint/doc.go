// Package endpoint implements the HTTP client for endpoints, which fetches load
// reports and forwards requests. The packets of flows reach endpoints through
// package fabric instead.
package endpoint
