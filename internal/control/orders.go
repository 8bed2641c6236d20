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
	claimTimeout  = time.Second
	claimPoll     = 50 * time.Millisecond // between looks at another attempt's claim
	sweepPeriod   = time.Second
	finishRetries = 5
)

// Orders makes claims on keyed requests, as the entry that sends a request and
// as the keeper of its key.
type Orders struct {
	board    *board.Board
	table    *member.Table
	claims   *claim.Table
	client   *peer.Client
	counters *counters.Counters
	clock    carawaycart.Clock
	loop     *loop
}

// NewOrders returns a running controller of claims.
func NewOrders(b *board.Board, t *member.Table, a *claim.Table, p *peer.Client, c *counters.Counters, k carawaycart.Clock) *Orders {
	o := &Orders{board: b, table: t, claims: a, client: p, counters: c, clock: k}
	o.loop = newLoop(func(ctx context.Context) { every(ctx, sweepPeriod, o.sweep) })
	return o
}

// Close ends the controller.
func (o *Orders) Close() { o.loop.Close() }

// sweep forgets old claims and gives up on attempts whose entry is gone.
func (o *Orders) sweep() {
	o.claims.Expire(o.clock.Now())
	gone := make(map[carawaycart.InstanceID]bool)
	for _, m := range o.table.Members() {
		gone[m.ID] = m.State == carawaycart.MemberDead || m.State == carawaycart.MemberLeft
	}
	o.claims.Abandon(func(id carawaycart.InstanceID) bool { return gone[id] })
	o.counters.Claims.Update(int64(o.claims.Len()))
}

// Claim makes claim c at the keeper of its key, and waits there for an earlier
// attempt until ctx ends. The claim returned with Known is the earlier one.
func (o *Orders) Claim(ctx context.Context, c carawaycart.Claim) (claim.Verdict, carawaycart.Claim) {
	for {
		verdict, held := o.begin(ctx, c)
		if verdict == claim.Run {
			o.claims.Merge(c, o.clock.Now())
		}
		if verdict != claim.Known || held.State != carawaycart.ClaimPending {
			return verdict, held
		}
		if !sleep(ctx, claimPoll) {
			held.State = carawaycart.ClaimUnknown
			return claim.Known, held
		}
	}
}

func (o *Orders) begin(ctx context.Context, c carawaycart.Claim) (claim.Verdict, carawaycart.Claim) {
	members := o.board.Members()
	keeper := members.Holders(claim.Key(c.Key)).Keeper
	if keeper == o.board.Self {
		return o.Keep(ctx, c)
	}
	address, ok := members.Address(keeper)
	if !ok {
		return claim.Refused, carawaycart.Claim{}
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply := &message.ClaimReply{}
	if err := o.client.Call(call, address, "Begin", message.FromClaim(c), reply); err != nil {
		klog.V(1).InfoS("claim not made", "instance", o.board.Self, "keeper", keeper, "key", c.Key, "err", err)
		// The keeper may have taken the claim; nothing was sent to an endpoint.
		go o.Finish(withState(c, carawaycart.ClaimNotRun))
		return claim.Refused, carawaycart.Claim{}
	}
	held, err := message.ToClaim(reply.GetClaim())
	if err != nil && reply.GetVerdict() == message.ClaimReply_KNOWN {
		o.counters.MessagesRefused.Inc(1)
		return claim.Refused, carawaycart.Claim{}
	}
	return claim.Verdict(reply.GetVerdict()), held
}

func withState(c carawaycart.Claim, s carawaycart.ClaimState) carawaycart.Claim {
	c.State = s
	return c
}

// Keep takes in an attempt as keeper of its key. The attempt may run only once
// all replicas hold its claim.
func (o *Orders) Keep(ctx context.Context, c carawaycart.Claim) (claim.Verdict, carawaycart.Claim) {
	now := o.clock.Now()
	members := o.board.Members()
	holders := members.Holders(claim.Key(c.Key))
	if holders.Keeper != o.board.Self || !o.board.Awake(now) || !o.majority(members) {
		return claim.Refused, carawaycart.Claim{}
	}
	verdict, held := o.claims.Begin(c, now)
	if verdict != claim.Run {
		return verdict, held
	}
	conflict, ok := o.copyOut(ctx, members, &holders, held)
	if conflict == nil && ok && o.board.Awake(o.clock.Now()) {
		return claim.Run, held
	}
	// The attempt will not run, which the replicas that took its claim must learn.
	refused := withState(c, carawaycart.ClaimNotRun)
	o.claims.Merge(refused, now)
	go o.copyOut(context.Background(), members, &holders, refused)
	if conflict == nil {
		return claim.Refused, carawaycart.Claim{}
	}
	o.claims.Merge(*conflict, now)
	return claim.Known, *conflict
}

// majority reports whether the instance reaches more than half of the zones in
// service, or half of them with the first by name. Without it another part of
// the fleet may run the same order.
func (o *Orders) majority(members *member.View) bool {
	view := o.board.View()
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

// copyOut copies c to the replicas at the same time. It returns a claim that
// stood in the way, and whether all replicas took the copy.
func (o *Orders) copyOut(ctx context.Context, members *member.View, holders *member.Holders, c carawaycart.Claim) (*carawaycart.Claim, bool) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var mu sync.Mutex
	var conflict *carawaycart.Claim
	all := true
	var copies sync.WaitGroup
	for _, id := range replicas(holders) {
		copies.Go(func() {
			held, ok := o.copyTo(ctx, members, id, c)
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

func (o *Orders) copyTo(ctx context.Context, members *member.View, id carawaycart.InstanceID, c carawaycart.Claim) (*carawaycart.Claim, bool) {
	address, ok := members.Address(id)
	if !ok {
		return nil, false
	}
	batch := &message.ClaimBatch{Claims: []*message.Claim{message.FromClaim(c)}}
	reply := &message.ClaimCopies{}
	if err := o.client.Call(ctx, address, "Copy", batch, reply); err != nil {
		return nil, false
	}
	for _, m := range reply.GetConflicts() {
		if held, err := message.ToClaim(m); err == nil {
			return &held, true
		}
	}
	return nil, true
}

// Finish takes the end of an attempt to the keeper of its key, trying again
// while the keeper changes.
func (o *Orders) Finish(c carawaycart.Claim) {
	o.claims.Merge(c, o.clock.Now())
	for range finishRetries {
		if o.finish(c) {
			return
		}
		time.Sleep(storeRetry)
	}
}

func (o *Orders) finish(c carawaycart.Claim) bool {
	members := o.board.Members()
	keeper := members.Holders(claim.Key(c.Key)).Keeper
	if keeper == o.board.Self {
		o.Kept(c)
		return true
	}
	address, ok := members.Address(keeper)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	return o.client.Call(ctx, address, "Finish", message.FromClaim(c), &message.Acknowledgement{}) == nil
}

// Kept takes in the end of an attempt as keeper of its key.
func (o *Orders) Kept(c carawaycart.Claim) {
	o.claims.Merge(c, o.clock.Now())
	members := o.board.Members()
	holders := members.Holders(claim.Key(c.Key))
	_, _ = o.copyOut(context.Background(), members, &holders, c)
}
