// Package demo runs several instances and the emulated systems of packages
// internal/standin and platform/standin in one process on loopback. It drives them
// through planned changes and failures and reports the events that the emulated
// endpoints and callers observed.
//
// The load consists of feeds, which are long-lived flows, uploads, which are short
// flows, and keyed requests, which the output calls orders.
package demo
