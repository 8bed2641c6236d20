package control

import (
	"context"
	"math"
	"net/netip"
	"sync/atomic"
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
	// tickPeriod is the period of processing deadlines and detecting pauses.
	tickPeriod = 100 * time.Millisecond
	// probePeriod is the period of probing one neighbour.
	probePeriod = 400 * time.Millisecond
	// maxPause is the longest time between ticks after which the instance may still
	// make decisions; after a longer one peers may have replaced it.
	maxPause = time.Second
	// joinReplicationDelay is the time after which all peers know a joining instance
	// and replicate new state to it.
	joinReplicationDelay = 1200 * time.Millisecond
	// joinRetryDelay is the delay between tries to join, and the period of checking
	// whether the instance has to join again.
	joinRetryDelay = 300 * time.Millisecond
	// listPeriod is the period of reading the instance list. While the instance
	// joins, each try reads it too.
	listPeriod = 20 * time.Second
	// listCallTimeout limits one reading of the instance list.
	listCallTimeout = 2 * time.Second
	// selfListingTimeout is the time after which the instance joins although the
	// instance list does not contain it.
	selfListingTimeout = 10 * time.Second
	// leavePropagationDelay is the time after which all peers know that the instance
	// left.
	leavePropagationDelay = 500 * time.Millisecond
	// pullSources is the number of peers from which configuration and members are
	// pulled.
	pullSources = 2
)

// Membership probes neighbours, and lets the instance join the fleet, rejoin it
// after a pause, and leave it.
type Membership struct {
	board        *board.Board
	memberTable  *member.Table
	client       *peer.Client
	disseminator *Disseminator
	updates      *UpdateReceiver
	configurer   *Configurer
	replicator   *Replicator
	list         carawaycart.InstanceList
	counters     *counters.Counters
	clock        carawaycart.Clock

	digestMismatches *digestMismatches

	seeds               []netip.AddrPort
	probeCount          int // selects the next neighbour to probe
	lastTick            time.Time
	selfListingDeadline time.Time   // when the instance joins although the list does not contain it
	joining             atomic.Bool // the instance has to join, or to join again
	stale               atomic.Bool // paused, and no state pulled from peers since
	tasks               *tasks
}

// NewMembership returns a running Membership of a joining instance. Seeds are
// peer addresses to contact in addition to those of the instance list.
func NewMembership(b *board.Board, t *member.Table, peerClient *peer.Client, d *Disseminator, u *UpdateReceiver, cf *Configurer, r *Replicator,
	instances carawaycart.InstanceList, seeds []netip.AddrPort, c *counters.Counters, k carawaycart.Clock,
) *Membership {
	m := &Membership{
		board: b, memberTable: t, client: peerClient, disseminator: d, updates: u, configurer: cf, replicator: r,
		list: instances, seeds: seeds, counters: c, clock: k, lastTick: k.Now(), selfListingDeadline: k.Now().Add(selfListingTimeout),
		digestMismatches: newDigestMismatches(),
	}
	m.joining.Store(true)
	b.SetMembers(t.Members())
	m.tasks = newTasks(
		func(ctx context.Context) { every(ctx, tickPeriod, m.tick) },
		func(ctx context.Context) { every(ctx, probePeriod, func() { m.probe(ctx) }) },
		func(ctx context.Context) { every(ctx, listPeriod, func() { m.discover(ctx) }) },
		m.join,
	)
	return m
}

// Close stops probing without notifying the peers.
func (m *Membership) Close() { m.tasks.Close() }

// tick processes the deadlines of the member table and of the board, and detects
// that the instance was paused.
func (m *Membership) tick() {
	now := m.clock.Now()
	paused := now.Sub(m.lastTick) > maxPause
	m.lastTick = now
	if paused && !m.joining.Load() {
		m.rejoin()
		return
	}
	if !m.stale.Load() {
		m.board.AllowDecisionsUntil(now.Add(maxPause))
	}
	m.memberTable.Tick(now)
	m.board.Tick(now)
	m.disseminator.Wake()
}

// rejoin makes the instance join the fleet again after a pause. It forwards
// nothing until it has pulled the current state from a peer, which the join
// goroutine does.
func (m *Membership) rejoin() {
	klog.InfoS("instance was paused too long; rejoining the fleet", "instance", m.board.Self)
	m.counters.Rejoins.Inc(1)
	m.stale.Store(true)
	m.joining.Store(true)
	m.memberTable.SetState(carawaycart.MemberJoining)
	m.disseminator.Wake()
}

// probe probes the next of the neighbours in turn.
func (m *Membership) probe(ctx context.Context) {
	neighbours := m.disseminator.Neighbours()
	if len(neighbours) == 0 {
		return
	}
	m.probeCount++
	n := neighbours[m.probeCount%len(neighbours)]
	go m.exchange(ctx, n.ID, n.Address)
}

// exchange probes peer id at address, merges its answer, and fetches its
// configuration if that is later. A peer that does not answer becomes suspect.
func (m *Membership) exchange(ctx context.Context, id carawaycart.InstanceID, address netip.AddrPort) {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	probe := m.disseminator.NewProbe()
	probe.WantMembers, probe.WantStatuses = m.digestMismatches.stateToRequest(id)
	reply := &message.Exchange{}
	err := m.client.Call(call, address, "Exchange", probe, reply)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.counters.ProbesFailed.Inc(1)
		m.client.Disconnect(address)
		m.memberTable.MarkSuspect(id, m.clock.Now())
		m.disseminator.Wake()
		return
	}
	m.updates.Merge(reply)
	m.digestMismatches.record(id, m.updates, reply)
	m.catchUp(ctx, reply.GetSelf())
}

