package fabric

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/juju/errors"

	"carawaycart"
)

// Fault is the reason why a datagram could not be decoded.
type Fault uint8

// The faults of a datagram.
const (
	FaultNone      Fault = iota
	FaultGeneve          // truncated or unsupported Geneve header, or an inner protocol other than IP
	FaultOption          // critical Geneve options, none of which are supported
	FaultIP              // truncated or malformed IP packet, or a datagram that exceeds the receive buffer
	FaultFragment        // fragment of an IP packet
	FaultTransport       // truncated or malformed TCP or UDP header
	FaultProtocol        // neither TCP nor UDP
	faultCount
)

// FaultCount is the number of values of Fault, including FaultNone.
const FaultCount = int(faultCount)

var faultNames = [FaultCount]string{"none", "geneve", "option", "ip", "fragment", "transport", "protocol"}

// String returns the name of f as used in metrics.
func (f Fault) String() string {
	if int(f) >= FaultCount {
		return "invalid"
	}
	return faultNames[f]
}

const (
	// Sizes of the headers without options.
	geneveHeaderBytes = 8
	ipv4HeaderBytes   = 20
	tcpHeaderBytes    = 20
	udpHeaderBytes    = 8

	geneveVersionMask = 0xc0 // in byte 0 of the Geneve header
	geneveControlBit  = 0x80 // in byte 1 of the Geneve header
	geneveCriticalBit = 0x40 // in byte 1 of the Geneve header

	// Parts of the 16-bit field at offset 6 of the IPv4 header.
	moreFragmentsFlag  = 0x2000
	fragmentOffsetMask = 0x1fff
)

// Decoder decodes Geneve datagrams that hold an IPv4 or IPv6 packet of TCP or UDP.
// It is not safe for concurrent use.
type Decoder struct {
	geneve layers.Geneve
	ipv4   layers.IPv4
	ipv6   layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
}

// NewDecoder returns a Decoder.
func NewDecoder() *Decoder { return &Decoder{} }

// Decode decodes a Geneve datagram and sets Key and Kind of p. It returns FaultNone
// on success; on any other fault, Key and Kind are undefined.
func (d *Decoder) Decode(datagram []byte, p *carawaycart.Packet) Fault {
	if len(datagram) < geneveHeaderBytes || datagram[0]&geneveVersionMask != 0 || datagram[1]&geneveControlBit != 0 {
		return FaultGeneve
	}
	if datagram[1]&geneveCriticalBit != 0 {
		return FaultOption
	}
	d.geneve.Options = d.geneve.Options[:0]
	if err := d.geneve.DecodeFromBytes(datagram, gopacket.NilDecodeFeedback); err != nil {
		return FaultGeneve
	}
	switch d.geneve.Protocol {
	case layers.EthernetTypeIPv4:
		return d.decodeIPv4(d.geneve.Payload, p)
	case layers.EthernetTypeIPv6:
		return d.decodeIPv6(d.geneve.Payload, p)
	}
	return FaultGeneve
}

func (d *Decoder) decodeIPv4(data []byte, p *carawaycart.Packet) Fault {
	if len(data) < ipv4HeaderBytes || data[0]>>4 != 4 {
		return FaultIP
	}
	if err := d.ipv4.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil || int(d.ipv4.Length) > len(data) {
		return FaultIP
	}
	if flagsAndOffset := uint16(data[6])<<8 | uint16(data[7]); flagsAndOffset&(moreFragmentsFlag|fragmentOffsetMask) != 0 {
		return FaultFragment
	}
	src, _ := netip.AddrFromSlice(d.ipv4.SrcIP)
	dst, _ := netip.AddrFromSlice(d.ipv4.DstIP)
	return d.decodeTransport(d.ipv4.Protocol, d.ipv4.Payload, src, dst, p)
}

func (d *Decoder) decodeIPv6(data []byte, p *carawaycart.Packet) Fault {
	if err := d.ipv6.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil || d.ipv6.Version != 6 {
		return FaultIP
	}
	if d.ipv6.NextHeader == layers.IPProtocolIPv6Fragment {
		return FaultFragment
	}
	src, _ := netip.AddrFromSlice(d.ipv6.SrcIP)
	dst, _ := netip.AddrFromSlice(d.ipv6.DstIP)
	return d.decodeTransport(d.ipv6.NextHeader, d.ipv6.Payload, src, dst, p)
}

func (d *Decoder) decodeTransport(protocol layers.IPProtocol, data []byte, src, dst netip.Addr, p *carawaycart.Packet) Fault {
	p.Kind = carawaycart.PacketMiddle
	switch protocol {
	case layers.IPProtocolTCP:
		if len(data) < tcpHeaderBytes || d.tcp.DecodeFromBytes(data, gopacket.NilDecodeFeedback) != nil {
			return FaultTransport
		}
		switch {
		case d.tcp.SYN && !d.tcp.ACK && !d.tcp.RST && !d.tcp.FIN:
			p.Kind = carawaycart.PacketFirst
		case d.tcp.FIN || d.tcp.RST:
			p.Kind = carawaycart.PacketLast
		}
		p.Key = flowKey(src, uint16(d.tcp.SrcPort), dst, uint16(d.tcp.DstPort), carawaycart.TCP)
	case layers.IPProtocolUDP:
		if len(data) < udpHeaderBytes || d.udp.DecodeFromBytes(data, gopacket.NilDecodeFeedback) != nil {
			return FaultTransport
		}
		p.Key = flowKey(src, uint16(d.udp.SrcPort), dst, uint16(d.udp.DstPort), carawaycart.UDP)
	default:
		return FaultProtocol
	}
	return FaultNone
}

func flowKey(src netip.Addr, srcPort uint16, dst netip.Addr, dstPort uint16, protocol carawaycart.Protocol) carawaycart.FlowKey {
	return carawaycart.FlowKey{
		Caller: netip.AddrPortFrom(src, srcPort), Service: netip.AddrPortFrom(dst, dstPort), Protocol: protocol,
	}
}

// Encode returns a Geneve datagram with the given inner IPv4 packet and virtual
// network identifier (VNI). Only emulators and tests use it.
func Encode(inner []byte, network uint32) ([]byte, error) {
	b := gopacket.NewSerializeBuffer()
	g := &layers.Geneve{Protocol: layers.EthernetTypeIPv4, VNI: network}
	if err := gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, g, gopacket.Payload(inner)); err != nil {
		return nil, errors.Annotate(err, "encode Geneve")
	}
	return b.Bytes(), nil
}
