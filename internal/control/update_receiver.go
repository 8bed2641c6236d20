package control

import (
	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/message"
)

// UpdateReceiver merges updates from peers and relays those that are new to the
// instance.
type UpdateReceiver struct {
	board        *board.Board
	memberTable  *member.Table
	disseminator *Disseminator
	configurer   *Configurer
	counters     *counters.Counters
	clock        carawaycart.Clock
}

// NewUpdateReceiver returns an UpdateReceiver that relays updates through d.
func NewUpdateReceiver(b *board.Board, t *member.Table, d *Disseminator, f *Configurer, c *counters.Counters, k carawaycart.Clock) *UpdateReceiver {
	return &UpdateReceiver{board: b, memberTable: t, disseminator: d, configurer: f, counters: c, clock: k}
}

// Merge merges message x from a peer. Malformed parts are counted and skipped.
func (u *UpdateReceiver) Merge(x *message.Exchange) {
	now := u.clock.Now()
	from := carawaycart.InstanceID(x.GetFrom())
	if u.mergeMembers(x) {
		u.disseminator.Wake()
	}
	for _, s := range x.GetStatuses() {
		status, err := message.ToStatus(s)
		if err != nil {
			u.counters.MessagesRefused.Inc(1)
			continue
		}
		if u.board.Entry(status.Endpoint).MergeStatus(status) {
			u.disseminator.QueueStatus(status, from)
		}
	}
	for _, data := range x.GetChanges() {
		var c carawaycart.Change
		if err := config.DecodeStrict(data, &c); err != nil {
			u.counters.MessagesRefused.Inc(1)
			continue
		}
		u.configurer.ReceiveChange(c, from, now)
	}
}

// mergeMembers merges the members of x and its sender. It reports whether the
// member table changed.
func (u *UpdateReceiver) mergeMembers(x *message.Exchange) bool {
	now := u.clock.Now()
	changed := false
	for _, m := range append(x.GetMembers(), x.GetSelf()) {
		if m == nil {
			continue
		}
		update, err := message.ToMember(m)
		if err != nil {
			u.counters.MessagesRefused.Inc(1)
			continue
		}
		changed = u.memberTable.Merge(update, now) || changed
	}
	return changed
}

// DigestsDiffer reports whether the digests of x, of members and of statuses,
// differ from those of the instance.
func (u *UpdateReceiver) DigestsDiffer(x *message.Exchange) (members, statuses bool) {
	return x.GetMemberDigest() != u.memberTable.Digest(), x.GetStatusDigest() != u.board.StatusDigest()
}
