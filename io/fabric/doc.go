// Package fabric implements the data path to the platform's fabric, which
// delivers packets encapsulated in Geneve (RFC 8926) over UDP. The balancer
// forwards each datagram unchanged to an endpoint, or at most once to the peer
// that decides on its flow.
package fabric
