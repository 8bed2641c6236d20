package flow

import (
	"time"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/internal/rendezvous"
)

// Router decides packets of one instance; it is safe for concurrent use.
type Router struct {
	board   *board.Board
	records *Records
}

// NewRouter returns a router that reads b and keeps records in r.
func NewRouter(b *board.Board, r *Records) *Router {
	return &Router{board: b, records: r}
}

// Decide returns what is to be done at now with packet p. It allocates nothing
// unless it records a new flow.
func (r *Router) Decide(p *carawaycart.Packet, now time.Time) carawaycart.Decision {
	view := r.board.View()
	if view == nil || !r.board.Awake(now) {
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
		return r.first(view, route, slot, f, p.Relayed, now)
	}
	if slot.Clean() {
		return forward(slot.Base.ID)
	}
	return r.middle(view, route, slot, index, f, p, now)
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

// middle decides a packet of an established flow in a dirty or guarded slot.
func (r *Router) middle(view *board.View, route *board.ServiceRoute, slot board.Slot, index carawaycart.SlotIndex,
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
	if owner, ok := r.records.Owner(f, now, last); ok && view.Config.Holding(owner) {
		return forward(owner)
	}
	if slot.Base != slot.Current {
		route.NoteBase(index, now)
	}
	return forward(slot.Base.ID)
}

// first decides the first packet of a flow. Dropping one is safe: the caller
// sends it again.
func (r *Router) first(view *board.View, route *board.ServiceRoute, slot board.Slot,
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
	if owner, ok := r.records.Open(f, now); ok {
		if view.Config.Holding(owner) {
			return forward(owner)
		}
		r.records.Forget(f)
	}
	gate := slot.Current.Gate()
	if gate == nil {
		return drop(carawaycart.CauseNotReady)
	}
	stable, baseStable := route.Stable(f)
	if !stable {
		return r.firstWhileSpreading(slot, baseStable, now)
	}
	if view.Config.Accepting(slot.Current.ID) && gate.AdmitFlow(now) {
		return r.open(view, route, slot, slot.Current, f, now)
	}
	if slot.Base == slot.Current {
		// Packets of a clean slot bypass the keeper until all know of the guard.
		if from, ok := gate.SpillFrom(); !ok || now.Before(from) {
			return drop(carawaycart.CauseSpreading)
		}
	}
	other := r.spill(view, route, slot.Current, f)
	if other == nil {
		return drop(carawaycart.CauseNoCapacity)
	}
	return r.open(view, route, slot, other, f, now)
}

// firstWhileSpreading opens a flow on its base where the tables before and
// after agree that unrecorded flows belong to it.
func (r *Router) firstWhileSpreading(slot board.Slot, baseStable bool, now time.Time) carawaycart.Decision {
	if baseStable && slot.Base == slot.Current && slot.Base.Gate().AdmitFlow(now) {
		return forward(slot.Base.ID)
	}
	return drop(carawaycart.CauseSpreading)
}

// open records the flow unless its owner is the base of its slot.
func (r *Router) open(view *board.View, route *board.ServiceRoute, slot board.Slot, owner *board.Entry,
	f carawaycart.Fingerprint, now time.Time,
) carawaycart.Decision {
	d := forward(owner.ID)
	if owner == slot.Base {
		return d
	}
	r.records.Put(carawaycart.FlowRecord{
		Service: route.Service.ID, Fingerprint: f, Endpoint: owner.ID,
		Revision: view.Config.Revision, OpenedUnix: now.UnixNano(),
	}, now)
	d.Record = true
	return d
}

// spill returns the open endpoint of the service that scores highest for the
// flow, or nil.
func (r *Router) spill(view *board.View, route *board.ServiceRoute, not *board.Entry, f carawaycart.Fingerprint) *board.Entry {
	var best *board.Entry
	var high uint64
	for _, e := range route.Entries {
		if e == not || !view.Config.Accepting(e.ID) || e.Status().State != carawaycart.EndpointOpen {
			continue
		}
		if s := e.Score(rendezvous.Key(f)); best == nil || s > high {
			best, high = e, s
		}
	}
	return best
}
