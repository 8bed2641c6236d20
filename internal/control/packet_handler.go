package control

import (
	"net/netip"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/flow"
	"carawaycart/internal/counters"
	"carawaycart/io/fabric"
)

// PacketHandler decides where packets are sent and counts the decisions.
type PacketHandler struct {
	board      *board.Board
	router     *flow.Router
	records    *flow.Records
	replicator *Replicator
	counters   *counters.Counters
	clock      carawaycart.Clock
}

// NewPacketHandler returns a handler of packets from the fabric and from peers.
func NewPacketHandler(b *board.Board, flowRouter *flow.Router, flowRecords *flow.Records, re *Replicator, c *counters.Counters, k carawaycart.Clock) *PacketHandler {
	return &PacketHandler{board: b, router: flowRouter, records: flowRecords, replicator: re, counters: c, clock: k}
}

// CountFault counts a datagram that could not be decoded.
func (ph *PacketHandler) CountFault(f fabric.Fault) { ph.counters.CountFault(f) }

// Route returns the address to which the datagram that contains p is sent, or
// false if it is dropped.
func (ph *PacketHandler) Route(p *carawaycart.Packet) (netip.AddrPort, bool) {
	now := ph.clock.Now()
	d := ph.router.Decide(p, now)
	switch d.Verdict {
	case carawaycart.VerdictForward:
		return ph.forward(p, &d)
	case carawaycart.VerdictRelay:
		address, ok := ph.board.Members().Address(d.Instance)
		if !ok {
			ph.counters.CountDrop(carawaycart.CauseNoKeeper)
			return netip.AddrPort{}, false
		}
		ph.counters.PacketsRelayed.Inc(1)
		return address, true
	}
	ph.counters.CountDrop(d.Cause)
	return netip.AddrPort{}, false
}

// forward returns the flow address of the endpoint that d chose for p, and queues
// the record of a new flow. It returns false if the endpoint has no such address.
func (ph *PacketHandler) forward(p *carawaycart.Packet, d *carawaycart.Decision) (netip.AddrPort, bool) {
	if d.RecordCreated {
		ph.replicateRecord(p)
	}
	e := ph.board.Entry(d.Endpoint).Endpoint()
	if e == nil || !e.FlowAddress.IsValid() {
		ph.counters.CountDrop(carawaycart.CauseNoEndpoint)
		return netip.AddrPort{}, false
	}
	ph.counters.PacketsForwarded.Inc(1)
	return e.FlowAddress, true
}

// replicateRecord queues the new record of p's flow for replication.
func (ph *PacketHandler) replicateRecord(p *carawaycart.Packet) {
	ph.counters.FlowsRecorded.Inc(1)
	f := p.Key.Fingerprint()
	record, ok := ph.records.Get(f)
	if !ok {
		return
	}
	route := ph.board.View().Service(p.Key.Service)
	if route == nil {
		return
	}
	ph.replicator.Enqueue(record, route.Active.Slot(route.Active.Index(f)).Current)
}
