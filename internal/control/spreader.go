package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/member"
	"carawaycart/internal/counters"
	"carawaycart/io/peer"
	"carawaycart/message"
)

const (
	spreadDelay  = 20 * time.Millisecond // collects news into one message
	probeTimeout = 400 * time.Millisecond
)

// Spreader passes news about members, endpoints and configuration on to the
// instance's neighbours, which pass on what was news to them.
type Spreader struct {
	board    *board.Board
	table    *member.Table
	client   *peer.Client
	counters *counters.Counters
	zone     carawaycart.ZoneID

	mu       sync.Mutex
	statuses []told[carawaycart.EndpointStatus]
	changes  []told[carawaycart.Change]

	wake chan struct{}
	loop *loop
}

// NewSpreader returns a running spreader.
func NewSpreader(b *board.Board, t *member.Table, p *peer.Client, c *counters.Counters) *Spreader {
	s := &Spreader{board: b, table: t, client: p, counters: c, zone: t.Self().Zone, wake: make(chan struct{}, 1)}
	s.loop = newLoop(func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
			if !sleep(ctx, spreadDelay) {
				return
			}
			s.flush(ctx)
		}
	})
	return s
}

// Close stops spreading.
func (s *Spreader) Close() { s.loop.Close() }

// Status queues a status that was news here, told by peer from, or empty if the
// instance made it.
func (s *Spreader) Status(status carawaycart.EndpointStatus, from carawaycart.InstanceID) {
	s.mu.Lock()
	s.statuses = append(s.statuses, told[carawaycart.EndpointStatus]{status, from})
	s.mu.Unlock()
	s.Wake()
}

// Change queues a change that was news here, told by peer from, or empty if it
// came from the store.
func (s *Spreader) Change(c carawaycart.Change, from carawaycart.InstanceID) {
	s.mu.Lock()
	s.changes = append(s.changes, told[carawaycart.Change]{c, from})
	s.mu.Unlock()
	s.Wake()
}

// told is a piece of news with the peer that told it, which need not hear it.
type told[T any] struct {
	news T
	from carawaycart.InstanceID
}

// newsFor returns the news that peer id did not tell.
func newsFor[T any](all []told[T], id carawaycart.InstanceID) []T {
	var news []T
	for _, t := range all {
		if t.from != id {
			news = append(news, t.news)
		}
	}
	return news
}

// Wake makes the spreader send queued news, those of the member table included.
func (s *Spreader) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Neighbours returns the peers that the instance probes.
func (s *Spreader) Neighbours() []member.Peer {
	return s.board.Members().Neighbours(nil, s.board.Self, s.zone)
}

func (s *Spreader) flush(ctx context.Context) {
	members := s.table.TakeNews()
	if len(members) > 0 {
		s.board.SetMembers(s.table.Members())
		s.log(members)
	}
	s.mu.Lock()
	statuses, changes := s.statuses, s.changes
	s.statuses, s.changes = nil, nil
	s.mu.Unlock()
	if len(members)+len(statuses)+len(changes) == 0 {
		return
	}
	for _, n := range s.Neighbours() {
		news := encodeNews(members, newsFor(statuses, n.ID), newsFor(changes, n.ID))
		if len(news.Members)+len(news.Statuses)+len(news.Changes) > 0 {
			news.From = string(s.board.Self)
			go s.send(ctx, n, news)
		}
	}
}

func (s *Spreader) log(members []carawaycart.Member) {
	for _, m := range members {
		klog.V(1).InfoS("member changed state", "instance", s.board.Self, "member", m.ID, "state", m.State, "incarnation", m.Incarnation)
	}
}

// send passes news to a neighbour; what is lost is made up for by the next
// probe, whose digests differ.
func (s *Spreader) send(ctx context.Context, n member.Peer, news *message.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := &message.Exchange{}
	if err := s.client.Call(ctx, n.Address, "Exchange", news, reply); err != nil {
		s.counters.ProbesFailed.Inc(1)
	}
}

func encodeNews(members []carawaycart.Member, statuses []carawaycart.EndpointStatus, changes []carawaycart.Change) *message.Exchange {
	x := &message.Exchange{}
	for _, m := range members {
		x.Members = append(x.Members, message.FromMember(m))
	}
	for _, st := range statuses {
		x.Statuses = append(x.Statuses, message.FromStatus(st))
	}
	for _, c := range changes {
		if data, err := json.Marshal(c); err == nil {
			x.Changes = append(x.Changes, data)
		}
	}
	return x
}

// introduce adds the instance's statement about itself and its digests to x.
func (s *Spreader) introduce(x *message.Exchange) *message.Exchange {
	x.From = string(s.board.Self)
	x.Self = message.FromMember(s.table.Self())
	x.MemberDigest = s.table.Digest()
	x.StatusDigest = s.board.StatusDigest()
	return x
}

// Probe returns a probe without news.
func (s *Spreader) Probe() *message.Exchange { return s.introduce(&message.Exchange{}) }

// Answer returns the answer to x: nothing if it only brought news, else digests
// and what its sender asks for.
func (s *Spreader) Answer(x *message.Exchange) *message.Exchange {
	if x.GetSelf() == nil {
		return &message.Exchange{}
	}
	var members []carawaycart.Member
	var statuses []carawaycart.EndpointStatus
	if x.GetWantMembers() {
		members = s.table.Members()
	}
	if x.GetWantStatuses() {
		statuses = s.allStatuses()
	}
	return s.introduce(encodeNews(members, statuses, nil))
}

// Full returns everything that is known about members and endpoints.
func (s *Spreader) Full() *message.Exchange {
	return s.introduce(encodeNews(s.table.Members(), s.allStatuses(), nil))
}

func (s *Spreader) allStatuses() []carawaycart.EndpointStatus {
	var statuses []carawaycart.EndpointStatus
	s.board.Entries(func(e *board.Entry) {
		if st := e.Status(); st.Version > 0 {
			statuses = append(statuses, st)
		}
	})
	return statuses
}
