// Package socket opens the TCP and UDP sockets on which an instance listens.
package socket
