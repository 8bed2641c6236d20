package edge

import (
	"net/netip"
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/platform"
)

// packets translates datagrams of the fabric by the decisions of a router. It
// implements fabric.Translator.
type packets struct {
	router    carawaycart.Router
	clock     carawaycart.Clock
	counters  *Counters
	resetPort uint16        // of callers, for packets of the fabric
	last      *atomic.Int64 // when a packet came last, in Unix nanoseconds of clock
	hedger    *Hedger
	packet    carawaycart.Packet
}

// Headroom returns the length of the endpoint's number.
func (*packets) Headroom() int { return platform.NumberBytes }

// MaxDatagram returns the length of the longest packet and one byte, by which
// longer ones are told.
func (*packets) MaxDatagram() int { return platform.MaxPacket + 1 }

// Translate returns the packet for its endpoint, or a reset for its caller.
func (t *packets) Translate(b []byte) ([]byte, netip.AddrPort, bool) {
	began := time.Now()
	p, data := &t.packet, b[platform.NumberBytes:]
	if fault := platform.DecodePacket(data, p); fault != carawaycart.FaultNone {
		t.counters.Fault(fault)
		return nil, netip.AddrPort{}, false
	}
	now := t.clock.Now()
	t.last.Store(now.UnixNano())
	d := t.router.Decide(p, now)
	t.counters.Decided(&d, time.Since(began))
	switch d.Verdict {
	case carawaycart.VerdictForward:
		if p.Kind == carawaycart.PacketFirst {
			platform.SetToken(data, d.Token)
		}
		platform.PutNumber(b, d.Number)
		if p.Kind == carawaycart.PacketFirst {
			t.hedger.Hold(&p.Key, b, d.Zone, now)
		}
		return b, d.Address, true
	case carawaycart.VerdictReset:
		n := platform.PutReset(data, p)
		return data[:n], netip.AddrPortFrom(p.Key.Caller.Addr(), t.resetPort), true
	}
	return nil, netip.AddrPort{}, false
}
