// Package peer implements remote procedure calls between instances: net/rpc over
// TCP, with the messages of package message as bodies. Every method is
// idempotent, so a call is retried once on a new connection if its connection
// fails.
package peer
