package control

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/claim"
	"carawaycart/core/flow"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/io/peer"
	"carawaycart/message"
)

const (
	flushPeriod    = 2 * time.Millisecond // less than a caller's round trip
	repairPeriod   = 100 * time.Millisecond
	copyTimeout    = 500 * time.Millisecond
	lossWindow     = 5 * time.Second // claims of a lost holder are copied anew within this
	uncertainty    = time.Hour       // the longest that a claim is kept
	recordsPerCall = 4096
)

// Replicator copies new flow records to the holders of their endpoints, and
// copies records and claims anew when their holders change.
type Replicator struct {
	board    *board.Board
	records  *flow.Records
	claims   *claim.Table
	table    *member.Table
	client   *peer.Client
	counters *counters.Counters
	clock    carawaycart.Clock

	mu    sync.Mutex
	queue []queuedRecord
	wake  chan struct{}

	repairMu sync.Mutex
	members  *member.View // as of the last repair
	view     *board.View
	history  []pastView

	loop *loop
}

type queuedRecord struct {
	record carawaycart.FlowRecord
	keeper *board.Entry // the endpoint whose holders get the record
}

// pastView is a view of the fleet and when another replaced it.
type pastView struct {
	view *member.View
	end  time.Time
}

// NewReplicator returns a running replicator.
func NewReplicator(b *board.Board, r *flow.Records, a *claim.Table, t *member.Table, p *peer.Client,
	c *counters.Counters, k carawaycart.Clock,
) *Replicator {
	re := &Replicator{
		board: b, records: r, claims: a, table: t, client: p, counters: c, clock: k,
		wake: make(chan struct{}, 1), members: b.Members(),
	}
	re.loop = newLoop(
		func(ctx context.Context) {
			for {
				select {
				case <-ctx.Done():
					return
				case <-re.wake:
				}
				re.flush(ctx)
				sleep(ctx, flushPeriod)
			}
		},
		func(ctx context.Context) { every(ctx, repairPeriod, func() { re.Repair(ctx) }) },
	)
	return re
}

// Close stops replication.
func (re *Replicator) Close() { re.loop.Close() }

// Record queues a new record that this instance made as keeper of e.
func (re *Replicator) Record(r carawaycart.FlowRecord, e *board.Entry) {
	re.mu.Lock()
	re.queue = append(re.queue, queuedRecord{record: r, keeper: e})
	re.mu.Unlock()
	select {
	case re.wake <- struct{}{}:
	default:
	}
}

func (re *Replicator) flush(ctx context.Context) {
	re.mu.Lock()
	queue := re.queue
	re.queue = nil
	re.mu.Unlock()
	members := re.board.Members()
	batches := make(map[carawaycart.InstanceID][]carawaycart.FlowRecord)
	for _, q := range queue {
		for _, id := range re.targets(q, members) {
			batches[id] = append(batches[id], q.record)
		}
	}
	for id, records := range batches {
		go re.sendRecords(ctx, members, id, records)
	}
}

// targets returns the replicas of a record: those of the keeper that made it,
// and while its slot moves also those of the keeper to come.
func (re *Replicator) targets(q queuedRecord, members *member.View) []carawaycart.InstanceID {
	union := *q.keeper.Holders(members)
	targets := append([]carawaycart.InstanceID(nil), replicas(&union)...)
	next := holdersOf(re.board.View(), members, &q.record)
	if next == nil {
		return targets
	}
	for _, id := range append([]carawaycart.InstanceID{next.Keeper}, replicas(next)...) {
		if id != "" && !union.Contains(id) {
			targets = append(targets, id)
		}
	}
	return targets
}

// End tells the replicas of each record that its flow ended.
func (re *Replicator) End(ctx context.Context, ended []carawaycart.FlowRecord) {
	members, view := re.board.Members(), re.board.View()
	batches := make(map[carawaycart.InstanceID]*message.RecordBatch)
	for _, r := range ended {
		holders := holdersOf(view, members, &r)
		if holders == nil {
			continue
		}
		for _, id := range replicas(holders) {
			if batches[id] == nil {
				batches[id] = &message.RecordBatch{}
			}
			batches[id].Ended = append(batches[id].Ended, uint64(r.Fingerprint))
		}
	}
	for id, batch := range batches {
		address, ok := members.Address(id)
		if !ok || id == re.board.Self {
			continue
		}
		call, cancel := context.WithTimeout(ctx, copyTimeout)
		if err := re.client.Call(call, address, "Records", batch, &message.Acknowledgement{}); err != nil {
			re.counters.RecordsLost.Inc(int64(len(batch.GetEnded())))
		}
		cancel()
	}
}

// replicas returns all holders but this keeper's own.
func replicas(h *member.Holders) []carawaycart.InstanceID { return h.Replicas[:h.Count] }

func (re *Replicator) sendRecords(ctx context.Context, members *member.View, id carawaycart.InstanceID, records []carawaycart.FlowRecord) {
	address, ok := members.Address(id)
	if !ok || id == re.board.Self {
		return
	}
	for len(records) > 0 {
		n := min(len(records), recordsPerCall)
		call, cancel := context.WithTimeout(ctx, copyTimeout)
		err := re.client.Call(call, address, "Records", message.FromRecords(records[:n], nil), &message.Acknowledgement{})
		cancel()
		if err != nil {
			re.counters.RecordsLost.Inc(int64(n))
			klog.V(1).InfoS("records not copied", "instance", re.board.Self, "peer", id, "records", n, "err", err)
		}
		records = records[n:]
	}
}

