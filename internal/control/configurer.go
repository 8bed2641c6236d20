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
	keptChanges     = 512 // recent changes that peers can fetch singly
	storeRetry      = 500 * time.Millisecond
	watchPeriod     = 35 * time.Second
	pullTimeout     = 2 * time.Second
)

// Configurer applies the change log in order. A few instances of each zone
// watch the store; the others receive changes from peers.
type Configurer struct {
	board    *board.Board
	table    *member.Table
	log      *platform.ChangeLog
	client   *peer.Client
	spreader *Spreader
	counters *counters.Counters
	clock    carawaycart.Clock

	mu      sync.Mutex
	current *config.Configuration
	pending map[carawaycart.Revision]carawaycart.Change
	recent  []carawaycart.Change

	loop *loop
}

// NewConfigurer returns a configurer that watches the store whenever the
// instance is one of its zone's watchers.
func NewConfigurer(b *board.Board, t *member.Table, l *platform.ChangeLog, p *peer.Client, s *Spreader,
	c *counters.Counters, k carawaycart.Clock,
) *Configurer {
	f := &Configurer{
		board: b, table: t, log: l, client: p, spreader: s, counters: c, clock: k,
		pending: make(map[carawaycart.Revision]carawaycart.Change),
	}
	f.loop = newLoop(func(ctx context.Context) {
		for ctx.Err() == nil {
			if !f.watches() || !f.watch(ctx) {
				sleep(ctx, storeRetry)
			}
		}
	})
	return f
}

// Close stops watching.
func (f *Configurer) Close() { f.loop.Close() }

// watches reports whether the instance is one of its zone's watchers.
func (f *Configurer) watches() bool {
	if f.board.View() == nil {
		return false
	}
	self := f.table.Self()
	key := rendezvous.NewKey("watcher")
	own := rendezvous.Score(rendezvous.NewName(string(self.ID)), key)
	ahead := 0
	for _, p := range f.board.Members().Ready() {
		if p.Zone == self.Zone && rendezvous.Score(rendezvous.NewName(string(p.ID)), key) > own {
			ahead++
		}
	}
	return ahead < watchersPerZone
}

// watch waits for the next change in the store and reports whether the store
// answered.
func (f *Configurer) watch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchPeriod)
	defer cancel()
	change, err := f.log.Await(ctx, f.board.Revision()+1)
	if err == nil {
		f.Offer(change, "", f.clock.Now())
		return true
	}
	return errors.Is(err, errors.NotFound)
}

// Load takes in a whole configuration that arrived at now, if it is newer.
func (f *Configurer) Load(c *config.Configuration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && c.Revision <= f.current.Revision {
		return
	}
	f.adopt(c, now)
}

func (f *Configurer) adopt(c *config.Configuration, now time.Time) {
	f.current = c
	f.board.SetConfig(c, now)
	f.table.SetRevision(c.Revision)
	f.counters.Revision.Update(int64(c.Revision))
}

// Offer takes in a change that arrived at now, told by peer from, or empty if it
// came from the store. Changes ahead of their turn are
// held back; ones already applied are ignored.
func (f *Configurer) Offer(change carawaycart.Change, from carawaycart.InstanceID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil || change.Revision <= f.current.Revision || len(f.pending) >= keptChanges {
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
		f.adopt(c, now)
		f.counters.ChangesApplied.Inc(1)
		f.recent = append(f.recent, next)
		if len(f.recent) > keptChanges {
			f.recent = f.recent[1:]
		}
		klog.V(1).InfoS("change applied", "instance", f.board.Self, "revision", next.Revision,
			"kind", next.Kind, "name", next.Name, "operator", next.Operator)
		f.spreader.Change(next, from)
	}
}

// Since returns the changes after revision r, or the whole configuration if
// they are no longer held.
func (f *Configurer) Since(r carawaycart.Revision) ([]carawaycart.Change, *config.Configuration) {
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

// CatchUp fetches from the peer at address what follows the revision held.
func (f *Configurer) CatchUp(ctx context.Context, m carawaycart.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &message.PullRequest{Self: message.FromMember(f.table.Self()), Revision: uint64(f.board.Revision())}
	reply := &message.PullReply{}
	if err := f.client.Call(ctx, m.PeerAddress, "Pull", request, reply); err != nil {
		return err
	}
	return f.TakeIn(reply, m.ID)
}

// TakeIn applies the configuration of a pull from peer from.
func (f *Configurer) TakeIn(reply *message.PullReply, from carawaycart.InstanceID) error {
	now := f.clock.Now()
	if len(reply.GetSnapshot()) > 0 {
		c, err := config.Decode(reply.GetSnapshot())
		if err != nil {
			return errors.Annotate(err, "configuration from peer")
		}
		f.Load(c, now)
	}
	for _, data := range reply.GetChanges() {
		var c carawaycart.Change
		if err := config.DecodeStrict(data, &c); err != nil {
			return errors.Annotate(err, "change from peer")
		}
		f.Offer(c, from, now)
	}
	return nil
}

// LoadFromStore takes in the latest configuration of the store.
func (f *Configurer) LoadFromStore(ctx context.Context) error {
	c, err := f.log.Latest(ctx)
	if err != nil {
		return err
	}
	f.Load(c, f.clock.Now())
	return nil
}
