package socket

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Listen returns a listener for TCP connections at address a. Errors contain name,
// the purpose of the listener.
func Listen(a netip.AddrPort, name string) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, errors.Annotatef(err, "listen for %s", name)
}

// ListenUDP returns a UDP socket bound to address a. It requests a receive buffer of
// bufferBytes bytes, or leaves the kernel's default if bufferBytes is zero. Errors
// contain name, the purpose of the socket.
func ListenUDP(a netip.AddrPort, name string, bufferBytes int) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if bufferBytes == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			// The kernel may silently grant less, so the size is best effort and
			// errors are ignored too.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
		})
	}}
	network := "udp6"
	if a.Addr().Is4() {
		network = "udp4"
	}
	conn, err := config.ListenPacket(context.Background(), network, a.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", name)
	}
	return conn.(*net.UDPConn), nil
}
