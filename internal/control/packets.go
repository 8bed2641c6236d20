package control

import (
	"net/netip"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/flow"
	"carawaycart/internal/counters"
	"carawaycart/io/fabric"
)

// Packets decides where packets go and counts what it did.
type Packets struct {
	board      *board.Board
	router     *flow.Router
	records    *flow.Records
	replicator *Replicator
	counters   *counters.Counters
	clock      carawaycart.Clock
}

// NewPackets returns the handler of packets from the fabric and from peers.
func NewPackets(b *board.Board, o *flow.Router, r *flow.Records, re *Replicator, c *counters.Counters, k carawaycart.Clock) *Packets {
	return &Packets{board: b, router: o, records: r, replicator: re, counters: c, clock: k}
}

// Fault counts a datagram that could not be decoded.
func (pa *Packets) Fault(f fabric.Fault) { pa.counters.Fault(f) }

// Handle returns where the datagram that holds p is to be sent.
func (pa *Packets) Handle(p *carawaycart.Packet) (netip.AddrPort, bool) {
	now := pa.clock.Now()
	d := pa.router.Decide(p, now)
	switch d.Verdict {
	case carawaycart.VerdictForward:
		return pa.forward(p, &d)
	case carawaycart.VerdictRelay:
		address, ok := pa.board.Members().Address(d.Instance)
		if !ok {
			pa.counters.Dropped(carawaycart.CauseNoKeeper)
			return netip.AddrPort{}, false
		}
		pa.counters.PacketsRelayed.Inc(1)
		return address, true
	}
	pa.counters.Dropped(d.Cause)
	return netip.AddrPort{}, false
}

func (pa *Packets) forward(p *carawaycart.Packet, d *carawaycart.Decision) (netip.AddrPort, bool) {
	if d.Record {
		pa.replicate(p)
	}
	e := pa.board.Entry(d.Endpoint).Endpoint()
	if e == nil || !e.FlowAddress.IsValid() {
		pa.counters.Dropped(carawaycart.CauseNoEndpoint)
		return netip.AddrPort{}, false
	}
	pa.counters.PacketsForwarded.Inc(1)
	return e.FlowAddress, true
}

// replicate queues the record that the decision about p made.
func (pa *Packets) replicate(p *carawaycart.Packet) {
	pa.counters.FlowsRecorded.Inc(1)
	f := p.Key.Fingerprint()
	record, ok := pa.records.Get(f)
	if !ok {
		return
	}
	route := pa.board.View().Service(p.Key.Service)
	if route == nil {
		return
	}
	pa.replicator.Record(record, route.Active.Slot(route.Active.Index(f)).Current)
}
