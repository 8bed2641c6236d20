package steer

import (
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

// checkSilent reports whether e is silent at now. It requests a probe if the silence is
// outdated.
func (r *Router) checkSilent(e *endpoint, now time.Time) bool {
	silent, outdated := e.state.isSilent(now)
	if outdated {
		r.observer.ProbeRequested(&e.lifetime)
	}
	return silent
}

// hasEnded reports whether e has ended at now, so that its flows are to be reset. An
// endpoint whose entry is only missing may still run: it has ended once it is silent too.
// The store may have lost the entry.
func (r *Router) hasEnded(e *endpoint, now time.Time) bool {
	if e.presence != directory.Ended || !e.absent {
		return e.presence == directory.Ended
	}
	gone, probe := e.state.isGone(now)
	if probe {
		r.observer.ProbeRequested(&e.lifetime)
	}
	return gone
}

// ProbeResult is what follows from a probe of an endpoint.
type ProbeResult struct {
	Again     bool // whether the endpoint is to be probed again
	Silent    bool // whether the endpoint became silent
	Recovered bool // whether the endpoint was silent and answers again
	Reported  bool // whether a peer has lately reported the endpoint as silent
}

// RecordProbe records at now the outcome of a probe that began at began; alive tells
// whether it was answered. Probes of unknown or ended lifetimes are ignored, except of those
// whose entries are only missing, which are probed until they are silent.
func (r *Router) RecordProbe(key carawaycart.LifetimeKey, alive bool, began, now time.Time) ProbeResult {
	t := r.table.Load()
	if t == nil || t.byKey[key] == nil {
		return ProbeResult{}
	}
	e := t.byKey[key]
	ended := e.presence == directory.Ended
	if ended && !e.absent {
		return ProbeResult{}
	}
	changed := e.state.recordProbe(alive, began, now)
	if changed {
		r.observer.SilenceChanged(e.lifetime.ID, !alive)
	}
	silent, _ := e.state.isSilent(now)
	return ProbeResult{
		Again: e.state.needsProbe() && (!ended || !silent), Silent: changed && !alive, Recovered: changed && alive, Reported: e.state.reportedSilent(now),
	}
}

// RecordRestart records at now that a later lifetime of the endpoint with the given key has
// answered a probe. The endpoint gets no new flows until its entry tells whether it is cold.
func (r *Router) RecordRestart(key carawaycart.LifetimeKey, now time.Time) {
	t := r.table.Load()
	if t == nil || t.byKey[key] == nil {
		return
	}
	t.byKey[key].state.recordRestart(now)
}

// TakeStranded returns a packet of each flow whose request waits for the endpoint with
// the given key, which is silent at now and has left data on an open flow unanswered, if
// the request may run more than once. It
// removes the records of these flows, which are to be reset: a caller that waits for
// its own timeout may have no time left to try again.
func (r *Router) TakeStranded(key carawaycart.LifetimeKey, now time.Time) []carawaycart.Packet {
	t := r.table.Load()
	if t == nil || t.byKey[key] == nil {
		return nil
	}
	e := t.byKey[key]
	if silent, _ := e.state.isSilent(now); !silent {
		return nil
	}
	r.flows.forEachShard(func(s *flowShard) {
		for _, f := range s.flows {
			if f.endpoint.state == e.state && f.waiting && !f.abandoned && now.Sub(f.requestedAt) > minResendInterval {
				e.state.recordUnansweredData(f.requestedAt)
			}
		}
	})
	if !e.state.isDead(now) {
		return nil
	}
	var stranded []carawaycart.Packet
	r.flows.forEachShard(func(s *flowShard) {
		for id, f := range s.flows {
			if f.endpoint.state == e.state && f.waiting && !f.abandoned && f.objective != nil && f.objective.repeatable {
				p := carawaycart.Packet{Key: id.key(), Token: e.token, Acknowledged: f.acknowledged}
				r.observer.Refused(&p, carawaycart.CauseSilent, true, t.Revision)
				stranded = append(stranded, p)
				s.remove(id, f)
			}
		}
	})
	return stranded
}

// Reachable reports whether at least one endpoint that may take new flows is not silent
// at now. It is also true if no endpoint may take new flows, or without a table.
func (r *Router) Reachable(now time.Time) bool {
	t := r.table.Load()
	if t == nil {
		return true
	}
	found := false
	for _, e := range t.byKey {
		if !t.acceptsFlows(e) {
			continue
		}
		if !r.checkSilent(e, now) {
			return true
		}
		found = true
	}
	return !found
}

// RequestProbe requests at now a probe of the endpoint with the given token, which a
// peer has found silent. The probes of the peer count as one that failed here, so that
// the next one decides, unless the endpoint has answered here meanwhile. It does nothing
// if the endpoint is unknown, ended or already silent.
func (r *Router) RequestProbe(token carawaycart.Token, now time.Time) {
	t := r.table.Load()
	if t == nil {
		return
	}
	e := t.byToken[token]
	if e == nil || e.presence == directory.Ended {
		return
	}
	if e.state.recordPeerSilence(now) {
		r.observer.ProbeRequested(&e.lifetime)
	}
}
