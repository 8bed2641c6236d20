// Package configtest builds configurations for tests.
package configtest
