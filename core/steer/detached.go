package steer

import (
	"time"

	"carawaycart"
)

// wasOpenBeforeRead reports whether the flow id, which is open at e by p, was open before a
// read began that showed its route missing, as t has it. A flow that the instance did not
// know before the read may have been opened through another one on a route that was added
// since. The flow is therefore recorded, for a later read to decide.
func (r *Router) wasOpenBeforeRead(t *Table, id flowID, p *carawaycart.Packet, e *endpoint, now time.Time) bool {
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	f := s.flows[id]
	if f == nil || !f.detached || f.endpoint.state != e.state || !f.hasNumbersNear(p) {
		if f = s.detach(id, p, e, now); f == nil {
			return false
		}
		f.sequence, f.acknowledged = p.Sequence-1, p.Acknowledged
	}
	f.lastSeen = now
	if t.readSince(f.openedAt) {
		return true
	}
	f.update(p)
	if p.Kind == carawaycart.PacketLast {
		s.remove(id, f)
	}
	return false
}

// detach replaces the record of the flow id, if any, by one of a flow that is open at e by p at
// now and has no route. It returns nil if there is no room for the record. s.mu must be held.
func (s *flowShard) detach(id flowID, p *carawaycart.Packet, e *endpoint, now time.Time) *flow {
	f := &flow{endpoint: e, openedAt: now, lastSeen: now, phase: phaseOpen, detached: true}
	if old := s.flows[id]; old != nil {
		if old.phase == phaseOpen && old.endpoint.state == e.state && old.hasNumbersNear(p) {
			f.openedAt, f.openSeen = old.lastSeen, old.openSeen
		}
		s.remove(id, old)
	}
	if !s.insert(id, f, now) {
		return nil
	}
	e.state.adjustCounts(0, 0, 1)
	return f
}

// update updates the numbers of f with p without drawing conclusions from them.
func (f *flow) update(p *carawaycart.Packet) {
	// The differences as an int32 order numbers that wrap around at 2^32.
	if int32(p.Acknowledged-f.acknowledged) > 0 {
		f.acknowledged = p.Acknowledged
	}
	if p.PayloadBytes > 0 && int32(p.Sequence-f.sequence) > 0 {
		f.sequence = p.Sequence
	}
}
