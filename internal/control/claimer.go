package control

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/claim"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/io/peer"
	"carawaycart/message"
)

const (
	// claimTimeout limits a Begin or Finish call to the keeper of a key.
	claimTimeout = time.Second
	// claimPollPeriod is the period of polling the claim of an earlier attempt that
	// is pending.
	claimPollPeriod = 50 * time.Millisecond
	// sweepPeriod is the period of removing expired claims and updating those whose
	// entry instance failed.
	sweepPeriod = time.Second
	// finishAttempts is the number of times that Finish tries to reach a keeper.
	finishAttempts = 5
)

// Claimer makes claims, the records of keyed requests, both as the entry
// instance of a request and as the keeper of its key.
type Claimer struct {
	board       *board.Board
	memberTable *member.Table
	claims      *claim.Table
	client      *peer.Client
	counters    *counters.Counters
	clock       carawaycart.Clock
	tasks       *tasks
}

// NewClaimer returns a running Claimer.
func NewClaimer(b *board.Board, t *member.Table, claimTable *claim.Table, peerClient *peer.Client, c *counters.Counters, k carawaycart.Clock) *Claimer {
	cl := &Claimer{board: b, memberTable: t, claims: claimTable, client: peerClient, counters: c, clock: k}
	cl.tasks = newTasks(func(ctx context.Context) { every(ctx, sweepPeriod, cl.sweep) })
	return cl
}

// Close stops the expiry of claims.
func (cl *Claimer) Close() { cl.tasks.Close() }

// sweep removes expired claims and marks the pending claims of attempts whose
// entry instance is dead or has left as unknown.
func (cl *Claimer) sweep() {
	cl.claims.Expire(cl.clock.Now())
	departed := make(map[carawaycart.InstanceID]bool)
	for _, m := range cl.memberTable.Members() {
		departed[m.ID] = m.State == carawaycart.MemberDead || m.State == carawaycart.MemberLeft
	}
	cl.claims.MarkPendingUnknown(func(id carawaycart.InstanceID) bool { return departed[id] })
	cl.counters.Claims.Update(int64(cl.claims.Len()))
}

// Claim makes claim c at the keeper of its key. It waits for an earlier attempt
// that is pending until ctx ends. With verdict Known it returns the claim of the
// earlier attempt, whose state is unknown if the attempt was still pending.
func (cl *Claimer) Claim(ctx context.Context, c carawaycart.Claim) (claim.Verdict, carawaycart.Claim) {
	for {
		verdict, held := cl.begin(ctx, c)
		if verdict == claim.Run {
			cl.claims.Merge(c, cl.clock.Now())
		}
		if verdict != claim.Known || held.State != carawaycart.ClaimPending {
			return verdict, held
		}
		if !sleep(ctx, claimPollPeriod) {
			held.State = carawaycart.ClaimUnknown
			return claim.Known, held
		}
	}
}

