// Package peer carries calls between instances: net/rpc over TCP, with the
// messages of package message as bodies. Every method is idempotent, so a call
// whose connection broke is tried once more on a new one.
package peer
