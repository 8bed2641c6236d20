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
	tickPeriod    = 100 * time.Millisecond
	probePeriod   = 400 * time.Millisecond
	awakePeriod   = time.Second             // a longer pause may have cost the instance its duties
	joinPeriod    = 1200 * time.Millisecond // until peers replicate to a joining instance
	joinRetry     = 300 * time.Millisecond
	listPeriod    = 20 * time.Second       // between looks at the list once joined
	listPatience  = 10 * time.Second       // for a list that does not show the instance yet
	leaveGrace    = 500 * time.Millisecond // until peers know that the instance left
	listCallLimit = 2 * time.Second
	pullSources   = 2 // peers asked for configuration and fleet
)

// Membership probes neighbours, and lets the instance join the fleet, join it
// again after a pause, and leave it.
type Membership struct {
	board      *board.Board
	table      *member.Table
	client     *peer.Client
	spreader   *Spreader
	news       *News
	configurer *Configurer
	replicator *Replicator
	list       carawaycart.InstanceList
	counters   *counters.Counters
	clock      carawaycart.Clock

	differences *differences

	seeds    []netip.AddrPort
	next     int
	last     time.Time
	patience time.Time // when an instance joins although the list does not show it
	joining  atomic.Bool
	stale    atomic.Bool // paused, and nothing heard from peers since
	loop     *loop
}

// NewMembership returns a running membership controller whose instance is
// joining. Seeds are peer addresses to try besides those of the list.
func NewMembership(b *board.Board, t *member.Table, p *peer.Client, s *Spreader, n *News, f *Configurer, r *Replicator,
	l carawaycart.InstanceList, seeds []netip.AddrPort, c *counters.Counters, k carawaycart.Clock,
) *Membership {
	m := &Membership{
		board: b, table: t, client: p, spreader: s, news: n, configurer: f, replicator: r,
		list: l, seeds: seeds, counters: c, clock: k, last: k.Now(), patience: k.Now().Add(listPatience),
		differences: newDifferences(),
	}
	m.joining.Store(true)
	b.SetMembers(t.Members())
	m.loop = newLoop(
		func(ctx context.Context) { every(ctx, tickPeriod, m.tick) },
		func(ctx context.Context) { every(ctx, probePeriod, func() { m.probe(ctx) }) },
		func(ctx context.Context) { every(ctx, listPeriod, func() { m.greet(ctx) }) },
		m.join,
	)
	return m
}

// Close stops probing without a word to the peers.
func (m *Membership) Close() { m.loop.Close() }

// tick lets deadlines pass and notices when the instance was paused.
func (m *Membership) tick() {
	now := m.clock.Now()
	paused := now.Sub(m.last) > awakePeriod
	m.last = now
	if paused && !m.joining.Load() {
		m.rejoin()
		return
	}
	if !m.stale.Load() {
		m.board.StayAwake(now.Add(awakePeriod))
	}
	m.table.Tick(now)
	m.board.Tick(now)
	m.spreader.Wake()
}

// rejoin gives up all duties after a pause, and forwards nothing until peers
// have told what changed; the join goroutine fetches state anew.
func (m *Membership) rejoin() {
	klog.InfoS("paused too long, joining again", "instance", m.board.Self)
	m.counters.Rejoins.Inc(1)
	m.stale.Store(true)
	m.joining.Store(true)
	m.table.SetState(carawaycart.MemberJoining)
	m.spreader.Wake()
}

func (m *Membership) probe(ctx context.Context) {
	neighbours := m.spreader.Neighbours()
	if len(neighbours) == 0 {
		return
	}
	m.next++
	n := neighbours[m.next%len(neighbours)]
	go m.exchange(ctx, n.ID, n.Address)
}

// exchange probes the peer, and takes in what it knows better.
func (m *Membership) exchange(ctx context.Context, id carawaycart.InstanceID, address netip.AddrPort) {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probe := m.spreader.Probe()
	probe.WantMembers, probe.WantStatuses = m.differences.wants(id)
	reply := &message.Exchange{}
	err := m.client.Call(call, address, "Exchange", probe, reply)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.counters.ProbesFailed.Inc(1)
		m.client.Drop(address)
		m.table.Suspect(id, m.clock.Now())
		m.spreader.Wake()
		return
	}
	m.news.Merge(reply)
	m.differences.note(id, m.news, reply)
	m.follow(ctx, reply.GetSelf())
}

