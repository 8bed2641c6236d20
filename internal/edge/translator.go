package edge

import (
	"net/netip"
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

// translator rewrites datagrams of the fabric according to the decisions of a
// router. It implements fabric.Translator.
type translator struct {
	router     *steer.Router
	clock      carawaycart.Clock
	counters   *Counters
	resetPort  uint16        // fabric port of callers, to which resets are sent
	lastPacket *atomic.Int64 // time of the last packet, in Unix nanoseconds of clock
	hedger     *Hedger
	sender     *queueSender
	asker      *flowAsker     // nil if packets are not to be retained for it
	backlog    *steer.Backlog // holds packets until the router has a configuration
	stalls     *stallDetector
	log        *eventlog.Log
	waited     bool               // whether the packets to translate have waited; see carawaycart.Packet
	packet     carawaycart.Packet // decoded packet, reused between calls
}

// Headroom returns the length of the endpoint's number, which precedes a packet.
func (*translator) Headroom() int { return platform.EndpointNumberBytes }

// ReceiveBufferBytes returns the length of the longest packet plus one byte, so that
// longer packets can be detected.
func (*translator) ReceiveBufferBytes() int { return platform.MaxPacketBytes + 1 }

// Translate returns what to send for the packet that begins in b after the headroom,
// and its destination: the packet itself after the endpoint's number, for an endpoint, or
// a reset for the caller. The result lies in b. It returns false if nothing is to be
// sent.
func (t *translator) Translate(b []byte) ([]byte, netip.AddrPort, bool) {
	defer logPanic(t.log, "fabric")
	began := time.Now()
	p, data := &t.packet, b[platform.EndpointNumberBytes:]
	if fault := platform.DecodePacket(data, p); fault != carawaycart.FaultNone {
		t.counters.CountFault(fault)
		return nil, netip.AddrPort{}, false
	}
	now := t.clock.Now()
	t.lastPacket.Store(now.UnixNano())
	if !t.router.Table().HasConfig() && t.backlog.Add(b, now) {
		return nil, netip.AddrPort{}, false
	}
	p.Waited = t.waited || p.Kind == carawaycart.PacketFirst && t.stalls.mayHaveWaited(now)
	p.MayAsk = t.asker != nil
	d := t.router.Decide(p, now)
	if d.Verdict == carawaycart.VerdictAsk {
		if t.asker.retain(p, b, now) {
			return nil, netip.AddrPort{}, false
		}
		p.MayAsk = false
		d = t.router.Decide(p, now)
	}
	t.counters.CountDecision(&d, time.Since(began))
	switch d.Verdict {
	case carawaycart.VerdictForward:
		if p.Kind == carawaycart.PacketFirst || d.TokenReplaced {
			platform.SetToken(data, d.Token)
		}
		platform.PutEndpointNumber(b, d.Number)
		if p.Kind == carawaycart.PacketFirst {
			t.hedger.Schedule(&p.Key, b, d.Zone, now)
		}
		return b, d.Address, true
	case carawaycart.VerdictQueue:
		t.sender.retain(&p.Key, b)
	case carawaycart.VerdictReset:
		n := platform.PutReset(data, p)
		return data[:n], netip.AddrPortFrom(p.Key.Caller.Addr(), t.resetPort), true
	}
	return nil, netip.AddrPort{}, false
}
