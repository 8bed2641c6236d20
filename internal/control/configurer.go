package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/internal/rendezvous"
	"carawaycart/io/peer"
	"carawaycart/io/platform"
	"carawaycart/message"
)

const (
	// watchersPerZone is the number of instances in a zone that watch the store.
	watchersPerZone = 2
	// maxRecentChanges limits the recent changes that peers can fetch one by one, and
	// those that wait for an earlier change.
	maxRecentChanges = 512
	// retryDelay is the delay before a failed call to the store or to the keeper of
	// a key is retried, and before an instance that watches no store checks again
	// whether it should.
	retryDelay = 500 * time.Millisecond
	// watchTimeout limits one wait for a change in the store.
	watchTimeout = 35 * time.Second
	// pullTimeout limits a Pull call to a peer, and loading from the store.
	pullTimeout = 2 * time.Second
)

// Configurer applies the change log in order of revision. In each zone
// watchersPerZone instances watch the store; the others receive changes from
// peers. The watchers also recover the log if the store has lost changes.
type Configurer struct {
	board        *board.Board
	memberTable  *member.Table
	log          *platform.ChangeLog
	client       *peer.Client
	disseminator *Disseminator
	counters     *counters.Counters
	clock        carawaycart.Clock

	mu      sync.Mutex
	current *config.Configuration // nil before the first one
	pending *config.PendingChanges
	recent  []carawaycart.Change // applied last, oldest first; they end at current

	tasks *tasks
}

// NewConfigurer returns a running Configurer. It watches the store while the
// instance is one of the watchers of its zone.
func NewConfigurer(b *board.Board, t *member.Table, l *platform.ChangeLog, peerClient *peer.Client, d *Disseminator,
	c *counters.Counters, k carawaycart.Clock,
) *Configurer {
	cf := &Configurer{
		board: b, memberTable: t, log: l, client: peerClient, disseminator: d, counters: c, clock: k,
		pending: config.NewPendingChanges(maxRecentChanges),
	}
	cf.tasks = newTasks(func(ctx context.Context) {
		for ctx.Err() == nil {
			if !cf.isWatcher() || !cf.awaitChange(ctx) {
				sleep(ctx, retryDelay)
			}
		}
	})
	return cf
}

// Close stops watching the store.
func (cf *Configurer) Close() { cf.tasks.Close() }

// isWatcher reports whether the instance is one of the watchers of its zone:
// the ready members with the highest rendezvous scores. It is false until a
// configuration is loaded.
func (cf *Configurer) isWatcher() bool {
	if cf.board.View() == nil {
		return false
	}
	self := cf.memberTable.Self()
	key := rendezvous.NewKey("watcher")
	own := rendezvous.Score(rendezvous.NewName(string(self.ID)), key)
	higher := 0
	for _, p := range cf.board.Members().KeeperCandidates() {
		if p.Zone == self.Zone && rendezvous.Score(rendezvous.NewName(string(p.ID)), key) > own {
			higher++
		}
	}
	return higher < watchersPerZone
}

// awaitChange waits up to watchTimeout for the change after the current
// revision and applies it. It reports whether the store answered, with the
// change or with NotFound if there was none in time, and the log leads up to the
// current configuration.
func (cf *Configurer) awaitChange(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if !cf.checkLog(ctx) {
		return false
	}
	change, err := cf.log.Await(ctx, cf.board.Revision()+1)
	if err != nil {
		return errors.Is(err, errors.NotFound)
	}
	// The store may have been restored while the call waited.
	if !cf.checkLog(ctx) {
		return false
	}
	cf.ReceiveChange(change, "", cf.clock.Now())
	return true
}

// checkLog reports whether the log holds the change that was applied last. If not,
// because the store was restored from a copy, it recovers the lost changes, and loads
// the log anew where it went on without them.
func (cf *Configurer) checkLog(ctx context.Context) bool {
	cf.mu.Lock()
	current, recent := cf.current, slices.Clone(cf.recent)
	cf.mu.Unlock()
	held, err := cf.log.Holds(ctx, current.Revision, current.LastID)
	if err != nil || held {
		return held
	}
	cf.counters.LogMismatches.Inc(1)
	recovery, err := cf.log.Recover(ctx, recent)
	if err != nil {
		klog.V(1).InfoS("recovering the change log failed", "instance", cf.board.Self, "revision", current.Revision, "err", err)
		return false
	}
	if n := len(recovery.Appended); n > 0 {
		cf.counters.ChangesRecovered.Inc(int64(n))
		klog.InfoS("change log recovered", "instance", cf.board.Self, "revision", current.Revision, "appended", n)
	}
	for _, c := range recovery.Superseded {
		klog.InfoS("change lost by the store and superseded by another of the same object", "instance", cf.board.Self,
			"change", c.ID, "kind", c.Kind, "name", c.Name, "operator", c.Operator)
	}
	if _, err := cf.log.Change(ctx, current.Revision+1); err == nil {
		if err := cf.LoadFromStore(ctx); err != nil {
			klog.V(1).InfoS("loading the recovered change log failed", "instance", cf.board.Self, "err", err)
		}
	}
	return false
}

