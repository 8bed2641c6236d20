package edge

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"carawaycart"
	"carawaycart/internal/eventlog"
)

// Guards against lines that do not tell a refused first packet, or which copy of it, from
// refused data.
func TestRefusedLineTellsThePacket(t *testing.T) {
	key := carawaycart.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.1:1024"), Service: netip.MustParseAddrPort("198.18.0.1:8443")}
	for _, test := range []struct {
		packet carawaycart.Packet
		want   string
	}{
		{carawaycart.Packet{Kind: carawaycart.PacketFirst}, "packet=first copy=0 "},
		{carawaycart.Packet{Kind: carawaycart.PacketFirst, Retransmissions: 2}, "packet=first copy=2 "},
		{carawaycart.Packet{PayloadBytes: 10}, "packet=data copy=0 "},
		{carawaycart.Packet{}, "packet=ack copy=0 "},
		{carawaycart.Packet{Kind: carawaycart.PacketLast}, "packet=last copy=0 "},
	} {
		var out bytes.Buffer
		log := eventlog.New("a", &out)
		test.packet.Key = key
		(&observer{log: log}).Refused(&test.packet, carawaycart.CauseSilent, true, 1)
		log.Close()
		if got := out.String(); !strings.Contains(got, " "+test.want) {
			t.Errorf("got %q, want it to contain %q", got, test.want)
		}
	}
}