// TakeRecords takes in records from a peer.
func (re *Replicator) TakeRecords(batch *message.RecordBatch) {
	records, ended, err := message.ToRecords(batch)
	if err != nil {
		re.counters.MessagesRefused.Inc(1)
		return
	}
	now := re.clock.Now()
	for _, r := range records {
		re.records.Put(r, now)
	}
	for _, f := range ended {
		re.records.Forget(f)
	}
}

// TakeClaims takes in claims from a peer and returns those that stand in the way.
func (re *Replicator) TakeClaims(batch *message.ClaimBatch) *message.ClaimCopies {
	now := re.clock.Now()
	conflicts := &message.ClaimCopies{}
	for _, m := range batch.GetClaims() {
		c, err := message.ToClaim(m)
		if err != nil {
			re.counters.MessagesRefused.Inc(1)
			continue
		}
		if held, conflict := re.claims.Merge(c, now); conflict {
			conflicts.Conflicts = append(conflicts.Conflicts, message.FromClaim(held))
		}
	}
	return conflicts
}

// Repair copies records and claims to instances that became their holders
// since the last repair.
func (re *Replicator) Repair(ctx context.Context) {
	re.repairMu.Lock()
	defer re.repairMu.Unlock()
	members, view := re.board.Members(), re.board.View()
	if members == re.members && view == re.view {
		return
	}
	if members != re.members {
		re.noteLoss()
		re.repairClaims(ctx, re.members, members)
	}
	re.repairRecords(ctx, re.members, members, re.view, view)
	re.members, re.view = members, view
}

// noteLoss looks for instances that went missing within lossWindow of each
// other, which may have taken the only copies of claims with them.
func (re *Replicator) noteLoss() {
	now := re.clock.Now()
	re.history = append(re.history, pastView{view: re.members, end: now})
	for len(re.history) > 1 && now.Sub(re.history[0].end) > lossWindow {
		re.history = re.history[1:]
	}
	before := re.history[0].view
	failed := re.failed()
	var lost []carawaycart.InstanceID
	for _, p := range before.Ready() {
		if failed[p.ID] {
			lost = append(lost, p.ID)
		}
	}
	if len(lost) < 2 {
		return
	}
	klog.InfoS("instances lost together, their claims are uncertain", "instance", re.board.Self, "lost", lost)
	re.claims.NoteLoss(before, lost, now.Add(uncertainty))
}

// failed returns the instances that are gone without having handed over.
func (re *Replicator) failed() map[carawaycart.InstanceID]bool {
	failed := make(map[carawaycart.InstanceID]bool)
	for _, m := range re.table.Members() {
		failed[m.ID] = m.State == carawaycart.MemberSuspect || m.State == carawaycart.MemberDead
	}
	return failed
}

func (re *Replicator) repairClaims(ctx context.Context, old, now *member.View) {
	batches := make(map[carawaycart.InstanceID]*message.ClaimBatch)
	for _, c := range re.claims.Append(nil, func(*carawaycart.Claim) bool { return true }) {
		before, after := old.Holders(claim.Key(c.Key)), now.Holders(claim.Key(c.Key))
		for _, id := range append([]carawaycart.InstanceID{after.Keeper}, replicas(&after)...) {
			if id == "" || id == re.board.Self || before.Contains(id) {
				continue
			}
			if batches[id] == nil {
				batches[id] = &message.ClaimBatch{}
			}
			batches[id].Claims = append(batches[id].Claims, message.FromClaim(c))
		}
	}
	for id, batch := range batches {
		address, ok := now.Address(id)
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, copyTimeout)
		if err := re.client.Call(call, address, "Copy", batch, &message.ClaimCopies{}); err != nil {
			klog.V(1).InfoS("claims not copied", "instance", re.board.Self, "peer", id, "err", err)
		}
		cancel()
	}
}

func (re *Replicator) repairRecords(ctx context.Context, oldMembers, members *member.View, oldView, view *board.View) {
	if view == nil {
		return
	}
	if oldView == nil {
		oldView = view
	}
	batches := make(map[carawaycart.InstanceID][]carawaycart.FlowRecord)
	for _, r := range re.records.Append(nil, func(*carawaycart.FlowRecord) bool { return true }) {
		before := holdersOf(oldView, oldMembers, &r)
		after := holdersOf(view, members, &r)
		if after == nil {
			continue
		}
		for _, id := range append([]carawaycart.InstanceID{after.Keeper}, replicas(after)...) {
			if id != "" && id != re.board.Self && (before == nil || !before.Contains(id)) {
				batches[id] = append(batches[id], r)
			}
		}
	}
	for id, records := range batches {
		re.sendRecords(ctx, members, id, records)
	}
}

// holdersOf returns the holders of record r under the latest table of its service.
func holdersOf(view *board.View, members *member.View, r *carawaycart.FlowRecord) *member.Holders {
	current := currentOf(view, r)
	if current == nil {
		return nil
	}
	return current.Holders(members)
}

// currentOf returns the current endpoint of record r's slot under the latest
// table of its service, or nil.
func currentOf(view *board.View, r *carawaycart.FlowRecord) *board.Entry {
	route := view.ServiceByID(r.Service)
	if route == nil {
		return nil
	}
	t := route.Latest()
	return t.Slot(t.Index(r.Fingerprint)).Current
}
