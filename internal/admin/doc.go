// Package admin implements the configuration changes of operators. Each change is
// one entry of the change log. Package io/platform describes how concurrent changes
// and lost answers of the store are handled.
package admin
