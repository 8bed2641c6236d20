package standin

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/io/fabric"
)

// geneveNetworkID is the Geneve virtual network identifier of the emulated fabric.
const geneveNetworkID = 7

// Segment is a TCP segment of an emulated flow. Number identifies the data that
// the segment carries or acknowledges and is sent as the TCP sequence number.
type Segment struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	SYN         bool
	ACK         bool
	FIN         bool
	RST         bool
	Number      uint32
	Payload     []byte
}

// Encode returns a Geneve datagram that carries s.
func (s *Segment) Encode() ([]byte, error) {
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: s.Source.Addr().AsSlice(), DstIP: s.Destination.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Source.Port()), DstPort: layers.TCPPort(s.Destination.Port()),
		SYN: s.SYN, ACK: s.ACK, FIN: s.FIN, RST: s.RST, Seq: s.Number, Window: 65535,
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, errors.Annotate(err, "encode segment")
	}
	b := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, options, ip, tcp, gopacket.Payload(s.Payload)); err != nil {
		return nil, errors.Annotate(err, "encode segment")
	}
	return fabric.Encode(b.Bytes(), geneveNetworkID)
}

// segmentDecoder decodes segments from Geneve datagrams. It is not safe for
// concurrent use.
type segmentDecoder struct {
	geneve layers.Geneve
	ip     layers.IPv4
	tcp    layers.TCP
}

// decode returns the segment in datagram. Its payload aliases datagram.
func (d *segmentDecoder) decode(datagram []byte) (Segment, error) {
	var s Segment
	for _, layer := range []struct {
		decoder gopacket.DecodingLayer
		data    func() []byte
	}{
		{&d.geneve, func() []byte { return datagram }},
		{&d.ip, func() []byte { return d.geneve.Payload }},
		{&d.tcp, func() []byte { return d.ip.Payload }},
	} {
		if err := layer.decoder.DecodeFromBytes(layer.data(), gopacket.NilDecodeFeedback); err != nil {
			return s, errors.Annotate(err, "decode segment")
		}
	}
	source, _ := netip.AddrFromSlice(d.ip.SrcIP)
	destination, _ := netip.AddrFromSlice(d.ip.DstIP)
	s = Segment{
		Source:      netip.AddrPortFrom(source, uint16(d.tcp.SrcPort)),
		Destination: netip.AddrPortFrom(destination, uint16(d.tcp.DstPort)),
		SYN:         d.tcp.SYN, ACK: d.tcp.ACK, FIN: d.tcp.FIN, RST: d.tcp.RST,
		Number: d.tcp.Seq, Payload: d.tcp.Payload,
	}
	return s, nil
}

// reply is an endpoint's response to a segment. It reaches the caller without
// passing an instance.
type reply struct {
	endpoint carawaycart.EndpointID
	syn      bool   // the endpoint accepted the flow
	rst      bool   // the endpoint refused or does not know the flow
	number   uint32 // Number of the acknowledged segment
}

// dataSegmentBytes is the payload size of a data segment.
const dataSegmentBytes = 64

// dataPayload returns a payload that starts with number in big-endian order.
func dataPayload(number uint32) []byte {
	b := make([]byte, dataSegmentBytes)
	binary.BigEndian.PutUint32(b, number)
	return b
}
