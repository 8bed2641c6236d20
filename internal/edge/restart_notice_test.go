package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycart"
	"carawaycart/message"
	"carawaycart/platform"
)

// newNeighbor returns the socket of a peer in zone, and the item of its registration.
func newNeighbor(t *testing.T, id, zone string) (*net.UDPConn, carawaycart.StoreItem) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	value := fmt.Sprintf(`{"zone":%q,"peerAddress":%q}`, zone, conn.LocalAddr())
	return conn, testItem("carawaycart/instances/"+id, 11, value)
}

// receiveUpdate returns the next update that conn receives.
func receiveUpdate(t *testing.T, conn *net.UDPConn) *message.DirectoryNews {
	t.Helper()
	buf := make([]byte, maxUpdateBytes)
	n, err := conn.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	update := &message.DirectoryNews{}
	if err := proto.Unmarshal(buf[:n], update); err != nil {
		t.Fatal(err)
	}
	return update
}

// An endpoint starts again while the store fails, and the probe of one instance finds that
// out. Guards against peers that go on to send it new flows at their usual rate, in the own
// zone or in others.
func TestRestartFoundByProbeIsToldToPeers(t *testing.T) {
	const restarted = `{"id":"i-1","born":6}`
	first := &carawaycart.Packet{Kind: carawaycart.PacketFirst, Key: carawaycart.FlowKey{
		Caller: netip.MustParseAddrPort("100.64.0.1:40000"), Service: netip.MustParseAddrPort("198.18.0.1:8443"), Protocol: carawaycart.TCP,
	}}
	entry := testItem("servers/i-1", 11, strings.Replace(testEntry, `"address":"10.0.0.1:80"`, `"address":"127.0.0.1:9"`, 1))
	inZone, inZoneItem := newNeighbor(t, "neighbor", "a")
	relay, relayItem := newNeighbor(t, "relay", "b")
	d, v, prober := newTestInstance(t)
	prober.notifyRestarted = d.BroadcastRestart
	prober.client.Transport = roundTripper(func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(restarted))}, nil
	})
	v.ApplyRead(platform.RangeResult{Revision: 11, Items: []carawaycart.StoreItem{inZoneItem, relayItem, entry}}, d.clock.Now())
	prober.Probe(&carawaycart.Lifetime{ID: "i-1", StartedAt: 5, Address: netip.MustParseAddrPort("127.0.0.1:9")})
	for _, conn := range []*net.UDPConn{inZone, relay} {
		update := receiveUpdate(t, conn)
		if want := conn == relay; len(update.GetRestartedTokens()) != 1 || update.GetRelay() != want {
			t.Fatalf("got %v, want one restart, to be relayed: %t", update, want)
		}
		onward, onwardItem := newNeighbor(t, "onward", "a")
		peer, peerView := newTestDisseminator(t)
		config := testItem("op/config", 5, testConfig)
		peerView.ApplyRead(platform.RangeResult{Revision: 11, Items: []carawaycart.StoreItem{config, onwardItem, entry}}, peer.clock.Now())
		update.From = "prober"
		data, err := proto.Marshal(update)
		if err != nil {
			t.Fatal(err)
		}
		peer.receive(data, conn.LocalAddr().(*net.UDPAddr).AddrPort())
		if got := peer.router.Decide(first, peer.clock.Now()); got.Cause != carawaycart.CauseCold {
			t.Errorf("got verdict %d for %s at a peer that was told, want a reset for cold", got.Verdict, got.Cause)
		}
		if conn == inZone {
			continue
		}
		if relayed := receiveUpdate(t, onward); len(relayed.GetRestartedTokens()) != 1 || relayed.GetRelay() {
			t.Errorf("got %v relayed, want the restart", relayed)
		}
	}
}
