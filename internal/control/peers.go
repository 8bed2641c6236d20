package control

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/claim"
	"carawaycart/core/flow"
	"carawaycart/internal/counters"
	"carawaycart/message"
)

// Peers answers the calls of other instances. It implements peer.Handler.
type Peers struct {
	board      *board.Board
	news       *News
	spreader   *Spreader
	configurer *Configurer
	replicator *Replicator
	orders     *Orders
	permits    *Permits
	records    *flow.Records
	claims     *claim.Table
	counters   *counters.Counters
}

// NewPeers returns the handler of calls from peers.
func NewPeers(b *board.Board, n *News, s *Spreader, f *Configurer, re *Replicator, o *Orders, pe *Permits,
	r *flow.Records, a *claim.Table, c *counters.Counters,
) *Peers {
	return &Peers{
		board: b, news: n, spreader: s, configurer: f, replicator: re, orders: o, permits: pe,
		records: r, claims: a, counters: c,
	}
}

// Exchange takes in a probe or news, and answers with what the sender asks for.
func (p *Peers) Exchange(x *message.Exchange) (*message.Exchange, error) {
	p.news.Merge(x)
	return p.spreader.Answer(x), nil
}

// Pull returns what a newcomer lacks.
func (p *Peers) Pull(r *message.PullRequest) (*message.PullReply, error) {
	reply := &message.PullReply{}
	if r.GetFleet() {
		reply.Exchange = p.spreader.Full()
	}
	changes, snapshot := p.configurer.Since(carawaycart.Revision(r.GetRevision()))
	if snapshot != nil {
		data, err := snapshot.Encode()
		if err != nil {
			return nil, err
		}
		reply.Snapshot = data
	}
	for _, c := range changes {
		data, err := json.Marshal(c)
		if err != nil {
			return nil, errors.Annotatef(err, "encode revision %d", c.Revision)
		}
		reply.Changes = append(reply.Changes, data)
	}
	newcomer := carawaycart.InstanceID(r.GetSelf().GetId())
	if r.GetRecords() {
		reply.Records = message.FromRecords(p.recordsFor(newcomer), nil)
	}
	if r.GetClaims() {
		reply.Claims = &message.ClaimBatch{}
		for _, c := range p.claimsFor(newcomer) {
			reply.Claims.Claims = append(reply.Claims.Claims, message.FromClaim(c))
		}
	}
	return reply, nil
}

// recordsFor returns the records that the newcomer will hold, or all if it is
// not known here.
func (p *Peers) recordsFor(newcomer carawaycart.InstanceID) []carawaycart.FlowRecord {
	members, view := p.board.Members(), p.board.View()
	_, known := members.Address(newcomer)
	return p.records.Append(nil, func(r *carawaycart.FlowRecord) bool {
		if !known || view == nil {
			return true
		}
		h := holdersOf(view, members, r)
		return h == nil || h.Contains(newcomer)
	})
}

// claimsFor returns the claims that the newcomer will hold, or all if it is not
// known here.
func (p *Peers) claimsFor(newcomer carawaycart.InstanceID) []carawaycart.Claim {
	members := p.board.Members()
	_, known := members.Address(newcomer)
	return p.claims.Append(nil, func(c *carawaycart.Claim) bool {
		h := members.Holders(claim.Key(c.Key))
		return !known || h.Contains(newcomer)
	})
}

// Records takes in replicated flow records.
func (p *Peers) Records(b *message.RecordBatch) error {
	p.replicator.TakeRecords(b)
	return nil
}

// Begin takes in an attempt as keeper of its key.
func (p *Peers) Begin(m *message.Claim) (*message.ClaimReply, error) {
	c, err := message.ToClaim(m)
	if err != nil {
		p.counters.MessagesRefused.Inc(1)
		return nil, err
	}
	verdict, held := p.orders.Keep(context.Background(), c)
	return &message.ClaimReply{Verdict: message.ClaimReply_Verdict(verdict), Claim: message.FromClaim(held)}, nil
}

// Finish takes in the end of an attempt as keeper of its key.
func (p *Peers) Finish(m *message.Claim) error {
	c, err := message.ToClaim(m)
	if err != nil {
		p.counters.MessagesRefused.Inc(1)
		return err
	}
	p.orders.Kept(c)
	return nil
}

// Copy takes in replicated claims.
func (p *Peers) Copy(b *message.ClaimBatch) (*message.ClaimCopies, error) {
	return p.replicator.TakeClaims(b), nil
}

// Acquire grants a request slot as keeper of the endpoint.
func (p *Peers) Acquire(r *message.AcquireRequest) (*message.AcquireReply, error) {
	state := p.board.Entry(carawaycart.EndpointID(r.GetEndpoint())).Status().State
	return &message.AcquireReply{Granted: p.permits.Grant(r), State: uint32(state)}, nil
}

// Release takes a request slot back.
func (p *Peers) Release(r *message.ReleaseRequest) error {
	p.permits.Return(r)
	return nil
}
