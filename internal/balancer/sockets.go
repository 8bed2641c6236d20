package balancer

import (
	"net"
	"net/netip"

	"carawaycart/internal/settings"
	"carawaycart/io/socket"
)

// udpReceiveBuffer is the size of a UDP socket's receive buffer in bytes.
// Packets of a burst that exceed it are lost.
const udpReceiveBuffer = 4 << 20

// peerPortAttempts is the number of attempts to find a port that is free for
// both TCP and UDP.
const peerPortAttempts = 20

// Sockets are the open sockets of an instance.
type Sockets struct {
	Fabric   *net.UDPConn // packets from the fabric
	Relay    *net.UDPConn // packets relayed by peers, on the port of Peer
	Peer     net.Listener // calls of peers
	Request  net.Listener // requests of callers
	Operator net.Listener // HTTP requests of operators
}

// Open opens the sockets that s names. Port zero selects any free port; the
// peer port is then the same for TCP and UDP. On an error all sockets are
// closed.
func Open(s settings.Settings) (*Sockets, error) {
	o := &Sockets{}
	var err error
	for range peerPortAttempts {
		if err = o.openPeer(s.PeerAddress); err == nil || s.PeerAddress.Port() != 0 {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if o.Fabric, err = socket.ListenUDP(s.FabricAddress, "fabric", udpReceiveBuffer); err != nil {
		o.Close()
		return nil, err
	}
	if o.Request, err = socket.Listen(s.RequestAddress, "request"); err != nil {
		o.Close()
		return nil, err
	}
	if o.Operator, err = socket.Listen(s.OperatorAddress, "operator"); err != nil {
		o.Close()
		return nil, err
	}
	return o, nil
}

// openPeer opens the TCP and UDP sockets for peers on the same port.
func (o *Sockets) openPeer(a netip.AddrPort) error {
	var err error
	if o.Peer, err = socket.Listen(a, "peer"); err != nil {
		return err
	}
	port := o.Peer.Addr().(*net.TCPAddr).AddrPort().Port()
	if o.Relay, err = socket.ListenUDP(netip.AddrPortFrom(a.Addr(), port), "peer", udpReceiveBuffer); err != nil {
		_ = o.Peer.Close()
		o.Peer = nil
	}
	return err
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
