// Package config holds the configuration that operators edit, and applies the
// changes of the change log to it.
//
// A Configuration is immutable. Apply returns the next configuration, including
// the slot tables of the services. It is a pure function of the previous
// configuration and the change, so all instances that have applied the same
// revisions hold the same tables. The revision of a change is its position in the
// change log, starting at 1. Apply refuses a change whose revision is not the next
// one or that is invalid.
package config
