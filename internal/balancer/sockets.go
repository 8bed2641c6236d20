package balancer

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"carawaycart/internal/settings"
)

// udpBuffer is the size of a UDP socket's receive buffer in bytes; a burst that
// does not fit is lost.
const udpBuffer = 4 << 20

// pairTries is how often a free port is looked for that both TCP and UDP have.
const pairTries = 20

// Sockets are the open sockets of an instance.
type Sockets struct {
	Fabric   *net.UDPConn
	Relay    *net.UDPConn
	Peer     net.Listener
	Request  net.Listener
	Operator net.Listener
}

// Open opens the sockets that s names. A port of zero takes any free one; the
// peer port is then the same for TCP and UDP.
func Open(s settings.Settings) (*Sockets, error) {
	o := &Sockets{}
	var err error
	for range pairTries {
		if err = o.openPeer(s.Peer); err == nil || s.Peer.Port() != 0 {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if o.Fabric, err = listenUDP(s.Fabric, "fabric"); err != nil {
		o.Close()
		return nil, err
	}
	if o.Request, err = listen(s.Request, "request"); err != nil {
		o.Close()
		return nil, err
	}
	if o.Operator, err = listen(s.Operator, "operator"); err != nil {
		o.Close()
		return nil, err
	}
	return o, nil
}

// openPeer opens the TCP and UDP sockets for peers with one port number.
func (o *Sockets) openPeer(a netip.AddrPort) error {
	var err error
	if o.Peer, err = listen(a, "peer"); err != nil {
		return err
	}
	port := o.Peer.Addr().(*net.TCPAddr).AddrPort().Port()
	if o.Relay, err = listenUDP(netip.AddrPortFrom(a.Addr(), port), "peer"); err != nil {
		_ = o.Peer.Close()
		o.Peer = nil
	}
	return err
}

func listen(a netip.AddrPort, name string) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, errors.Annotatef(err, "listen for %s", name)
}

func listenUDP(a netip.AddrPort, name string) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// The kernel caps the size silently, so a failure changes nothing.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, udpBuffer)
		})
	}}
	conn, err := config.ListenPacket(context.Background(), "udp", a.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", name)
	}
	return conn.(*net.UDPConn), nil
}

// Close closes the sockets that are open.
func (o *Sockets) Close() {
	for _, l := range []net.Listener{o.Peer, o.Request, o.Operator} {
		if l != nil {
			_ = l.Close()
		}
	}
	for _, c := range []*net.UDPConn{o.Fabric, o.Relay} {
		if c != nil {
			_ = c.Close()
		}
	}
}
