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
	settlePeriod  = 2 * time.Second
	appendTimeout = 5 * time.Second
)

// Settler proposes changes that follow from what the instance sees as keeper:
// bases without flows give way, and leaving endpoints without slots, or past
// their deadline, are marked so.
type Settler struct {
	board *board.Board
	table *member.Table
	log   *platform.ChangeLog
	clock carawaycart.Clock
	loop  *loop
}

// NewSettler returns a running settler.
func NewSettler(b *board.Board, t *member.Table, l *platform.ChangeLog, k carawaycart.Clock) *Settler {
	s := &Settler{board: b, table: t, log: l, clock: k}
	s.loop = newLoop(func(ctx context.Context) { every(ctx, settlePeriod, func() { s.settle(ctx) }) })
	return s
}

// Close ends the settler.
func (s *Settler) Close() { s.loop.Close() }

func (s *Settler) settle(ctx context.Context) {
	view := s.board.View()
	if view == nil || s.table.Self().State != carawaycart.MemberReady {
		return
	}
	now := s.clock.Now()
	for id, r := range view.Services() {
		if moves := s.moves(r, now); len(moves) > 0 {
			s.append(ctx, view, carawaycart.KindSettle, string(id), replaceBy(config.Settlement{Moves: moves}))
		}
	}
	for id, e := range view.Config.Endpoints {
		if next := s.nextMark(view, &e, now); next != e.Mark && s.board.Keeps(s.board.Entry(id)) {
			s.append(ctx, view, carawaycart.KindEndpoint, string(id), replaceMark(e.Mark, next))
		}
	}
}

// moves returns, for each pair of base and current endpoint that the instance
// decides for, the dirty slots whose base got no packet for the idle limit.
func (s *Settler) moves(r *board.ServiceRoute, now time.Time) []config.Move {
	type pair struct{ base, current *board.Entry }
	index := make(map[pair]int)
	var moves []config.Move
	t := r.Latest()
	if len(r.Recent) > 1 || t.Dirty() == 0 {
		return nil
	}
	for i := range t.Len() {
		n := carawaycart.SlotIndex(i)
		sl := t.Slot(n)
		if sl.Base == sl.Current || sl.Base == nil || sl.Current == nil || !s.idle(r, n, sl.Current, now) {
			continue
		}
		p := pair{sl.Base, sl.Current}
		at, ok := index[p]
		if !ok {
			at = len(moves)
			index[p] = at
			moves = append(moves, config.Move{Base: sl.Base.ID, Current: sl.Current.ID})
		}
		moves[at].Slots = append(moves[at].Slots, n)
	}
	return moves
}

// idle reports whether the instance has kept the slot's current endpoint for
// the idle limit without a packet to the slot's base.
func (s *Settler) idle(r *board.ServiceRoute, n carawaycart.SlotIndex, current *board.Entry, now time.Time) bool {
	limit := r.Profile.FlowIdleSeconds.Duration()
	return s.board.Keeps(current) && current.Gate() != nil &&
		now.Sub(r.BaseSeen(n)) >= limit && now.Sub(current.KeptSince()) >= limit
}

// nextMark returns the mark that an endpoint should have.
func (s *Settler) nextMark(view *board.View, e *carawaycart.Endpoint, now time.Time) carawaycart.EndpointMark {
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
	for _, owner := range r.Latest().Entries() {
		if owner.ID == e.ID {
			return carawaycart.MarkLeaving
		}
	}
	return carawaycart.MarkDrained
}

// update computes the new object of a change from the present one.
type update func(present json.RawMessage) (json.RawMessage, error)

func replaceBy(object any) update {
	return func(json.RawMessage) (json.RawMessage, error) { return json.Marshal(object) }
}

// replaceMark marks an endpoint anew unless operators have changed its mark.
func replaceMark(old, next carawaycart.EndpointMark) update {
	return func(present json.RawMessage) (json.RawMessage, error) {
		var e carawaycart.Endpoint
		if err := config.DecodeStrict(present, &e); err != nil {
			return nil, err
		}
		if e.Mark != old {
			return nil, errors.NotValidf("mark %q of endpoint %s, which is %q by now", next, e.ID, e.Mark)
		}
		e.Mark = next
		return json.Marshal(e)
	}
}

// append writes a change in the instance's own name; if the store is down the
// next round tries again.
func (s *Settler) append(ctx context.Context, view *board.View, kind carawaycart.ObjectKind, name string, u update) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.log.AppendAfter(ctx, view.Config, platform.Edit{
		Operator: carawaycart.OperatorName("instance/" + string(s.board.Self)), Kind: kind, Name: name, Update: u,
	})
	if err != nil {
		klog.V(1).InfoS("own change not accepted", "instance", s.board.Self, "kind", kind, "name", name, "err", err)
	}
}
