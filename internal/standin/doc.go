// Package standin holds small stand-ins for the outside systems: the platform's
// store and instance list, the fabric, endpoints and callers. They run inside
// the process that drives them, speak the real protocols over loopback, and
// keep a Ledger of what really arrived.
package standin
