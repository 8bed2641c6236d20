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

// PeerHandler answers the calls of other instances. It implements peer.Handler.
type PeerHandler struct {
	board        *board.Board
	updates      *UpdateReceiver
	disseminator *Disseminator
	configurer   *Configurer
	replicator   *Replicator
	claimer      *Claimer
	permits      *Permits
	records      *flow.Records
	claims       *claim.Table
	counters     *counters.Counters
}

// NewPeerHandler returns a handler of calls from peers.
func NewPeerHandler(b *board.Board, u *UpdateReceiver, d *Disseminator, cf *Configurer, re *Replicator, cl *Claimer, pe *Permits,
	flowRecords *flow.Records, claimTable *claim.Table, c *counters.Counters,
) *PeerHandler {
	return &PeerHandler{
		board: b, updates: u, disseminator: d, configurer: cf, replicator: re, claimer: cl, permits: pe,
		records: flowRecords, claims: claimTable, counters: c,
	}
}

// Exchange merges a probe or an update, and answers with what the sender
// requests.
func (ph *PeerHandler) Exchange(x *message.Exchange) (*message.Exchange, error) {
	ph.updates.Merge(x)
	return ph.disseminator.Answer(x), nil
}

// Pull returns the state that a joining or lagging instance requests.
func (ph *PeerHandler) Pull(r *message.PullRequest) (*message.PullReply, error) {
	reply := &message.PullReply{}
	if r.GetFleet() {
		reply.Exchange = ph.disseminator.FullState()
	}
	changes, snapshot := ph.configurer.ChangesSince(carawaycart.Revision(r.GetRevision()))
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
	requester := carawaycart.InstanceID(r.GetSelf().GetId())
	if r.GetRecords() {
		reply.Records = message.FromRecords(ph.recordsFor(requester), nil)
	}
	if r.GetClaims() {
		reply.Claims = &message.ClaimBatch{}
		for _, c := range ph.claimsFor(requester) {
			reply.Claims.Claims = append(reply.Claims.Claims, message.FromClaim(c))
		}
	}
	return reply, nil
}

// recordsFor returns the records that the requester is a holder of and those that
// have no holder, or all records if the requester is not a known member or there
// is no configuration.
func (ph *PeerHandler) recordsFor(requester carawaycart.InstanceID) []carawaycart.FlowRecord {
	members, view := ph.board.Members(), ph.board.View()
	_, known := members.Address(requester)
	return ph.records.Append(nil, func(r *carawaycart.FlowRecord) bool {
		if !known || view == nil {
			return true
		}
		h := recordHolders(view, members, r)
		return h == nil || h.Contains(requester)
	})
}

// claimsFor returns the claims that the requester is a holder of, or all claims
// if it is not a known member.
func (ph *PeerHandler) claimsFor(requester carawaycart.InstanceID) []carawaycart.Claim {
	members := ph.board.Members()
	_, known := members.Address(requester)
	return ph.claims.Append(nil, func(c *carawaycart.Claim) bool {
		h := members.Holders(claim.Key(c.Key))
		return !known || h.Contains(requester)
	})
}

// Records applies replicated flow records.
func (ph *PeerHandler) Records(b *message.RecordBatch) error {
	ph.replicator.ApplyRecords(b)
	return nil
}

// Begin begins an attempt as keeper of its key.
func (ph *PeerHandler) Begin(m *message.Claim) (*message.ClaimReply, error) {
	c, err := message.ToClaim(m)
	if err != nil {
		ph.counters.MessagesRefused.Inc(1)
		return nil, err
	}
	verdict, held := ph.claimer.BeginAsKeeper(context.Background(), c)
	return &message.ClaimReply{Verdict: message.ClaimReply_Verdict(verdict), Claim: message.FromClaim(held)}, nil
}

// Finish records the outcome of an attempt as keeper of its key.
func (ph *PeerHandler) Finish(m *message.Claim) error {
	c, err := message.ToClaim(m)
	if err != nil {
		ph.counters.MessagesRefused.Inc(1)
		return err
	}
	ph.claimer.FinishAsKeeper(c)
	return nil
}

// Copy applies replicated claims and returns those that conflict.
func (ph *PeerHandler) Copy(b *message.ClaimBatch) (*message.ClaimCopies, error) {
	return ph.replicator.ApplyClaims(b), nil
}

// Acquire answers a request for a request slot as keeper of the endpoint, with
// whether the slot is granted and the state of the endpoint.
func (ph *PeerHandler) Acquire(r *message.AcquireRequest) (*message.AcquireReply, error) {
	state := ph.board.Entry(carawaycart.EndpointID(r.GetEndpoint())).Status().State
	return &message.AcquireReply{Granted: ph.permits.AcquireAsKeeper(r), State: uint32(state)}, nil
}

// Release frees a request slot as keeper of the endpoint.
func (ph *PeerHandler) Release(r *message.ReleaseRequest) error {
	ph.permits.ReleaseAsKeeper(r)
	return nil
}