// Load installs configuration c, received at now, if it is newer than the
// current one.
func (cf *Configurer) Load(c *config.Configuration, now time.Time) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.current != nil && c.Revision <= cf.current.Revision {
		return
	}
	cf.install(c, now)
	cf.recent = nil // does not lead up to c
}

// install makes c the current configuration. cf.mu must be held.
func (cf *Configurer) install(c *config.Configuration, now time.Time) {
	cf.current = c
	cf.board.SetConfig(c, now)
	cf.memberTable.SetRevision(c.Revision)
	cf.counters.Revision.Update(int64(c.Revision))
}

// ReceiveChange receives a change at now from peer from, or from the store if
// from is empty. Changes are applied in order of revision: one that arrives
// early waits for those before it, and one that is already applied is ignored.
// All changes are ignored while there is no configuration, and those that would wait
// while maxRecentChanges changes wait.
func (cf *Configurer) ReceiveChange(change carawaycart.Change, from carawaycart.InstanceID, now time.Time) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.current == nil {
		return
	}
	cf.pending.Add(change, cf.current.Revision)
	for {
		next, ok := cf.pending.Pop(cf.current.Revision)
		if !ok {
			return
		}
		c, err := cf.current.ApplyOrSkip(next)
		if err != nil {
			cf.counters.ChangesRefused.Inc(1)
			// ApplyOrSkip returns the configuration with a new revision, so that all
			// instances skip the same change.
			klog.ErrorS(err, "change refused; only the revision advances", "instance", cf.board.Self, "revision", next.Revision, "change", next.ID)
		}
		cf.install(c, now)
		cf.counters.ChangesApplied.Inc(1)
		cf.recent = append(cf.recent, next)
		if len(cf.recent) > maxRecentChanges {
			cf.recent = cf.recent[1:]
		}
		klog.V(1).InfoS("change applied", "instance", cf.board.Self, "revision", next.Revision,
			"kind", next.Kind, "name", next.Name, "operator", next.Operator)
		cf.disseminator.QueueChange(next, from)
	}
}

// ChangesSince returns the changes after revision r, or the whole configuration
// if they are no longer retained. Both are nil if there are none.
func (cf *Configurer) ChangesSince(r carawaycart.Revision) ([]carawaycart.Change, *config.Configuration) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.current == nil || r >= cf.current.Revision {
		return nil, nil
	}
	missing := int(cf.current.Revision - r)
	if missing > len(cf.recent) {
		return nil, cf.current
	}
	return append([]carawaycart.Change(nil), cf.recent[len(cf.recent)-missing:]...), nil
}

// CatchUp fetches the changes after the current revision, or the whole
// configuration, from peer m and applies them.
func (cf *Configurer) CatchUp(ctx context.Context, m carawaycart.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &message.PullRequest{Self: message.FromMember(cf.memberTable.Self()), Revision: uint64(cf.board.Revision())}
	reply := &message.PullReply{}
	if err := cf.client.Call(ctx, m.PeerAddress, "Pull", request, reply); err != nil {
		return err
	}
	return cf.ApplyPull(reply, m.ID)
}

// ApplyPull applies the snapshot and the changes in a reply of peer from. It
// stops with an error at the first that cannot be decoded.
func (cf *Configurer) ApplyPull(reply *message.PullReply, from carawaycart.InstanceID) error {
	now := cf.clock.Now()
	if len(reply.GetSnapshot()) > 0 {
		c, err := config.Decode(reply.GetSnapshot())
		if err != nil {
			return errors.Annotate(err, "decode configuration from peer")
		}
		cf.Load(c, now)
	}
	for _, data := range reply.GetChanges() {
		var c carawaycart.Change
		if err := config.DecodeStrict(data, &c); err != nil {
			return errors.Annotate(err, "decode change from peer")
		}
		cf.ReceiveChange(c, from, now)
	}
	return nil
}

// LoadFromStore loads the latest configuration from the store.
func (cf *Configurer) LoadFromStore(ctx context.Context) error {
	c, err := cf.log.Latest(ctx)
	if err != nil {
		return err
	}
	cf.Load(c, cf.clock.Now())
	return nil
}
