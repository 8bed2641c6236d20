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
	// flushPeriod is the least time between two flushes of the queued records. It is
	// shorter than a caller's round trip.
	flushPeriod = 2 * time.Millisecond
	// repairPeriod is the period of checking whether holders changed.
	repairPeriod = 100 * time.Millisecond
	// copyTimeout limits a Records or Copy call to a peer.
	copyTimeout = 500 * time.Millisecond
	// lossWindow is the time in which claims of a lost holder are copied to new
	// holders.
	lossWindow = 5 * time.Second
	// recordsPerCall is the maximum number of records in one Records call.
	recordsPerCall = 4096
)

// Replicator copies new flow records to the holders of their endpoints, and
// copies records and claims to new holders when these change.
type Replicator struct {
	board       *board.Board
	records     *flow.Records
	claims      *claim.Table
	memberTable *member.Table
	client      *peer.Client
	counters    *counters.Counters
	clock       carawaycart.Clock

	mu    sync.Mutex
	queue []queuedRecord
	wake  chan struct{}

	repairMu sync.Mutex    // held during a repair
	members  *member.View  // as of the last repair
	view     *board.View   // as of the last repair
	retired  []retiredView // replaced within lossWindow, oldest first
	longest  time.Duration // largest value of longestClaim so far

	tasks *tasks
}

type queuedRecord struct {
	record  carawaycart.FlowRecord
	current *board.Entry // the endpoint whose holders receive the record
}

// retiredView is a view of the members and the time when another replaced it.
type retiredView struct {
	members *member.View
	end     time.Time
}

// NewReplicator returns a running Replicator.
func NewReplicator(b *board.Board, r *flow.Records, claimTable *claim.Table, t *member.Table, peerClient *peer.Client,
	c *counters.Counters, k carawaycart.Clock,
) *Replicator {
	re := &Replicator{
		board: b, records: r, claims: claimTable, memberTable: t, client: peerClient, counters: c, clock: k,
		wake: make(chan struct{}, 1), members: b.Members(),
	}
	re.tasks = newTasks(
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
func (re *Replicator) Close() { re.tasks.Close() }

// Enqueue queues a new record that this instance made as keeper of e for
// replication.
func (re *Replicator) Enqueue(r carawaycart.FlowRecord, e *board.Entry) {
	re.mu.Lock()
	re.queue = append(re.queue, queuedRecord{record: r, current: e})
	re.mu.Unlock()
	select {
	case re.wake <- struct{}{}:
	default:
	}
}

// flush sends the queued records to their holders.
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

// targets returns the instances that a record is copied to: the replicas of the
// keeper that made it and, if the current endpoint of its slot changes, also the
// holders under the latest slot table.
func (re *Replicator) targets(q queuedRecord, members *member.View) []carawaycart.InstanceID {
	holders := *q.current.Holders(members)
	targets := append([]carawaycart.InstanceID(nil), replicas(&holders)...)
	next := recordHolders(re.board.View(), members, &q.record)
	if next == nil {
		return targets
	}
	for _, id := range append([]carawaycart.InstanceID{next.Keeper}, replicas(next)...) {
		if id != "" && !holders.Contains(id) {
			targets = append(targets, id)
		}
	}
	return targets
}

// SendEnded notifies the replicas of each record that its flow ended.
func (re *Replicator) SendEnded(ctx context.Context, ended []carawaycart.FlowRecord) {
	members, view := re.board.Members(), re.board.View()
	batches := make(map[carawaycart.InstanceID]*message.RecordBatch)
	for _, r := range ended {
		holders := recordHolders(view, members, &r)
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

// replicas returns the holders other than the keeper.
func replicas(h *member.Holders) []carawaycart.InstanceID { return h.Replicas[:h.ReplicaCount] }

// sendRecords copies records to instance id, recordsPerCall at a time. Those that
// do not arrive are counted as lost.
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
			klog.V(1).InfoS("copying records to peer failed", "instance", re.board.Self, "peer", id, "records", n, "err", err)
		}
		records = records[n:]
	}
}

// ApplyRecords applies a batch of records and ended flows from a peer. A malformed
// batch is counted and ignored.
func (re *Replicator) ApplyRecords(batch *message.RecordBatch) {
	records, ended, err := message.ToRecords(batch)
	if err != nil {
		re.counters.MessagesRefused.Inc(1)
		return
	}
	now := re.clock.Now()
	for _, r := range records {
		re.records.Merge(r, now)
	}
	for _, f := range ended {
		re.records.Delete(f)
	}
}

// ApplyClaims merges claims from a peer and returns the claims held here that
// conflict. Malformed claims are counted and skipped.
func (re *Replicator) ApplyClaims(batch *message.ClaimBatch) *message.ClaimCopies {
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
		re.markUncertainClaims()
		re.repairClaims(ctx, re.members, members)
	}
	re.repairRecords(ctx, re.members, members, re.view, view)
	re.members, re.view = members, view
}

