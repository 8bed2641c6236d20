package flow

import (
	"time"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/internal/rendezvous"
)

// Router decides how one instance handles packets. It is safe for concurrent
// use.
type Router struct {
	board   *board.Board // configuration, members and endpoint statuses of the instance
	records *Records
}

// NewRouter returns the router of the instance whose state is b and whose flow
// records are r.
func NewRouter(b *board.Board, r *Records) *Router {
	return &Router{board: b, records: r}
}

// Decide returns the decision for packet p at now. It allocates memory only when
// it records a new flow.
func (r *Router) Decide(p *carawaycart.Packet, now time.Time) carawaycart.Decision {
	view := r.board.View()
	if view == nil || !r.board.MayDecide(now) {
		return drop(carawaycart.CauseNotReady)
	}
	route := view.Service(p.Key.Service)
	if route == nil {
		return drop(carawaycart.CauseUnknownService)
	}
	f := p.Key.Fingerprint()
	index := route.Active.Index(f)
	slot := route.Active.Slot(index)
	if slot.Base == nil || slot.Current == nil {
		return drop(carawaycart.CauseNoEndpoint)
	}
	if p.Kind == carawaycart.PacketFirst {
		return r.decideFirst(view, route, slot, f, p.Relayed, now)
	}
	if slot.Clean() {
		return forward(slot.Base.ID)
	}
	return r.decideEstablished(view, route, slot, index, f, p, now)
}

func drop(c carawaycart.Cause) carawaycart.Decision {
	return carawaycart.Decision{Verdict: carawaycart.VerdictDrop, Cause: c}
}

func forward(e carawaycart.EndpointID) carawaycart.Decision {
	return carawaycart.Decision{Verdict: carawaycart.VerdictForward, Endpoint: e}
}

func relay(i carawaycart.InstanceID) carawaycart.Decision {
	return carawaycart.Decision{Verdict: carawaycart.VerdictRelay, Instance: i}
}

// decideEstablished decides a packet other than the first of a flow, in a slot that
// is not clean. The keeper decides it; if it was relayed, a replica may decide it
// too, since an instance with other members may regard that replica as the keeper.
func (r *Router) decideEstablished(view *board.View, route *board.ServiceRoute, slot board.Slot, index carawaycart.SlotIndex,
	f carawaycart.Fingerprint, p *carawaycart.Packet, now time.Time,
) carawaycart.Decision {
	holders := slot.Current.Holders(r.board.Members())
	switch {
	case holders.Keeper == "":
		return drop(carawaycart.CauseNoKeeper)
	case holders.Keeper != r.board.Self && !p.Relayed:
		return relay(holders.Keeper)
	case !holders.Contains(r.board.Self):
		return drop(carawaycart.CauseNotKeeper)
	}
	last := p.Kind == carawaycart.PacketLast
	if owner, ok := r.records.OwnerForPacket(f, now, last); ok && view.Config.MayOwnFlows(owner) {
		return forward(owner)
	}
	if slot.Base != slot.Current {
		// The base can be replaced once it has received no such packet for the idle
		// time of flows.
		route.RecordBaseUse(index, now)
	}
	return forward(slot.Base.ID)
}

// decideFirst decides the first packet of a flow. Only the keeper admits the flow.
// It drops the packet if it cannot choose an owner on which all instances agree;
// this is safe because the caller retransmits the packet.
func (r *Router) decideFirst(view *board.View, route *board.ServiceRoute, slot board.Slot,
	f carawaycart.Fingerprint, relayed bool, now time.Time,
) carawaycart.Decision {
	keeper := slot.Current.Holders(r.board.Members()).Keeper
	switch {
	case keeper == "":
		return drop(carawaycart.CauseNoKeeper)
	case keeper != r.board.Self && !relayed:
		return relay(keeper)
	case keeper != r.board.Self:
		return drop(carawaycart.CauseNotKeeper)
	}
	if owner, ok := r.records.OwnerForFirstPacket(f, now); ok {
		if view.Config.MayOwnFlows(owner) {
			return forward(owner)
		}
		r.records.Delete(f)
	}
	limiter := slot.Current.Limiter()
	if limiter == nil {
		// The instance has not taken over as keeper of the endpoint yet.
		return drop(carawaycart.CauseNotReady)
	}
	stable, baseStable := route.Stable(f)
	if !stable {
		return r.decideFirstUnstable(slot, baseStable, now)
	}
	if view.Config.AcceptsNewWork(slot.Current.ID) && limiter.AdmitFlow(now) {
		return r.openFlow(view, route, slot, slot.Current, f, now)
	}
	if slot.Base == slot.Current {
		// Instances that do not know yet that the endpoint is guarded forward later
		// packets of the slot to its base, bypassing the keeper.
		if spilloverStart, ok := limiter.SpilloverStart(); !ok || now.Before(spilloverStart) {
			return drop(carawaycart.CauseSpreading)
		}
	}
	target := r.spilloverTarget(view, route, slot.Current, f)
	if target == nil {
		return drop(carawaycart.CauseNoCapacity)
	}
	return r.openFlow(view, route, slot, target, f, now)
}

// decideFirstUnstable decides the first packet of a flow whose slot has changed so
// recently that some instances may use an older table. It admits the flow only to
// the base, and only if that is also the current endpoint and baseStable states
// that it is the base in all recent tables, because then no instance needs a
// record of the flow.
func (r *Router) decideFirstUnstable(slot board.Slot, baseStable bool, now time.Time) carawaycart.Decision {
	if baseStable && slot.Base == slot.Current && slot.Base.Limiter().AdmitFlow(now) {
		return forward(slot.Base.ID)
	}
	return drop(carawaycart.CauseSpreading)
}

// openFlow forwards the first packet of flow f to owner. It records the flow unless
// owner is the base of its slot, which owns all flows without a record.
func (r *Router) openFlow(view *board.View, route *board.ServiceRoute, slot board.Slot, owner *board.Entry,
	f carawaycart.Fingerprint, now time.Time,
) carawaycart.Decision {
	d := forward(owner.ID)
	if owner == slot.Base {
		return d
	}
	r.records.Merge(carawaycart.FlowRecord{
		Service: route.Service.ID, Fingerprint: f, Endpoint: owner.ID,
		Revision: view.Config.Revision, OpenedUnixNano: now.UnixNano(),
	}, now)
	d.RecordCreated = true
	return d
}

// spilloverTarget returns the endpoint that receives flow f because endpoint
// exclude may not: the one with the highest rendezvous score for f among the other
// endpoints of the service that are open and accept new flows. It returns nil if
// there is none.
func (r *Router) spilloverTarget(view *board.View, route *board.ServiceRoute, exclude *board.Entry, f carawaycart.Fingerprint) *board.Entry {
	var best *board.Entry
	var bestScore uint64
	for _, e := range route.Entries {
		if e == exclude || !view.Config.AcceptsNewWork(e.ID) || e.Status().State != carawaycart.EndpointOpen {
			continue
		}
		if s := e.Score(rendezvous.Key(f)); best == nil || s > bestScore {
			best, bestScore = e, s
		}
	}
	return best
}
