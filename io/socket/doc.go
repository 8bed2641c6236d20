// Package socket opens the listening sockets of an instance.
package socket