// begin requests a verdict on c from the keeper of its key. The verdict is
// Refused if the keeper cannot be reached.
func (cl *Claimer) begin(ctx context.Context, c carawaycart.Claim) (claim.Verdict, carawaycart.Claim) {
	members := cl.board.Members()
	keeper := members.Holders(claim.Key(c.Key)).Keeper
	if keeper == cl.board.Self {
		return cl.BeginAsKeeper(ctx, c)
	}
	address, ok := members.Address(keeper)
	if !ok {
		return claim.Refused, carawaycart.Claim{}
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply := &message.ClaimReply{}
	if err := cl.client.Call(call, address, "Begin", message.FromClaim(c), reply); err != nil {
		klog.V(1).InfoS("requesting claim from keeper failed", "instance", cl.board.Self, "keeper", keeper, "key", c.Key, "err", err)
		// The keeper may have recorded the claim. It must learn that the attempt was not
		// run, as nothing was sent to an endpoint.
		go cl.Finish(withState(c, carawaycart.ClaimNotRun))
		return claim.Refused, carawaycart.Claim{}
	}
	held, err := message.ToClaim(reply.GetClaim())
	if err != nil && reply.GetVerdict() == message.ClaimReply_KNOWN {
		cl.counters.MessagesRefused.Inc(1)
		return claim.Refused, carawaycart.Claim{}
	}
	return claim.Verdict(reply.GetVerdict()), held
}

func withState(c carawaycart.Claim, s carawaycart.ClaimState) carawaycart.Claim {
	c.State = s
	return c
}

// BeginAsKeeper records claim c of a new attempt as keeper of its key. The
// verdict is Run only once all replicas hold the claim, and Known with the claim
// of the earlier attempt if there is one here or at a replica. It is Refused if
// the instance is not the keeper, may not decide, or has no majority of zones, or
// if a replica does not answer. Other verdicts are those of claim.Table.
func (cl *Claimer) BeginAsKeeper(ctx context.Context, c carawaycart.Claim) (claim.Verdict, carawaycart.Claim) {
	now := cl.clock.Now()
	members := cl.board.Members()
	holders := members.Holders(claim.Key(c.Key))
	if holders.Keeper != cl.board.Self || !cl.board.MayDecide(now) || !cl.hasZoneMajority(members) {
		return claim.Refused, carawaycart.Claim{}
	}
	verdict, held := cl.claims.Begin(c, now)
	if verdict != claim.Run {
		return verdict, held
	}
	conflict, ok := cl.replicate(ctx, members, &holders, held)
	if conflict == nil && ok && cl.board.MayDecide(cl.clock.Now()) {
		return claim.Run, held
	}
	// Replicas that recorded the claim must learn that the attempt will not run.
	refused := withState(c, carawaycart.ClaimNotRun)
	cl.claims.Merge(refused, now)
	go cl.replicate(context.Background(), members, &holders, refused)
	if conflict == nil {
		return claim.Refused, carawaycart.Claim{}
	}
	cl.claims.Merge(*conflict, now)
	return claim.Known, *conflict
}

// hasZoneMajority reports whether the instance knows a ready member in more than
// half of the zones in service, or in exactly half including the first by name.
// Without this majority, another part of a partitioned fleet may run the same
// keyed request. It is true if no zone is in service, and false if there is no
// configuration.
func (cl *Claimer) hasZoneMajority(members *member.View) bool {
	view := cl.board.View()
	if view == nil {
		return false
	}
	total, reached := 0, 0
	var first carawaycart.ZoneID
	for id, z := range view.Config.Zones {
		if z.Out {
			continue
		}
		total++
		if members.HasKeeperCandidate(id) {
			reached++
		}
		if first == "" || id < first {
			first = id
		}
	}
	return 2*reached > total || 2*reached == total && (total == 0 || members.HasKeeperCandidate(first))
}

// replicate copies c to the replicas concurrently. It returns a conflicting
// claim of a replica, or nil, and whether all replicas answered.
func (cl *Claimer) replicate(ctx context.Context, members *member.View, holders *member.Holders, c carawaycart.Claim) (*carawaycart.Claim, bool) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var mu sync.Mutex
	var conflict *carawaycart.Claim
	all := true
	var copies sync.WaitGroup
	for _, id := range replicas(holders) {
		copies.Go(func() {
			held, ok := cl.replicateTo(ctx, members, id, c)
			mu.Lock()
			defer mu.Unlock()
			all = all && ok
			if held != nil {
				conflict = held
			}
		})
	}
	copies.Wait()
	return conflict, all
}

// replicateTo copies c to replica id. It returns the conflicting claim of the
// replica, or nil, and whether the replica answered.
func (cl *Claimer) replicateTo(ctx context.Context, members *member.View, id carawaycart.InstanceID, c carawaycart.Claim) (*carawaycart.Claim, bool) {
	address, ok := members.Address(id)
	if !ok {
		return nil, false
	}
	batch := &message.ClaimBatch{Claims: []*message.Claim{message.FromClaim(c)}}
	reply := &message.ClaimCopies{}
	if err := cl.client.Call(ctx, address, "Copy", batch, reply); err != nil {
		return nil, false
	}
	for _, m := range reply.GetConflicts() {
		if held, err := message.ToClaim(m); err == nil {
			return &held, true
		}
	}
	return nil, true
}

// Finish reports the outcome of an attempt, the state of c, to the keeper of its
// key. It tries up to finishAttempts times, because the keeper may be changing,
// and then stops trying.
func (cl *Claimer) Finish(c carawaycart.Claim) {
	cl.claims.Merge(c, cl.clock.Now())
	for range finishAttempts {
		if cl.tryFinish(c) {
			return
		}
		time.Sleep(retryDelay)
	}
}

// tryFinish is one try of Finish and reports whether the keeper accepted c.
func (cl *Claimer) tryFinish(c carawaycart.Claim) bool {
	members := cl.board.Members()
	keeper := members.Holders(claim.Key(c.Key)).Keeper
	if keeper == cl.board.Self {
		cl.FinishAsKeeper(c)
		return true
	}
	address, ok := members.Address(keeper)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	return cl.client.Call(ctx, address, "Finish", message.FromClaim(c), &message.Acknowledgement{}) == nil
}

// FinishAsKeeper records the outcome of an attempt as keeper of its key and
// copies it to the replicas.
func (cl *Claimer) FinishAsKeeper(c carawaycart.Claim) {
	cl.claims.Merge(c, cl.clock.Now())
	members := cl.board.Members()
	holders := members.Holders(claim.Key(c.Key))
	_, _ = cl.replicate(context.Background(), members, &holders, c)
}
