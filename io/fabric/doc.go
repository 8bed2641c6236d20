// Package fabric speaks to the platform's fabric, which hands over packets in
// Geneve (RFC 8926) over UDP. The balancer sends the same datagram on to an
// endpoint, or once to the peer that has to decide about it.
package fabric
