package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Bits of the flags of a packet.
const (
	flagRST = 2
	flagFIN = 8
	flagACK = 64
	flagSYN = 128
)

// packet is a packet of a flow as the platform's page lays it out.
type packet struct {
	seq, ack uint32
	flags    byte
	src, dst netip.AddrPort
	echo     uint32
	data     []byte
}

// encode returns the packet with the keyed sum over all fields but echo and pad.
func (p *packet) encode() []byte {
	b := make([]byte, 32+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.seq)
	binary.BigEndian.PutUint32(b[6:], p.ack)
	b[14] = p.flags
	d, s := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[16:], d[:])
	copy(b[20:], s[:])
	binary.BigEndian.PutUint16(b[24:], p.src.Port())
	binary.BigEndian.PutUint16(b[26:], p.dst.Port())
	copy(b[32:], p.data)
	binary.BigEndian.PutUint32(b[10:], sum(b))
	binary.BigEndian.PutUint32(b[28:], p.echo)
	return b
}

// sum returns the keyed sum of the packet in b.
func sum(b []byte) uint32 {
	c := append([]byte("key of both ends"), b...)
	h := c[len("key of both ends"):]
	clear(h[10:14])
	clear(h[28:32])
	return crc32.ChecksumIEEE(c)
}

// decode returns the packet in b. The second result tells whether the sum is right, the
// third whether it is zero, as in a reset of the system.
func decode(b []byte) (p packet, valid, zero bool) {
	if len(b) < 32 || len(b) != 32+int(binary.BigEndian.Uint16(b)) {
		return packet{}, false, false
	}
	at := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), flags: b[14],
		src: at(20, 24), dst: at(16, 26), echo: binary.BigEndian.Uint32(b[28:]), data: append([]byte(nil), b[32:]...),
	}
	given := binary.BigEndian.Uint32(b[10:])
	return p, given == sum(b), given == 0
}
