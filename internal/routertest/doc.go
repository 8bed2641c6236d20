// Package routertest is the conformance suite of carawaycart.Router.
package routertest
