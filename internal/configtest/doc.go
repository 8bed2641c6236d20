// Package configtest helps tests to build configurations.
package configtest
