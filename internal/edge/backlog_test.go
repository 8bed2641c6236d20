package edge_test

import (
	"encoding/binary"
	"net"
	"strconv"
	"testing"

	"carawaycart/platform/standin"
)

// An instance starts while the store is slow and callers send to it already. Guards
// against dropping their packets: callers would send again only when their budget is
// nearly spent.
func TestPacketsBeforeFirstViewAreForwarded(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, 1)
	i := f.instances[0]
	f.kill(i)
	f.Store.SetFault(i.machine.StoreURL, standin.FaultSlow)
	before := f.Endpoints[0].NewFlows() + f.Endpoints[1].NewFlows()
	f.start(t, i, "")
	conn, err := net.Dial("udp4", net.JoinHostPort(i.machine.IP, strconv.Itoa(standin.PacketPort)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const flows = 3
	for n := range flows {
		if _, err := conn.Write(firstPacket(uint16(4000 + n))); err != nil {
			t.Fatal(err)
		}
	}
	f.await(t, "all first packets have reached an endpoint", func() bool {
		return f.Endpoints[0].NewFlows()+f.Endpoints[1].NewFlows() >= before+flows
	})
	f.checkLedger(t)
}

// firstPacket returns the first packet of a flow from the given port of a caller.
func firstPacket(port uint16) []byte {
	const signature, flagSYN = 0x5ea1ed00, 128
	b := make([]byte, 32)
	binary.BigEndian.PutUint32(b[10:], signature)
	b[14] = flagSYN
	service := standin.FeedAddress.Addr().As4()
	copy(b[16:], service[:])
	copy(b[20:], []byte{127, 0, 0, 1})
	binary.BigEndian.PutUint16(b[24:], port)
	binary.BigEndian.PutUint16(b[26:], standin.FeedAddress.Port())
	return b
}
