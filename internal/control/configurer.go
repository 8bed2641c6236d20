package control

import (
	"context"
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
	watchersPerZone = 2
	// maxRecentChanges bounds the recent changes that peers can fetch one by one, and
	// those that wait for an earlier change.
	maxRecentChanges = 512
	storeRetryDelay  = 500 * time.Millisecond
	watchTimeout     = 35 * time.Second
	pullTimeout      = 2 * time.Second
)

// Configurer applies the change log in order of revision. In each zone
// watchersPerZone instances watch the store; the others receive changes from
// peers.
type Configurer struct {
	board        *board.Board
	table        *member.Table
	log          *platform.ChangeLog
	client       *peer.Client
	disseminator *Disseminator
	counters     *counters.Counters
	clock        carawaycart.Clock

	mu      sync.Mutex
	current *config.Configuration
	pending map[carawaycart.Revision]carawaycart.Change
	recent  []carawaycart.Change

	tasks *tasks
}

// NewConfigurer returns a running Configurer. It watches the store while the
// instance is one of the watchers of its zone.
func NewConfigurer(b *board.Board, t *member.Table, l *platform.ChangeLog, p *peer.Client, s *Disseminator,
	c *counters.Counters, k carawaycart.Clock,
) *Configurer {
	f := &Configurer{
		board: b, table: t, log: l, client: p, disseminator: s, counters: c, clock: k,
		pending: make(map[carawaycart.Revision]carawaycart.Change),
	}
	f.tasks = newTasks(func(ctx context.Context) {
		for ctx.Err() == nil {
			if !f.isWatcher() || !f.awaitChange(ctx) {
				sleep(ctx, storeRetryDelay)
			}
		}
	})
	return f
}

// Close stops watching the store.
func (f *Configurer) Close() { f.tasks.Close() }

// isWatcher reports whether the instance is one of the watchers of its zone:
// the ready members with the highest rendezvous scores. It is false until a
// configuration is loaded.
func (f *Configurer) isWatcher() bool {
	if f.board.View() == nil {
		return false
	}
	self := f.table.Self()
	key := rendezvous.NewKey("watcher")
	own := rendezvous.Score(rendezvous.NewName(string(self.ID)), key)
	higher := 0
	for _, p := range f.board.Members().Ready() {
		if p.Zone == self.Zone && rendezvous.Score(rendezvous.NewName(string(p.ID)), key) > own {
			higher++
		}
	}
	return higher < watchersPerZone
}

// awaitChange waits up to watchTimeout for the change after the current
// revision and applies it. It reports whether the store answered.
func (f *Configurer) awaitChange(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	change, err := f.log.Await(ctx, f.board.Revision()+1)
	if err == nil {
		f.ReceiveChange(change, "", f.clock.Now())
		return true
	}
	return errors.Is(err, errors.NotFound)
}

// Load installs configuration c, received at now, if it is newer than the
// current one.
func (f *Configurer) Load(c *config.Configuration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && c.Revision <= f.current.Revision {
		return
	}
	f.install(c, now)
}

// install makes c the current configuration. The caller holds f.mu.
func (f *Configurer) install(c *config.Configuration, now time.Time) {
	f.current = c
	f.board.SetConfig(c, now)
	f.table.SetRevision(c.Revision)
	f.counters.Revision.Update(int64(c.Revision))
}

// ReceiveChange receives a change at now from peer from, or from the store if
// from is empty. Changes are applied in order of revision: one that arrives
// early waits for those before it, and one that is already applied is ignored.
func (f *Configurer) ReceiveChange(change carawaycart.Change, from carawaycart.InstanceID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil || change.Revision <= f.current.Revision || len(f.pending) >= maxRecentChanges {
		return
	}
	f.pending[change.Revision] = change
	for {
		next, ok := f.pending[f.current.Revision+1]
		if !ok {
			return
		}
		delete(f.pending, next.Revision)
		c, err := f.current.Next(next)
		if err != nil {
			f.counters.ChangesRefused.Inc(1)
			klog.ErrorS(err, "change refused", "instance", f.board.Self, "revision", next.Revision, "change", next.ID)
		}
		f.install(c, now)
		f.counters.ChangesApplied.Inc(1)
		f.recent = append(f.recent, next)
		if len(f.recent) > maxRecentChanges {
			f.recent = f.recent[1:]
		}
		klog.V(1).InfoS("change applied", "instance", f.board.Self, "revision", next.Revision,
			"kind", next.Kind, "name", next.Name, "operator", next.Operator)
		f.disseminator.Change(next, from)
	}
}

// ChangesSince returns the changes after revision r, or the whole configuration
// if they are no longer retained. Both are nil if there are none.
func (f *Configurer) ChangesSince(r carawaycart.Revision) ([]carawaycart.Change, *config.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil || r >= f.current.Revision {
		return nil, nil
	}
	missing := int(f.current.Revision - r)
	if missing > len(f.recent) {
		return nil, f.current
	}
	return append([]carawaycart.Change(nil), f.recent[len(f.recent)-missing:]...), nil
}

// CatchUp fetches from peer m what follows the current revision and applies it.
func (f *Configurer) CatchUp(ctx context.Context, m carawaycart.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &message.PullRequest{Self: message.FromMember(f.table.Self()), Revision: uint64(f.board.Revision())}
	reply := &message.PullReply{}
	if err := f.client.Call(ctx, m.PeerAddress, "Pull", request, reply); err != nil {
		return err
	}
	return f.ApplyPull(reply, m.ID)
}

// ApplyPull applies the snapshot and the changes of a pull from peer from. It
// returns an error if one of them cannot be decoded.
func (f *Configurer) ApplyPull(reply *message.PullReply, from carawaycart.InstanceID) error {
	now := f.clock.Now()
	if len(reply.GetSnapshot()) > 0 {
		c, err := config.Decode(reply.GetSnapshot())
		if err != nil {
			return errors.Annotate(err, "decode configuration from peer")
		}
		f.Load(c, now)
	}
	for _, data := range reply.GetChanges() {
		var c carawaycart.Change
		if err := config.DecodeStrict(data, &c); err != nil {
			return errors.Annotate(err, "decode change from peer")
		}
		f.ReceiveChange(c, from, now)
	}
	return nil
}

// LoadFromStore loads the latest configuration from the store.
func (f *Configurer) LoadFromStore(ctx context.Context) error {
	c, err := f.log.Latest(ctx)
	if err != nil {
		return err
	}
	f.Load(c, f.clock.Now())
	return nil
}
