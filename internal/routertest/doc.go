// Package routertest provides the conformance tests that every implementation of
// carawaycart.Router must pass.
package routertest
