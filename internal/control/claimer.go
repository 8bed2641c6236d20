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
	claimTimeout = time.Second
	// claimPollPeriod is the period of polling the claim of an earlier attempt that
	// is pending.
	claimPollPeriod = 50 * time.Millisecond
	sweepPeriod     = time.Second
	finishAttempts  = 5
)

// Claimer makes claims, the records of keyed requests, both as the entry that
// sends a request and as the keeper of its key.
type Claimer struct {
	board    *board.Board
	table    *member.Table
	claims   *claim.Table
	client   *peer.Client
	counters *counters.Counters
	clock    carawaycart.Clock
	tasks    *tasks
}

// NewClaimer returns a running Claimer.
func NewClaimer(b *board.Board, t *member.Table, a *claim.Table, p *peer.Client, c *counters.Counters, k carawaycart.Clock) *Claimer {
	cl := &Claimer{board: b, table: t, claims: a, client: p, counters: c, clock: k}
	cl.tasks = newTasks(func(ctx context.Context) { every(ctx, sweepPeriod, cl.sweep) })
	return cl
}

// Close stops the expiry of claims.
func (cl *Claimer) Close() { cl.tasks.Close() }

// sweep removes expired claims and abandons attempts whose entry is dead or has
// left.
func (cl *Claimer) sweep() {
	cl.claims.Expire(cl.clock.Now())
	departed := make(map[carawaycart.InstanceID]bool)
	for _, m := range cl.table.Members() {
		departed[m.ID] = m.State == carawaycart.MemberDead || m.State == carawaycart.MemberLeft
	}
	cl.claims.Abandon(func(id carawaycart.InstanceID) bool { return departed[id] })
	cl.counters.Claims.Update(int64(cl.claims.Len()))
}

// Claim makes claim c at the keeper of its key. It waits for an earlier attempt
// that is pending until ctx ends. With verdict Known, the claim returned is
// that of the earlier attempt.
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
		// The keeper may have recorded the claim, but nothing was sent to an endpoint.
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

// BeginAsKeeper begins an attempt as keeper of its key. The verdict is Run only
// once all replicas hold the claim.
func (cl *Claimer) BeginAsKeeper(ctx context.Context, c carawaycart.Claim) (claim.Verdict, carawaycart.Claim) {
	now := cl.clock.Now()
	members := cl.board.Members()
	holders := members.Holders(claim.Key(c.Key))
	if holders.Keeper != cl.board.Self || !cl.board.Awake(now) || !cl.hasZoneMajority(members) {
		return claim.Refused, carawaycart.Claim{}
	}
	verdict, held := cl.claims.Begin(c, now)
	if verdict != claim.Run {
		return verdict, held
	}
	conflict, ok := cl.replicate(ctx, members, &holders, held)
	if conflict == nil && ok && cl.board.Awake(cl.clock.Now()) {
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

// hasZoneMajority reports whether the instance reaches more than half of the
// zones in service, or exactly half including the first by name. Without this
// majority, another part of the fleet may run the same keyed request.
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
		if members.HasZone(id) {
			reached++
		}
		if first == "" || id < first {
			first = id
		}
	}
	return 2*reached > total || 2*reached == total && (total == 0 || members.HasZone(first))
}

// replicate copies c to the replicas concurrently. It returns a conflicting
// claim or nil, and whether all replicas answered.
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

// Finish reports the outcome of an attempt to the keeper of its key. It makes
// finishAttempts attempts, because the keeper may be changing.
func (cl *Claimer) Finish(c carawaycart.Claim) {
	cl.claims.Merge(c, cl.clock.Now())
	for range finishAttempts {
		if cl.tryFinish(c) {
			return
		}
		time.Sleep(storeRetryDelay)
	}
}

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
