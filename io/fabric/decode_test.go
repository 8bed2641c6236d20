package fabric_test

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"carawaycart"
	"carawaycart/internal/mutate"
	"carawaycart/io/fabric"
)

// tcpPacket returns a Geneve datagram with an IPv4 packet of TCP after modify has
// set its headers. Without changes, it is a data packet: only ACK is set.
func tcpPacket(tb testing.TB, modify func(*layers.IPv4, *layers.TCP)) []byte {
	tb.Helper()
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: []byte{198, 51, 100, 1}, DstIP: []byte{192, 0, 2, 1},
	}
	tcp := &layers.TCP{SrcPort: 40000, DstPort: 443, ACK: true}
	modify(ip, tcp)
	b := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, ip, tcp, gopacket.Payload("data")); err != nil {
		tb.Fatal(err)
	}
	datagram, err := fabric.Encode(b.Bytes(), 7)
	if err != nil {
		tb.Fatal(err)
	}
	return datagram
}

// Guards against TCP flags being mapped to the wrong kind: a packet that wrongly
// opens or ends a flow would misroute the later packets of the flow.
func TestDecodeKinds(t *testing.T) {
	for _, test := range []struct {
		name   string
		modify func(*layers.IPv4, *layers.TCP)
		want   carawaycart.PacketKind
	}{
		{"data", func(*layers.IPv4, *layers.TCP) {}, carawaycart.PacketMiddle},
		{"SYN", func(_ *layers.IPv4, t *layers.TCP) { t.SYN, t.ACK = true, false }, carawaycart.PacketFirst},
		{"SYN with ACK", func(_ *layers.IPv4, t *layers.TCP) { t.SYN = true }, carawaycart.PacketMiddle},
		{"SYN with RST", func(_ *layers.IPv4, t *layers.TCP) { t.SYN, t.ACK, t.RST = true, false, true }, carawaycart.PacketLast},
		{"FIN", func(_ *layers.IPv4, t *layers.TCP) { t.FIN = true }, carawaycart.PacketLast},
		{"RST", func(_ *layers.IPv4, t *layers.TCP) { t.RST = true }, carawaycart.PacketLast},
	} {
		var p carawaycart.Packet
		if fault := fabric.NewDecoder().Decode(tcpPacket(t, test.modify), &p); fault != fabric.FaultNone {
			t.Errorf("%s: got fault %s, want none", test.name, fault)
		}
		want := carawaycart.FlowKey{
			Caller: netip.MustParseAddrPort("198.51.100.1:40000"), Service: netip.MustParseAddrPort("192.0.2.1:443"),
			Protocol: carawaycart.TCP,
		}
		if p.Kind != test.want || p.Key != want {
			t.Errorf("%s: got kind %d of %v, want kind %d of %v", test.name, p.Kind, p.Key, test.want, want)
		}
	}
}

// Each malformed datagram must be refused with the fault under which metrics count
// it.
func TestDecodeFaults(t *testing.T) {
	valid := func() []byte { return tcpPacket(t, func(*layers.IPv4, *layers.TCP) {}) }
	withByte := func(offset int, value byte) []byte {
		d := valid()
		d[offset] = value
		return d
	}
	const ip = 8 // offset of the inner IP header, which has 20 bytes
	for _, test := range []struct {
		name     string
		datagram []byte
		want     fabric.Fault
	}{
		{"empty", nil, fabric.FaultGeneve},
		{"truncated Geneve", valid()[:5], fabric.FaultGeneve},
		{"other Geneve version", withByte(0, 0x40), fabric.FaultGeneve},
		{"control packet", withByte(1, 0x80), fabric.FaultGeneve},
		{"critical option", withByte(1, 0x40), fabric.FaultOption},
		{"options beyond the end", withByte(0, 0x3f), fabric.FaultGeneve},
		{"inner Ethernet", withByte(2, 0x65), fabric.FaultGeneve},
		{"no inner packet", valid()[:8], fabric.FaultIP},
		{"inner version 6 in IPv4", withByte(ip, 0x65), fabric.FaultIP},
		{"header length too small", withByte(ip, 0x41), fabric.FaultIP},
		{"total length beyond the end", withByte(ip+2, 0xff), fabric.FaultIP},
		{"first fragment", withByte(ip+6, 0x20), fabric.FaultFragment},
		{"later fragment", withByte(ip+7, 0x01), fabric.FaultFragment},
		{"ICMP", withByte(ip+9, 1), fabric.FaultProtocol},
		{"truncated TCP, so the IP total length is beyond the end", valid()[:ip+20+10], fabric.FaultIP},
		{"TCP header length beyond the end", withByte(ip+20+12, 0xf0), fabric.FaultTransport},
	} {
		var p carawaycart.Packet
		if got := fabric.NewDecoder().Decode(test.datagram, &p); got != test.want {
			t.Errorf("%s: got fault %s, want %s", test.name, got, test.want)
		}
	}
}

// Guards against panics on malformed input, and against acceptance of a datagram
// without a service address.
func FuzzDecode(f *testing.F) {
	f.Add(tcpPacket(f, func(*layers.IPv4, *layers.TCP) {}))
	f.Add([]byte{0x01, 0, 0x08, 0, 0, 0, 0, 0, 0, 0, 0, 0}) // one empty option, no inner packet
	decoder := fabric.NewDecoder()
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var p carawaycart.Packet
		if fault := decoder.Decode(datagram, &p); fault == fabric.FaultNone && !p.Key.Service.IsValid() {
			t.Errorf("accepted a datagram without a service address: %x", datagram)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	datagram := tcpPacket(b, func(*layers.IPv4, *layers.TCP) {})
	decoder := fabric.NewDecoder()
	var p carawaycart.Packet
	b.ReportAllocs()
	for b.Loop() {
		decoder.Decode(datagram, &p)
	}
}

// Guards against panics and out-of-range reads on malformed input, against
// acceptance of a datagram without a service address, and against a decoder that
// never reports one of the faults.
func TestDecodeMutatedDatagrams(t *testing.T) {
	syn := tcpPacket(t, func(_ *layers.IPv4, s *layers.TCP) { s.SYN, s.ACK = true, false })
	decoder := fabric.NewDecoder()
	counts := make(map[fabric.Fault]int)
	mutate.Each(1, 50000, [][]byte{syn}, func(datagram []byte) {
		var p carawaycart.Packet
		fault := decoder.Decode(datagram, &p)
		counts[fault]++
		if fault == fabric.FaultNone && !p.Key.Service.IsValid() {
			t.Errorf("accepted a datagram without a service address: %x", datagram)
		}
	})
	for f := fabric.FaultNone; f < fabric.Fault(fabric.FaultCount); f++ {
		if counts[f] == 0 {
			t.Errorf("no mutated datagram gave fault %s, so the test does not cover it", f)
		}
	}
}