// catchUp fetches the configuration of a peer if its revision is later. entry is
// the peer's own member entry.
func (m *Membership) catchUp(ctx context.Context, entry *message.Member) {
	remote, err := message.ToMember(entry)
	if err != nil || remote.Revision <= m.board.Revision() || m.board.View() == nil {
		return
	}
	if err := m.configurer.CatchUp(ctx, remote); err != nil {
		klog.V(1).InfoS("fetching later configuration from peer failed", "instance", m.board.Self, "peer", remote.ID, "err", err)
	}
}

// join brings the instance from joining to ready whenever it is joining.
func (m *Membership) join(ctx context.Context) {
	for ctx.Err() == nil {
		if m.joining.Load() && m.joinOnce(ctx) {
			m.joining.Store(false)
			m.memberTable.SetState(carawaycart.MemberReady)
			m.disseminator.Wake()
			klog.InfoS("instance joined the fleet and is ready", "instance", m.board.Self, "revision", m.board.Revision())
		}
		sleep(ctx, joinRetryDelay)
	}
}

// joinOnce fetches members, configuration, records and claims. It reports
// whether the instance may become ready.
func (m *Membership) joinOnce(ctx context.Context) bool {
	if !m.discover(ctx) && m.clock.Now().Before(m.selfListingDeadline) {
		return false
	}
	switch pulled := m.pull(ctx, &message.PullRequest{Revision: uint64(m.board.Revision()), Fleet: true}, pullSources); {
	case pulled:
		m.stale.Store(false)
	case m.stale.Load():
		// Ready without current state, the instance would never decide again.
		return false
	}
	if m.board.View() == nil {
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		if err := m.configurer.LoadFromStore(call); err != nil {
			klog.V(1).InfoS("loading configuration from store failed; join will be retried", "instance", m.board.Self, "err", err)
			return false
		}
	}
	if !sleep(ctx, joinReplicationDelay) {
		return false
	}
	m.pull(ctx, &message.PullRequest{Revision: uint64(m.board.Revision()), Records: true, Claims: true}, math.MaxInt)
	return ctx.Err() == nil
}

// discover exchanges state with the seeds and the listed instances that are not
// known members. It reports whether the list contains the instance itself, and
// therefore also those that were started before it.
func (m *Membership) discover(ctx context.Context) bool {
	self := m.memberTable.Self()
	listed, selfListed := m.listed(ctx, self.ID)
	known := m.board.Members()
	for _, a := range append(listed, m.seeds...) {
		if a == self.PeerAddress || known.HasAddress(a) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, exchangeTimeout)
		probe := m.disseminator.NewProbe()
		probe.WantMembers = known.Len() == 0
		reply := &message.Exchange{}
		if err := m.client.Call(call, a, "Exchange", probe, reply); err == nil {
			m.updates.Merge(reply)
		}
		cancel()
	}
	m.board.SetMembers(m.memberTable.Members())
	return selfListed
}

// listed returns the peer addresses of the listed instances and whether id is
// listed. It returns none and false if the list cannot be read.
func (m *Membership) listed(ctx context.Context, id carawaycart.InstanceID) ([]netip.AddrPort, bool) {
	ctx, cancel := context.WithTimeout(ctx, listCallTimeout)
	defer cancel()
	instances, err := m.list.Instances(ctx)
	if err != nil {
		klog.V(1).InfoS("reading instance list failed", "instance", id, "err", err)
		return nil, false
	}
	var addresses []netip.AddrPort
	selfListed := false
	for _, i := range instances {
		addresses = append(addresses, i.PeerAddress)
		selfListed = selfListed || i.ID == id
	}
	return addresses, selfListed
}

// pull sends request to the ready peers one by one, until the number of answers
// is sources, and applies the answers. It reports whether at least one peer
// answered or there was none to ask.
func (m *Membership) pull(ctx context.Context, request *message.PullRequest, sources int) bool {
	answered, asked := false, false
	request.Self = message.FromMember(m.memberTable.Self())
	for _, p := range m.board.Members().KeeperCandidates() {
		if p.ID == m.board.Self {
			continue
		}
		asked = true
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		reply := &message.PullReply{}
		err := m.client.Call(call, p.Address, "Pull", request, reply)
		cancel()
		if err == nil {
			err = m.configurer.ApplyPull(reply, p.ID)
		}
		if err != nil {
			klog.V(1).InfoS("pulling state from peer failed", "instance", m.board.Self, "peer", p.ID, "err", err)
			continue
		}
		if reply.GetExchange() != nil {
			m.updates.Merge(reply.GetExchange())
		}
		m.replicator.ApplyRecords(reply.GetRecords())
		m.replicator.ApplyClaims(reply.GetClaims())
		answered = true
		if sources--; sources == 0 {
			break
		}
	}
	return answered || !asked
}

// Leave copies the records and claims of the instance to their new holders and
// notifies the peers that it left. The instance continues to forward packets until
// it is closed.
func (m *Membership) Leave(ctx context.Context) {
	m.joining.Store(false)
	m.memberTable.SetState(carawaycart.MemberLeft)
	m.board.SetMembers(m.memberTable.Members())
	m.replicator.Repair(ctx)
	m.disseminator.Wake()
	sleep(ctx, leavePropagationDelay)
	// Copies state to instances that became holders during the delay.
	m.replicator.Repair(ctx)
}
