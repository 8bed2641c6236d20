package edge_test

import (
	"net"
	"net/netip"
	"testing"

	"carawaycart/internal/edge"
	"carawaycart/internal/settings"
)

// Guards against sockets that stay open when a later one cannot be opened, so that the
// next try finds the addresses in use.
func TestOpenSocketsReleasesAllOnFailure(t *testing.T) {
	const address = "127.99.0.1:0" // no outgoing connection takes a port of it in between
	taken, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	free := func() netip.AddrPort {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	s := settings.Settings{
		FabricAddress: free(), PeerAddress: free(), ReadyAddress: free(), OperatorAddress: taken.Addr().(*net.TCPAddr).AddrPort(),
	}
	if _, err := edge.OpenSockets(s); err == nil {
		t.Fatal("got no error for an address in use")
	}
	s.OperatorAddress = free()
	sockets, err := edge.OpenSockets(s)
	if err != nil {
		t.Fatal(err)
	}
	_ = sockets.Fabric.Close()
	_ = sockets.Updates.Close()
	for _, l := range []net.Listener{sockets.Peer, sockets.Ready, sockets.Operator} {
		_ = l.Close()
	}
}
