// Package endpoint implements the HTTP client for endpoints, which fetches load
// reports and forwards requests.
package endpoint