// markUncertainClaims marks claims as uncertain if at least two instances failed
// within lossWindow of each other, because these may have held the only copies.
func (re *Replicator) markUncertainClaims() {
	now := re.clock.Now()
	re.longestClaim()
	re.retired = append(re.retired, retiredView{members: re.members, end: now})
	for len(re.retired) > 1 && now.Sub(re.retired[0].end) > lossWindow {
		re.retired = re.retired[1:]
	}
	before := re.retired[0].members
	failed := re.failed()
	var lost []carawaycart.InstanceID
	for _, p := range before.KeeperCandidates() {
		if failed[p.ID] {
			lost = append(lost, p.ID)
		}
	}
	if len(lost) < 2 {
		return
	}
	klog.InfoS("several instances failed within the loss window; their claims are uncertain", "instance", re.board.Self, "lost", lost)
	re.claims.RecordLoss(before, lost, now.Add(re.longestClaim()))
}

// longestClaim returns the longest time for which a claim may live under any profile of
// the configurations that were in force when it was called, including now.
func (re *Replicator) longestClaim() time.Duration {
	if view := re.board.View(); view != nil {
		re.longest = max(re.longest, view.Config.LongestClaim())
	}
	return re.longest
}

// failed returns the instances that are suspect or dead and thus did not copy
// their records and claims to new holders.
func (re *Replicator) failed() map[carawaycart.InstanceID]bool {
	failed := make(map[carawaycart.InstanceID]bool)
	for _, m := range re.memberTable.Members() {
		failed[m.ID] = m.State == carawaycart.MemberSuspect || m.State == carawaycart.MemberDead
	}
	return failed
}

// repairClaims copies the claims to instances that hold them in view now but did
// not in view old.
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
			klog.V(1).InfoS("copying claims to peer failed", "instance", re.board.Self, "peer", id, "err", err)
		}
		cancel()
	}
}

// repairRecords copies the records to instances that hold them under members and
// view but did not under oldMembers and oldView.
func (re *Replicator) repairRecords(ctx context.Context, oldMembers, members *member.View, oldView, view *board.View) {
	if view == nil {
		return
	}
	if oldView == nil {
		oldView = view
	}
	batches := make(map[carawaycart.InstanceID][]carawaycart.FlowRecord)
	for _, r := range re.records.Append(nil, func(*carawaycart.FlowRecord) bool { return true }) {
		before := recordHolders(oldView, oldMembers, &r)
		after := recordHolders(view, members, &r)
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

// recordHolders returns the holders of record r under the latest table of its
// service, or nil if there are none.
func recordHolders(view *board.View, members *member.View, r *carawaycart.FlowRecord) *member.Holders {
	current := currentEndpoint(view, r)
	if current == nil {
		return nil
	}
	return current.Holders(members)
}

// currentEndpoint returns the current endpoint of record r's slot under the
// latest table of its service, or nil if there is none.
func currentEndpoint(view *board.View, r *carawaycart.FlowRecord) *board.Entry {
	route := view.ServiceByID(r.Service)
	if route == nil {
		return nil
	}
	t := route.Latest()
	return t.Slot(t.Index(r.Fingerprint)).Current
}
