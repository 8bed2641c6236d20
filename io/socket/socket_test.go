package socket_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"carawaycart/io/socket"
)

func TestAnAddressThatIsTakenIsNamed(t *testing.T) {
	any := netip.MustParseAddrPort("127.0.0.1:0")
	l, err := socket.Listen(any, "peer")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if _, err := socket.Listen(l.Addr().(*net.TCPAddr).AddrPort(), "peer"); err == nil || !strings.Contains(err.Error(), "listen for peer") {
		t.Errorf("got error %v, want one that names the peer socket", err)
	}
	for _, buffer := range []int{0, 1 << 16} {
		c, err := socket.ListenUDP(any, "fabric", buffer)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := socket.ListenUDP(c.LocalAddr().(*net.UDPAddr).AddrPort(), "fabric", buffer); err == nil || !strings.Contains(err.Error(), "listen for fabric") {
			t.Errorf("buffer of %d: got error %v, want one that names the fabric socket", buffer, err)
		}
		_ = c.Close()
	}
}
