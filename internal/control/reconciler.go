package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/core/member"
	"carawaycart/io/platform"
)

const (
	// reconcilePeriod is the period of comparing the configuration with what the
	// instance observes.
	reconcilePeriod = 2 * time.Second
	// appendTimeout limits the appending of one change to the change log.
	appendTimeout = 5 * time.Second
)

// Reconciler proposes configuration changes that follow from what the instance
// observes as keeper. It replaces bases without flows by the current endpoints,
// marks leaving endpoints without slots as drained and drained ones with slots as
// leaving again, and marks those past their drain deadline as ended.
type Reconciler struct {
	board       *board.Board
	memberTable *member.Table
	log         *platform.ChangeLog
	clock       carawaycart.Clock
	tasks       *tasks
}

// NewReconciler returns a running Reconciler.
func NewReconciler(b *board.Board, t *member.Table, l *platform.ChangeLog, k carawaycart.Clock) *Reconciler {
	rc := &Reconciler{board: b, memberTable: t, log: l, clock: k}
	rc.tasks = newTasks(func(ctx context.Context) { every(ctx, reconcilePeriod, func() { rc.reconcile(ctx) }) })
	return rc
}

// Close stops the Reconciler.
func (rc *Reconciler) Close() { rc.tasks.Close() }

// reconcile proposes the changes that are due, if the instance is ready.
func (rc *Reconciler) reconcile(ctx context.Context) {
	view := rc.board.View()
	if view == nil || rc.memberTable.Self().State != carawaycart.MemberReady {
		return
	}
	now := rc.clock.Now()
	for id, r := range view.Services() {
		if idleMoves := rc.idleMoves(r, now); len(idleMoves) > 0 {
			rc.propose(ctx, view, carawaycart.KindSettle, string(id), replaceObject(config.BaseReplacement{Moves: idleMoves}))
		}
	}
	for id, e := range view.Config.Endpoints {
		if next := rc.nextMark(view, &e, now); next != e.Mark && rc.board.IsKeeper(rc.board.Entry(id)) {
			rc.propose(ctx, view, carawaycart.KindEndpoint, string(id), replaceMark(e.Mark, next))
		}
	}
}

// idleMoves returns the dirty slots whose base can be replaced by their current
// endpoint, because baseIdle holds. Slots with the same base and current endpoint
// are in one move. It returns nil while instances may follow different tables.
func (rc *Reconciler) idleMoves(r *board.ServiceRoute, now time.Time) []config.BaseMove {
	type pair struct{ base, current *board.Entry }
	index := make(map[pair]int)
	var idleMoves []config.BaseMove
	t := r.Latest()
	if len(r.Recent) > 1 || t.DirtyCount() == 0 {
		return nil
	}
	for i := range t.Len() {
		n := carawaycart.SlotIndex(i)
		sl := t.Slot(n)
		if sl.Base == sl.Current || sl.Base == nil || sl.Current == nil || !rc.baseIdle(r, n, sl.Current, now) {
			continue
		}
		p := pair{sl.Base, sl.Current}
		at, ok := index[p]
		if !ok {
			at = len(idleMoves)
			index[p] = at
			idleMoves = append(idleMoves, config.BaseMove{Base: sl.Base.ID, Current: sl.Current.ID})
		}
		idleMoves[at].Slots = append(idleMoves[at].Slots, n)
	}
	return idleMoves
}

// baseIdle reports whether the instance has been keeper of the current endpoint
// of slot n for the flow idle time, and in that time sent no packet without a flow
// record to the base of the slot.
func (rc *Reconciler) baseIdle(r *board.ServiceRoute, n carawaycart.SlotIndex, current *board.Entry, now time.Time) bool {
	limit := r.Profile.FlowIdleSeconds.Duration()
	return rc.board.IsKeeper(current) && current.Limiter() != nil &&
		now.Sub(r.BaseLastUsed(n)) >= limit && now.Sub(current.KeeperSince()) >= limit
}

// nextMark returns the mark that e should have at now. A leaving or drained
// endpoint ends at its drain deadline. Before that it is leaving if the latest
// table contains it and drained if not, but keeps its mark while instances may
// follow different tables. Other marks stay.
func (rc *Reconciler) nextMark(view *board.View, e *carawaycart.Endpoint, now time.Time) carawaycart.EndpointMark {
	if e.Mark != carawaycart.MarkLeaving && e.Mark != carawaycart.MarkDrained {
		return e.Mark
	}
	if !e.DrainDeadline.IsZero() && !now.Before(e.DrainDeadline) {
		return carawaycart.MarkEnded
	}
	r := view.ServiceByID(e.Service)
	if r == nil || len(r.Recent) > 1 {
		return e.Mark
	}
	for _, used := range r.Latest().Entries() {
		if used.ID == e.ID {
			return carawaycart.MarkLeaving
		}
	}
	return carawaycart.MarkDrained
}

// objectUpdate computes the new object of a change from the present one, which is
// nil if there is none.
type objectUpdate func(present json.RawMessage) (json.RawMessage, error)

func replaceObject(object any) objectUpdate {
	return func(json.RawMessage) (json.RawMessage, error) { return json.Marshal(object) }
}

// replaceMark returns an update from mark old to mark next. It fails if the
// mark is no longer old, because an operator has changed it.
func replaceMark(old, next carawaycart.EndpointMark) objectUpdate {
	return func(present json.RawMessage) (json.RawMessage, error) {
		var e carawaycart.Endpoint
		if err := config.DecodeStrict(present, &e); err != nil {
			return nil, err
		}
		if e.Mark != old {
			return nil, errors.NotValidf("mark %q of endpoint %s, which meanwhile has mark %q,", next, e.ID, e.Mark)
		}
		e.Mark = next
		return json.Marshal(e)
	}
}

// propose appends a change to the change log in the name of the instance. If
// the store is down, the next round retries.
func (rc *Reconciler) propose(ctx context.Context, view *board.View, kind carawaycart.ObjectKind, name string, u objectUpdate) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := rc.log.AppendAfter(ctx, view.Config, platform.Edit{
		Operator: carawaycart.OperatorName("instance/" + string(rc.board.Self)), Kind: kind, Name: name, Update: u,
	})
	if err != nil {
		klog.V(1).InfoS("appending proposed change to the change log failed", "instance", rc.board.Self, "kind", kind, "name", name, "err", err)
	}
}
