package steer

import (
	"time"

	"carawaycart"
)

// openEndpoint returns the endpoint in t at which the flow id is open, if owner, which has the
// token of p, is another. It returns nil if this instance has not seen the flow open, or the
// numbers in p are not near those of the flow. The first packet of a flow may have been sent
// to several endpoints, and the caller may send the token of the last one that answered, which
// does not move the flow.
func (r *Router) openEndpoint(t *Table, id flowID, p *carawaycart.Packet, owner *endpoint) *endpoint {
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	f := s.flows[id]
	if f == nil || owner != nil && f.endpoint.state == owner.state || !f.isOwn(p) {
		return nil
	}
	return t.byKey[f.endpoint.lifetime.Key()]
}

// trackPacket updates the record of the flow id, and the state of its endpoint e, with
// p, which is not the first packet. It adds a record if there is none for the flow at
// e and p carries data. It returns false, without tracking p, if the flow is open at another
// endpoint. Unless certain is set, p only names e and may do so by mistake.
func (r *Router) trackPacket(id flowID, p *carawaycart.Packet, via *route, e *endpoint, certain bool, now time.Time) bool {
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	f := s.flows[id]
	if f != nil && f.told && (p.PayloadBytes > 0 || p.Kind == carawaycart.PacketLast) {
		s.remove(id, f)
		f = nil
	}
	if f != nil && f.phase != phaseOpen && f.endpoint.state != e.state {
		tried := isTried(f.tried, e)
		if tried || f.isHandshake(p) {
			// An endpoint that was tried earlier, here or through another instance, answered
			// first.
			f.endpoint.state.adjustCounts(-boolToInt(f.phase == phaseOpening), 0, 0)
			f.phase, f.endpoint, f.sentAt = phaseUnanswered, e, time.Time{}
			f.shared = f.shared || !tried
			if tried {
				f.sentAt = f.openedAt
			}
		}
	}
	if f == nil || f.told || f.endpoint.state != e.state {
		if f != nil && f.isOwn(p) {
			if !certain || p.Token != e.token {
				return false
			}
			f.openSeen = false // what seemed to be the end of the handshake followed a late answer
			o := newOpenFlow(p)
			o.Token = e.token
			r.contested.move(&o, now)
		}
		if p.PayloadBytes == 0 || p.Kind == carawaycart.PacketLast {
			return true
		}
		if f != nil {
			r.observer.OtherToken(p, f.endpoint.lifetime.ID, e.lifetime.ID)
			s.remove(id, f)
		}
		// The sequence number before that of p makes the data of p a new request.
		f = &flow{endpoint: e, openedAt: now, phase: phaseOpen, acknowledged: p.Acknowledged, sequence: p.Sequence - 1, openSeen: certain}
		if len(via.targets) == 1 {
			f.objective = via.targets[0].objective
		}
		if !s.insert(id, f, now) {
			return true
		}
		e.state.adjustCounts(0, 0, 1)
	}
	r.updateFlow(id, f, p, certain, now)
	f.lastSeen = now
	if p.Kind == carawaycart.PacketLast {
		s.remove(id, f)
	}
	return true
}

// updateFlow updates f and the state of its endpoint with packet p. The first one after
// the first packet opens the flow, since the caller has got an answer. Acknowledging
// further data of the endpoint answers a request, new data of the caller begins one
// unless another is waiting, and resent data means a timeout. The argument certain is as for
// trackPacket.
func (r *Router) updateFlow(id flowID, f *flow, p *carawaycart.Packet, certain bool, now time.Time) {
	e := f.endpoint
	if f.phase != phaseOpen {
		e.state.adjustCounts(-boolToInt(f.phase == phaseOpening), 0, 1)
		handshake := f.isHandshake(p)
		f.phase, f.openSeen = phaseOpen, handshake || certain
		f.acknowledged = p.Acknowledged
		if handshake && f.isContested(now) {
			o := OpenFlow{Key: p.Key, Token: e.token, Sequence: f.sequence, Acknowledged: f.acknowledged, Shared: f.shared}
			r.contested.add(&o, now)
			r.observer.ContestedFlowOpened(&o)
		}
		if !f.sentAt.IsZero() {
			r.mu.Lock()
			r.estimatorFor(e.lifetime.Zone).Observe(now.Sub(f.sentAt))
			r.mu.Unlock()
		}
		r.handleAnswer(e, now)
	}
	// The difference as an int32 orders numbers that wrap around at 2^32.
	if received := int32(p.Acknowledged - f.acknowledged); received > 0 {
		f.acknowledged = p.Acknowledged
		r.handleAnswer(e, now)
		if f.waiting {
			f.clearOverdue()
			e.state.adjustCounts(0, -boolToInt(!f.abandoned), boolToInt(f.abandoned))
			f.waiting, f.abandoned, f.answered = false, false, true
			e.state.recordOutcomes(0, 1, now)
			if !p.Reset {
				r.recordResponse(f, int(received), now)
			}
			if o := f.objective; o != nil {
				o.admission.RecordAnswer(o.priority, now.Sub(f.requestedAt), o.answerTarget, f.slow, now)
				r.recordDone(e, o, now.Sub(f.requestedAt), now)
			}
		}
	}
	if p.PayloadBytes == 0 {
		return
	}
	if int32(p.Sequence-f.sequence) > 0 {
		f.sequence = p.Sequence
		if !f.waiting {
			f.waiting, f.slow, f.requestedAt = true, false, now
			if f.answered && f.objective != nil && f.objective.load != nil {
				f.objective.load.recordArrival(f.objective) // the first request counts as the flow arrives
			}
			r.trackRequest(id, f, now)
			e.state.adjustCounts(0, 1, 0)
		}
		return
	}
	if sentAt := f.lastSeen; now.Sub(sentAt) > minResendInterval {
		e.state.recordUnansweredData(sentAt, now)
		r.handleTimeout(e, "data", sentAt, now)
	}
}

// isResent reports whether the data in p was sent before on the flow id and e has answered
// nothing since.
func (r *Router) isResent(id flowID, p *carawaycart.Packet, e *endpoint, now time.Time) bool {
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	f := s.flows[id]
	return f != nil && f.phase == phaseOpen && f.endpoint.state == e.state && int32(p.Sequence-f.sequence) <= 0 &&
		now.Sub(f.lastSeen) > minResendInterval && e.state.recordUnansweredData(f.lastSeen, now)
}

// handleAnswer records an answer of e at now and notifies the observer if a timeout
// preceded it.
func (r *Router) handleAnswer(e *endpoint, now time.Time) {
	if e.state.recordAnswer(now) {
		r.observer.Recovered(e.lifetime.ID)
	}
}
