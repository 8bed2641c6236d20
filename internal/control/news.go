package control

import (
	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/message"
)

// News takes in what peers tell and passes on what is new.
type News struct {
	board      *board.Board
	table      *member.Table
	spreader   *Spreader
	configurer *Configurer
	counters   *counters.Counters
	clock      carawaycart.Clock
}

// NewNews returns the intake of news.
func NewNews(b *board.Board, t *member.Table, s *Spreader, f *Configurer, c *counters.Counters, k carawaycart.Clock) *News {
	return &News{board: b, table: t, spreader: s, configurer: f, counters: c, clock: k}
}

// Merge takes in x, a message from a peer.
func (n *News) Merge(x *message.Exchange) {
	now := n.clock.Now()
	from := carawaycart.InstanceID(x.GetFrom())
	if n.mergeMembers(x) {
		n.spreader.Wake()
	}
	for _, s := range x.GetStatuses() {
		status, err := message.ToStatus(s)
		if err != nil {
			n.counters.MessagesRefused.Inc(1)
			continue
		}
		if n.board.Entry(status.Endpoint).MergeStatus(status) {
			n.spreader.Status(status, from)
		}
	}
	for _, data := range x.GetChanges() {
		var c carawaycart.Change
		if err := config.DecodeStrict(data, &c); err != nil {
			n.counters.MessagesRefused.Inc(1)
			continue
		}
		n.configurer.Offer(c, from, now)
	}
}

func (n *News) mergeMembers(x *message.Exchange) bool {
	now := n.clock.Now()
	news := false
	for _, m := range append(x.GetMembers(), x.GetSelf()) {
		if m == nil {
			continue
		}
		statement, err := message.ToMember(m)
		if err != nil {
			n.counters.MessagesRefused.Inc(1)
			continue
		}
		news = n.table.Merge(statement, now) || news
	}
	return news
}

// Differs reports whether the sender of x knows other members, or other
// statuses.
func (n *News) Differs(x *message.Exchange) (members, statuses bool) {
	return x.GetMemberDigest() != n.table.Digest(), x.GetStatusDigest() != n.board.StatusDigest()
}