// follow fetches the configuration of a peer that runs a later one.
func (m *Membership) follow(ctx context.Context, self *message.Member) {
	peer, err := message.ToMember(self)
	if err != nil || peer.Revision <= m.board.Revision() || m.board.View() == nil {
		return
	}
	if err := m.configurer.CatchUp(ctx, peer); err != nil {
		klog.V(1).InfoS("catching up failed", "instance", m.board.Self, "peer", peer.ID, "err", err)
	}
}

// join brings the instance from joining to ready whenever it is joining.
func (m *Membership) join(ctx context.Context) {
	for ctx.Err() == nil {
		if m.joining.Load() && m.joinOnce(ctx) {
			m.joining.Store(false)
			m.table.SetState(carawaycart.MemberReady)
			m.spreader.Wake()
			klog.InfoS("ready", "instance", m.board.Self, "revision", m.board.Revision())
		}
		sleep(ctx, joinRetry)
	}
}

// joinOnce fetches members, configuration, records and claims, and reports
// whether the instance may take up duties.
func (m *Membership) joinOnce(ctx context.Context) bool {
	if !m.greet(ctx) && m.clock.Now().Before(m.patience) {
		return false
	}
	if m.pull(ctx, &message.PullRequest{Revision: uint64(m.board.Revision()), Fleet: true}, pullSources) {
		m.stale.Store(false)
	}
	if m.board.View() == nil {
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		if err := m.configurer.LoadFromStore(call); err != nil {
			klog.V(1).InfoS("no configuration yet", "instance", m.board.Self, "err", err)
			return false
		}
	}
	if !sleep(ctx, joinPeriod) {
		return false
	}
	m.pull(ctx, &message.PullRequest{Revision: uint64(m.board.Revision()), Records: true, Claims: true}, math.MaxInt)
	return ctx.Err() == nil
}

// greet exchanges news with the seeds and the listed instances that the
// instance does not know. It reports whether the list shows the instance
// itself, and therefore also those that were started before.
func (m *Membership) greet(ctx context.Context) bool {
	self := m.table.Self()
	listed, shown := m.listed(ctx, self.ID)
	known := m.board.Members()
	for _, a := range append(listed, m.seeds...) {
		if a == self.PeerAddress || known.HasAddress(a) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		greeting := m.spreader.Probe()
		greeting.WantMembers = known.Len() == 0
		reply := &message.Exchange{}
		if err := m.client.Call(call, a, "Exchange", greeting, reply); err == nil {
			m.news.Merge(reply)
		}
		cancel()
	}
	m.board.SetMembers(m.table.Members())
	return shown
}

// listed returns the addresses of the listed instances and whether id is listed.
func (m *Membership) listed(ctx context.Context, id carawaycart.InstanceID) ([]netip.AddrPort, bool) {
	ctx, cancel := context.WithTimeout(ctx, listCallLimit)
	defer cancel()
	instances, err := m.list.Instances(ctx)
	if err != nil {
		klog.V(1).InfoS("no instance list", "instance", id, "err", err)
		return nil, false
	}
	var addresses []netip.AddrPort
	shown := false
	for _, i := range instances {
		addresses = append(addresses, i.PeerAddress)
		shown = shown || i.ID == id
	}
	return addresses, shown
}

// pull fetches from ready peers what request asks for, until as many as sources
// have answered. It reports whether any has, or there is none to ask.
func (m *Membership) pull(ctx context.Context, request *message.PullRequest, sources int) bool {
	heard, asked := false, false
	request.Self = message.FromMember(m.table.Self())
	for _, p := range m.board.Members().Ready() {
		if p.ID == m.board.Self {
			continue
		}
		asked = true
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		reply := &message.PullReply{}
		err := m.client.Call(call, p.Address, "Pull", request, reply)
		cancel()
		if err == nil {
			err = m.configurer.TakeIn(reply, p.ID)
		}
		if err != nil {
			klog.V(1).InfoS("pull failed", "instance", m.board.Self, "peer", p.ID, "err", err)
			continue
		}
		if reply.GetExchange() != nil {
			m.news.Merge(reply.GetExchange())
		}
		m.replicator.TakeRecords(reply.GetRecords())
		m.replicator.TakeClaims(reply.GetClaims())
		heard = true
		if sources--; sources == 0 {
			break
		}
	}
	return heard || !asked
}

// Leave hands the instance's duties over and tells the peers that it left; the
// instance goes on forwarding packets until it is closed.
func (m *Membership) Leave(ctx context.Context) {
	m.joining.Store(false)
	m.table.SetState(carawaycart.MemberLeft)
	m.board.SetMembers(m.table.Members())
	m.replicator.Repair(ctx)
	m.spreader.Wake()
	sleep(ctx, leaveGrace)
	m.replicator.Repair(ctx)
}
