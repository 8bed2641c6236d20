// Package standin emulates the systems around a balancer instance: the
// platform's store and instance list, the fabric, endpoints and callers. The
// emulators run inside the process that drives them, implement the real protocols
// over loopback, and record the observed traffic in a Ledger.
//
// Flow callers open feeds, which are long-lived flows, or uploads, which are short
// ones. Request callers send keyed requests, which are called orders in the JSON
// form of the totals and on the wire.
package standin
