package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet, as the pages list them.
const (
	flagRST     = 2
	flagFIN     = 8
	flagBounced = 16
	flagACK     = 64
	flagSYN     = 128
)

const headerBytes = 32

// sumKey is the key of the sum, which only requesters and hosts know.
const sumKey = "review of carawaycart"

// packet is one datagram between a requester and a host.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	flags    byte
	echo     uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// keyedSum returns the sum over all fields except echo, pad and BOUNCED.
func (p *packet) keyedSum() uint32 {
	b := p.bytes(0)
	b[14] &^= flagBounced
	clear(b[28:32])
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b)
	if s := h.Sum32(); s != 0 {
		return s
	}
	return 1
}

// encode returns the packet with its sum.
func (p *packet) encode() []byte { return p.bytes(p.keyedSum()) }

func (p *packet) bytes(sum uint32) []byte {
	b := make([]byte, headerBytes+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.seq)
	binary.BigEndian.PutUint32(b[6:], p.ack)
	binary.BigEndian.PutUint32(b[10:], sum)
	b[14] = p.flags
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[16:], dst[:])
	copy(b[20:], src[:])
	binary.BigEndian.PutUint16(b[24:], p.src.Port())
	binary.BigEndian.PutUint16(b[26:], p.dst.Port())
	binary.BigEndian.PutUint32(b[28:], p.echo)
	copy(b[headerBytes:], p.data)
	return b
}

// decode returns the packet in b, and false if its length is wrong.
func decode(b []byte) (*packet, bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b)) {
		return nil, false
	}
	return &packet{
		seq: binary.BigEndian.Uint32(b[2:]), ack: binary.BigEndian.Uint32(b[6:]), sum: binary.BigEndian.Uint32(b[10:]), flags: b[14],
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[26:])),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[20:24])), binary.BigEndian.Uint16(b[24:])),
		echo: binary.BigEndian.Uint32(b[28:]), data: append([]byte(nil), b[headerBytes:]...),
	}, true
}
