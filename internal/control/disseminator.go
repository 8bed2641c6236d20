package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/io/peer"
	"carawaycart/message"
)

const (
	// batchDelay is the time in which updates are collected into one message.
	batchDelay = 20 * time.Millisecond
	// exchangeTimeout limits an Exchange call, which carries a probe or updates.
	exchangeTimeout = 400 * time.Millisecond
)

// Disseminator sends updates about members, endpoints and configuration to the
// neighbours of the instance, which relay those that are new to them.
type Disseminator struct {
	board       *board.Board
	memberTable *member.Table
	client      *peer.Client
	counters    *counters.Counters
	zone        carawaycart.ZoneID

	mu       sync.Mutex // guards the queues
	statuses []queuedUpdate[carawaycart.EndpointStatus]
	changes  []queuedUpdate[carawaycart.Change]

	wake  chan struct{} // signals that updates are queued
	tasks *tasks
}

// NewDisseminator returns a running Disseminator.
func NewDisseminator(b *board.Board, t *member.Table, peerClient *peer.Client, c *counters.Counters) *Disseminator {
	d := &Disseminator{board: b, memberTable: t, client: peerClient, counters: c, zone: t.Self().Zone, wake: make(chan struct{}, 1)}
	d.tasks = newTasks(func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-d.wake:
			}
			if !sleep(ctx, batchDelay) {
				return
			}
			d.flush(ctx)
		}
	})
	return d
}

// Close stops sending updates.
func (d *Disseminator) Close() { d.tasks.Close() }

// QueueStatus queues a status that is new to this instance. It came from peer from,
// or from this instance if from is empty.
func (d *Disseminator) QueueStatus(status carawaycart.EndpointStatus, from carawaycart.InstanceID) {
	d.mu.Lock()
	d.statuses = append(d.statuses, queuedUpdate[carawaycart.EndpointStatus]{status, from})
	d.mu.Unlock()
	d.Wake()
}

// QueueChange queues a change that is new to this instance. It came from peer from,
// or from the store if from is empty.
func (d *Disseminator) QueueChange(c carawaycart.Change, from carawaycart.InstanceID) {
	d.mu.Lock()
	d.changes = append(d.changes, queuedUpdate[carawaycart.Change]{c, from})
	d.mu.Unlock()
	d.Wake()
}

// queuedUpdate is an update with the peer that sent it, or the empty ID if none
// did. It is not sent back to that peer.
type queuedUpdate[T any] struct {
	update T
	from   carawaycart.InstanceID
}

// updatesNotFrom returns the updates that peer id did not send.
func updatesNotFrom[T any](all []queuedUpdate[T], id carawaycart.InstanceID) []T {
	var payload []T
	for _, u := range all {
		if u.from != id {
			payload = append(payload, u.update)
		}
	}
	return payload
}

// Wake triggers sending of the queued updates, including those of the member
// table.
func (d *Disseminator) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Neighbours returns the peers that the instance probes and sends updates to.
func (d *Disseminator) Neighbours() []member.Peer {
	return d.board.Members().Neighbours(nil, d.board.Self, d.zone)
}

// flush sends the queued updates to the neighbours. It first sets the members of
// the board if the member table has changed.
func (d *Disseminator) flush(ctx context.Context) {
	members := d.memberTable.PopUpdates()
	if len(members) > 0 {
		d.board.SetMembers(d.memberTable.Members())
		d.logMembers(members)
	}
	d.mu.Lock()
	statuses, changes := d.statuses, d.changes
	d.statuses, d.changes = nil, nil
	d.mu.Unlock()
	if len(members)+len(statuses)+len(changes) == 0 {
		return
	}
	for _, n := range d.Neighbours() {
		updates := encodeUpdates(members, updatesNotFrom(statuses, n.ID), updatesNotFrom(changes, n.ID))
		if len(updates.Members)+len(updates.Statuses)+len(updates.Changes) > 0 {
			updates.From = string(d.board.Self)
			go d.sendUpdates(ctx, n, updates)
		}
	}
}

func (d *Disseminator) logMembers(members []carawaycart.Member) {
	for _, m := range members {
		klog.V(1).InfoS("member changed state", "instance", d.board.Self, "member", m.ID, "state", m.State, "incarnation", m.Incarnation)
	}
}

// sendUpdates sends updates to a neighbour. Lost updates are recovered through
// later probes: those of members and statuses because the digests differ,
// changes because the revisions do.
func (d *Disseminator) sendUpdates(ctx context.Context, n member.Peer, updates *message.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := &message.Exchange{}
	if err := d.client.Call(ctx, n.Address, "Exchange", updates, reply); err != nil {
		d.counters.ProbesFailed.Inc(1)
	}
}

func encodeUpdates(members []carawaycart.Member, statuses []carawaycart.EndpointStatus, changes []carawaycart.Change) *message.Exchange {
	x := &message.Exchange{}
	for _, m := range members {
		x.Members = append(x.Members, message.FromMember(m))
	}
	for _, st := range statuses {
		x.Statuses = append(x.Statuses, message.FromStatus(st))
	}
	for _, c := range changes {
		if data, err := json.Marshal(c); err == nil {
			x.Changes = append(x.Changes, data)
		}
	}
	return x
}

// addSelf adds the member entry of the instance and its digests to x and
// returns x.
func (d *Disseminator) addSelf(x *message.Exchange) *message.Exchange {
	x.From = string(d.board.Self)
	x.Self = message.FromMember(d.memberTable.Self())
	x.MemberDigest = d.memberTable.Digest()
	x.StatusDigest = d.board.StatusDigest()
	return x
}

// NewProbe returns a probe without updates.
func (d *Disseminator) NewProbe() *message.Exchange { return d.addSelf(&message.Exchange{}) }

// Answer returns the answer to x: an empty one if x only carried updates, else
// digests and the state that the sender requests.
func (d *Disseminator) Answer(x *message.Exchange) *message.Exchange {
	if x.GetSelf() == nil {
		return &message.Exchange{}
	}
	var members []carawaycart.Member
	var statuses []carawaycart.EndpointStatus
	if x.GetWantMembers() {
		members = d.memberTable.Members()
	}
	if x.GetWantStatuses() {
		statuses = d.allStatuses()
	}
	return d.addSelf(encodeUpdates(members, statuses, nil))
}

// FullState returns all known members and statuses.
func (d *Disseminator) FullState() *message.Exchange {
	return d.addSelf(encodeUpdates(d.memberTable.Members(), d.allStatuses(), nil))
}

// allStatuses returns the statuses that a keeper has published; their versions
// are not zero.
func (d *Disseminator) allStatuses() []carawaycart.EndpointStatus {
	var statuses []carawaycart.EndpointStatus
	d.board.ForEachEntry(func(e *board.Entry) {
		if st := e.Status(); st.Version > 0 {
			statuses = append(statuses, st)
		}
	})
	return statuses
}
