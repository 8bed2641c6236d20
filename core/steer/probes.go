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
// endpoint whose entry is only missing may still run, since the store may have lost the
// entry. It has ended once it is silent too, and nothing listens at its address or data was
// left unanswered, such as that in p, a packet of the flow id.
func (r *Router) hasEnded(id flowID, p *carawaycart.Packet, e *endpoint, now time.Time) bool {
	if e.presence != directory.Ended || !e.absent {
		return e.presence == directory.Ended
	}
	silent, gone, probe := e.state.isGone(now)
	if probe {
		r.observer.ProbeRequested(&e.lifetime)
	}
	return gone || silent && p.PayloadBytes > 0 && r.isResent(id, p, e, now)
}

// ProbeOutcome is what a probe tells of a lifetime.
type ProbeOutcome int

// The outcomes of a probe.
const (
	ProbeUnanswered ProbeOutcome = iota // no answer in time: the endpoint or the path may be busy or gone
	ProbeRefused                        // nothing listens at the address, or another endpoint answers there
	ProbeAnswered                       // the endpoint is alive
	ProbeRestarted                      // the endpoint has started again since
)

// Alive reports whether the endpoint has answered, in whichever lifetime.
func (o ProbeOutcome) Alive() bool { return o == ProbeAnswered || o == ProbeRestarted }

// ProbeResult is what follows from a probe of an endpoint.
type ProbeResult struct {
	Again     bool // whether the endpoint is to be probed again
	Silent    bool // whether the endpoint became silent
	Recovered bool // whether the endpoint was silent and answers again
	Reported  bool // whether a peer has lately reported the endpoint as silent
	Restarted bool // whether the endpoint has started again, which was not known
}

// RecordProbe records at now the outcome of a probe that began at began. Probes of unknown or
// ended lifetimes are ignored, except of those whose entries are only missing, which are
// probed until they are silent. An endpoint that has started again gets no new flows until
// its entry tells whether it is cold.
func (r *Router) RecordProbe(key carawaycart.LifetimeKey, outcome ProbeOutcome, began, now time.Time) ProbeResult {
	t := r.table.Load()
	if t == nil || t.byKey[key] == nil {
		return ProbeResult{}
	}
	e := t.byKey[key]
	ended := e.presence == directory.Ended
	if ended && !e.absent {
		return ProbeResult{}
	}
	if outcome == ProbeRestarted {
		return ProbeResult{Restarted: e.state.recordRestart(now)}
	}
	alive := outcome == ProbeAnswered
	changed := e.state.recordProbe(outcome, began, now)
	if changed {
		r.observer.SilenceChanged(e.lifetime.ID, !alive)
	}
	silent, _ := e.state.isSilent(now)
	return ProbeResult{
		Again: e.state.needsProbe() && (!ended || !silent), Silent: changed && !alive, Recovered: changed && alive, Reported: e.state.reportedSilent(now),
	}
}

// TakeStranded returns a packet of each flow whose request waits here for the endpoint with
// the given key, which is silent at now and has left data on an open flow unanswered, if the
// request may run more than once. It removes the records of these flows, which are to be
// reset: a caller that waits for its own timeout may have no time left to try again.
func (r *Router) TakeStranded(key carawaycart.LifetimeKey, now time.Time) []carawaycart.Packet {
	t := r.table.Load()
	if t == nil || t.byKey[key] == nil {
		return nil
	}
	e := t.byKey[key]
	if !e.state.isDead(now) {
		return nil
	}
	var stranded []carawaycart.Packet
	r.flows.forEachShard(func(s *flowShard) {
		for id, f := range s.flows {
			if f.endpoint.state == e.state && f.waitsHere(now) && f.objective != nil && f.objective.repeatable {
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

// RecordRestart records at now that a peer has found by a probe that the endpoint with the
// given token has started again. It does nothing if the lifetime is unknown or has ended.
func (r *Router) RecordRestart(token carawaycart.Token, now time.Time) {
	t := r.table.Load()
	if t == nil {
		return
	}
	if e, _ := t.ownerOf(token); e != nil && e.presence != directory.Ended {
		e.state.recordPeerRestart(now)
	}
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
	e, _ := t.ownerOf(token)
	if e == nil || e.presence == directory.Ended {
		return
	}
	if e.state.recordPeerSilence(now) {
		r.observer.ProbeRequested(&e.lifetime)
	}
}
