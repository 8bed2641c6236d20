package steer

import (
	"time"

	"carawaycart"
)

// ownerNow returns the endpoint that has the flows of owner at now, or the cause for which p, a
// packet of the flow id, is not forwarded to it.
func (r *Router) ownerNow(route *route, id flowID, p *carawaycart.Packet, owner *endpoint, now time.Time) (*endpoint, carawaycart.Cause) {
	if owner == nil {
		return nil, carawaycart.CauseUnknownToken
	}
	e := owner
	if owner.successor != nil {
		e = owner.successor
	}
	switch {
	case r.hasEnded(id, p, e, now):
		return e, carawaycart.CauseEnded
	case route != nil && p.PayloadBytes > 0 && route.repeatable && r.checkSilent(e, now) && (e.state.isDead(now) || r.isResent(id, p, e, now)):
		return e, carawaycart.CauseSilent
	}
	return e, carawaycart.CauseNone
}

// forwardInherited returns the decision to forward p, a packet of the flow id with the token
// of owner, to e, which succeeds it. Whether e holds the flow is unknown, so that a missing
// answer says nothing of e: the flow is no longer tracked.
func (r *Router) forwardInherited(id flowID, p *carawaycart.Packet, owner, e *endpoint) carawaycart.Decision {
	s := r.flows.lockShard(id)
	if f := s.flows[id]; f != nil && e.succeeds(f.endpoint) {
		s.remove(id, f)
	}
	s.mu.Unlock()
	r.observer.Inherited(p, &owner.lifetime, &e.lifetime)
	return forward(e)
}

func forward(e *endpoint) carawaycart.Decision {
	return carawaycart.Decision{
		Verdict: carawaycart.VerdictForward, Endpoint: e.lifetime.ID, Zone: e.lifetime.Zone,
		Token: e.token, Number: e.lifetime.Number, Address: e.lifetime.Address,
	}
}

// forwardFirst returns the decision to forward a first packet to e, with its provisional token.
func forwardFirst(e *endpoint) carawaycart.Decision {
	d := forward(e)
	d.Token ^= provisionalBit
	return d
}

// forwardLater returns the decision to forward p, which is not the first packet, to e, at which
// the flow is open. Both ends then repeat the token of e instead of another or a provisional one.
func forwardLater(p *carawaycart.Packet, e *endpoint) carawaycart.Decision {
	d := forward(e)
	d.TokenReplaced = p.Token != e.token
	return d
}

// refuse returns the decision to drop p because of c and notifies the observer. The
// decision is to reset the flow if reset is true and p is not itself a reset.
func (r *Router) refuse(p *carawaycart.Packet, c carawaycart.Cause, reset bool, revision carawaycart.StoreRevision) carawaycart.Decision {
	reset = reset && !p.Reset
	r.observer.Refused(p, c, reset, revision)
	if reset {
		return carawaycart.Decision{Verdict: carawaycart.VerdictReset, Cause: c}
	}
	return carawaycart.Decision{Verdict: carawaycart.VerdictDrop, Cause: c}
}
