package socket_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"carawaycart/io/socket"
)

// Listening on an address in use must return an error with the name of the socket,
// or operators could not tell which of the configured addresses is in use.
func TestListenErrorContainsName(t *testing.T) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	l, err := socket.Listen(anyPort, "peer")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if _, err := socket.Listen(l.Addr().(*net.TCPAddr).AddrPort(), "peer"); err == nil || !strings.Contains(err.Error(), "listen for peer") {
		t.Errorf("got error %v, want it to contain \"listen for peer\"", err)
	}
	for _, bufferBytes := range []int{0, 1 << 16} {
		c, err := socket.ListenUDP(anyPort, "fabric", bufferBytes)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := socket.ListenUDP(c.LocalAddr().(*net.UDPAddr).AddrPort(), "fabric", bufferBytes); err == nil || !strings.Contains(err.Error(), "listen for fabric") {
			t.Errorf("buffer of %d bytes: got error %v, want it to contain \"listen for fabric\"", bufferBytes, err)
		}
		_ = c.Close()
	}
}
