package edge

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/internal/rendezvous"
	"carawaycart/io/peer"
	"carawaycart/message"
)

const (
	maxNews       = 1200 // bytes of a datagram that no link splits
	relaysPerZone = 2    // instances of another zone that are told and pass it on
	fetchLimit    = 1500 * time.Millisecond
	freshMargin   = 150 * time.Millisecond // news that are no fresher are not passed on
)

// Courier carries what was read from the store from peer to peer. It implements
// peer.DirectoryHandler.
type Courier struct {
	ctx       context.Context // ends when the courier is closed
	cancel    context.CancelFunc
	self      carawaycart.InstanceID
	zone      carawaycart.ZoneID
	view      *View
	conn      *net.UDPConn
	client    *peer.Client
	clock     carawaycart.Clock
	log       *eventlog.Log
	router    *steer.Router
	registrar *Registrar
	copies    copyCache
	done      sync.WaitGroup

	mu       sync.Mutex
	fetching bool
}

// NewCourier returns a courier that takes in news from conn until Close.
func NewCourier(self carawaycart.InstanceID, zone carawaycart.ZoneID, v *View, r *steer.Router, conn *net.UDPConn, p *peer.Client,
	g *Registrar, k carawaycart.Clock, log *eventlog.Log,
) *Courier {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Courier{ctx: ctx, cancel: cancel, self: self, zone: zone, view: v, conn: conn, client: p, router: r, registrar: g, clock: k, log: log}
	c.done.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				if isClosed(err) {
					return
				}
				continue // an ICMP error of an earlier send
			}
			c.take(buf[:n], from)
		}
	})
	return c
}

// Close stops taking in news.
func (c *Courier) Close() {
	c.cancel()
	_ = c.conn.Close()
	c.done.Wait()
}

// Tell tells peers of a read of the store that began at began and led to change.
func (c *Courier) Tell(change directory.Difference, began time.Time) {
	s := c.view.State()
	news := c.news(&change, began, s.Trouble)
	news.Relay = true
	c.send(news, c.relays(s.Instances))
	news.Relay = false
	c.send(news, c.neighbours(s.Instances))
}

func (c *Courier) news(change *directory.Difference, began, trouble time.Time) *message.DirectoryNews {
	now := c.clock.Now()
	news := &message.DirectoryNews{
		From: string(c.self), FromRevision: uint64(change.From), ToRevision: uint64(change.To),
		AgeMs: uint32(max(now.Sub(began), 0).Milliseconds()),
		Items: message.FromItems(change.Items), Missing: change.Missing,
	}
	if !trouble.IsZero() {
		news.TroubleMs = uint32(max(now.Sub(trouble), 0).Milliseconds()) + 1
	}
	if proto.Size(news) > maxNews {
		news.Items, news.Missing, news.Partial = nil, nil, true
	}
	return news
}

func (c *Courier) send(news *message.DirectoryNews, to []carawaycart.Registration) {
	if len(to) == 0 {
		return
	}
	data, err := proto.Marshal(news)
	if err != nil {
		c.log.Event("newsFailed").Err(err).End()
		return
	}
	for _, r := range to {
		if _, err := c.conn.WriteToUDPAddrPort(data, r.PeerAddress); err != nil {
			c.log.Event("newsFailed").Text("peer", string(r.ID)).Err(err).End()
		}
	}
}

// TellSilent tells the zone that the endpoint with token t answers nothing, so
// that the others probe it too.
func (c *Courier) TellSilent(t carawaycart.Token) {
	c.send(&message.DirectoryNews{From: string(c.self), SilentTokens: []uint32{uint32(t)}}, c.neighbours(c.view.State().Instances))
}

// TellOutcomes tells the zone what became of requests to endpoints.
func (c *Courier) TellOutcomes(outcomes []steer.Outcomes) {
	news := &message.DirectoryNews{From: string(c.self)}
	for _, o := range outcomes {
		news.Outcomes = append(news.Outcomes, &message.EndpointOutcomes{
			Token: uint32(o.Token), Failed: uint32(o.Failed), Answered: uint32(o.Answered),
		})
	}
	c.send(news, c.neighbours(c.view.State().Instances))
}

// neighbours returns the other instances of the zone.
func (c *Courier) neighbours(all []carawaycart.Registration) []carawaycart.Registration {
	var same []carawaycart.Registration
	for _, r := range all {
		if r.Zone == c.zone && r.ID != c.self {
			same = append(same, r)
		}
	}
	return same
}

// others returns the instances of other zones.
func (c *Courier) others(all []carawaycart.Registration) []carawaycart.Registration {
	var others []carawaycart.Registration
	for _, r := range all {
		if r.Zone != c.zone {
			others = append(others, r)
		}
	}
	return others
}

// relays returns some instances of each other zone, those that rank highest for
// this instance.
func (c *Courier) relays(all []carawaycart.Registration) []carawaycart.Registration {
	key := rendezvous.NewKey(string(c.self))
	others := c.others(all)
	slices.SortFunc(others, func(a, b carawaycart.Registration) int {
		score := func(r carawaycart.Registration) uint64 {
			return rendezvous.Score(rendezvous.NewName(string(r.ID)), key)
		}
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(score(b), score(a)))
	})
	var relays []carawaycart.Registration
	inZone := 0
	for i, r := range others {
		if i == 0 || others[i-1].Zone != r.Zone {
			inZone = 0
		}
		if inZone++; inZone <= relaysPerZone {
			relays = append(relays, r)
		}
	}
	return relays
}

// take takes in a datagram from a peer.
func (c *Courier) take(data []byte, from netip.AddrPort) {
	news := &message.DirectoryNews{}
	if err := proto.Unmarshal(data, news); err != nil || news.GetFrom() == "" || news.GetFrom() == string(c.self) {
		c.log.Event("newsRefused").Text("peer", from.String()).Err(err).End()
		return
	}
	if len(news.GetSilentTokens()) > 0 {
		for _, t := range news.GetSilentTokens() {
			c.router.Doubt(carawaycart.Token(t))
		}
		return
	}
	if len(news.GetOutcomes()) > 0 {
		outcomes := make([]steer.Outcomes, len(news.GetOutcomes()))
		for i, o := range news.GetOutcomes() {
			outcomes[i] = steer.Outcomes{Token: carawaycart.Token(o.GetToken()), Failed: int(o.GetFailed()), Answered: int(o.GetAnswered())}
		}
		c.router.TakeOutcomes(outcomes, c.clock.Now())
		return
	}
	now := c.clock.Now()
	began := now.Add(-time.Duration(news.GetAgeMs()) * time.Millisecond)
	if news.GetTroubleMs() > 0 {
		c.view.Trouble(now.Add(-time.Duration(news.GetTroubleMs()-1) * time.Millisecond))
	}
	before := c.view.State()
	change := message.ToDifference(news)
	if news.GetPartial() && change.To > before.At || !c.view.TakeNews(change, news.GetFrom(), began) {
		c.fetch(news, from)
		return
	}
	if news.GetRelay() && began.Sub(before.Confirmed) > freshMargin || news.GetRelay() && change.To > before.At {
		c.pass(news, before.Instances)
	}
}

// pass tells the zone what was told to this instance as a relay.
func (c *Courier) pass(news *message.DirectoryNews, instances []carawaycart.Registration) {
	passed := proto.Clone(news).(*message.DirectoryNews)
	passed.Relay, passed.From = false, string(c.self)
	c.send(passed, c.neighbours(instances))
}

// fetch asks the sender of news for what is missing here, and passes the news
// on once it has it.
func (c *Courier) fetch(news *message.DirectoryNews, from netip.AddrPort) {
	c.mu.Lock()
	busy := c.fetching
	c.fetching = true
	c.mu.Unlock()
	if busy {
		return
	}
	c.done.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, fetchLimit)
		defer cancel()
		ok := c.Fetch(ctx, from, news.GetFrom())
		c.mu.Lock()
		c.fetching = false
		c.mu.Unlock()
		if ok && news.GetRelay() {
			c.pass(news, c.view.State().Instances)
		}
	})
}

// Join takes in what the peer at address knows, asks it to register own, and
// reports whether it answered.
func (c *Courier) Join(ctx context.Context, address netip.AddrPort, own carawaycart.Registration) bool {
	return c.request(ctx, address, address.String(), &message.DirectoryRequest{
		Revision: uint64(c.view.State().At), Id: string(own.ID), Zone: string(own.Zone), PeerAddress: own.PeerAddress.String(),
	})
}

// Fetch takes in what the peer at address knows better, and reports whether it
// answered.
func (c *Courier) Fetch(ctx context.Context, address netip.AddrPort, name string) bool {
	return c.request(ctx, address, name, &message.DirectoryRequest{Revision: uint64(c.view.State().At)})
}

func (c *Courier) request(ctx context.Context, address netip.AddrPort, name string, r *message.DirectoryRequest) bool {
	began := c.clock.Now()
	reply := &message.DirectoryCopy{}
	err := c.client.Call(ctx, address, "Directory", r, reply)
	if err == nil {
		var copied directory.Copy
		if copied, err = message.ToCopy(reply); err == nil && copied.At > 0 {
			c.view.TakeCopy(copied, name, began.Add(-time.Duration(reply.GetAgeMs())*time.Millisecond))
			return true
		}
	}
	if err != nil {
		c.client.Drop(address)
		c.log.Event("fetchFailed").Text("peer", name).Err(err).End()
	}
	return false
}

// Directory returns what the requesting peer lacks.
func (c *Courier) Directory(r *message.DirectoryRequest) (*message.DirectoryCopy, error) {
	if r.GetId() != "" {
		address, err := netip.ParseAddrPort(r.GetPeerAddress())
		if err != nil {
			return nil, errors.NewNotValid(err, "address of a registration")
		}
		c.registrar.Ask(carawaycart.Registration{
			ID: carawaycart.InstanceID(r.GetId()), Zone: carawaycart.ZoneID(r.GetZone()), PeerAddress: address,
		})
	}
	return c.copies.get(c.view, carawaycart.StoreRevision(r.GetRevision()), c.clock.Now())
}

// copyLife is how long an encoded copy serves all peers that ask for the same.
const copyLife = 300 * time.Millisecond

// copyCache keeps the copy that was encoded last: after a change, all peers of a
// zone ask for the same one.
type copyCache struct {
	mu        sync.Mutex
	since, at carawaycart.StoreRevision
	confirmed time.Time
	encoded   time.Time
	reply     *message.DirectoryCopy
}

// get returns the copy for a peer that is whole at since.
func (k *copyCache) get(v *View, since carawaycart.StoreRevision, now time.Time) (*message.DirectoryCopy, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reply == nil || k.since != since || k.at != v.State().At || now.Sub(k.encoded) > copyLife {
		copied, confirmed := v.Since(since)
		reply, err := message.FromCopy(copied, 0)
		if err != nil {
			return nil, err
		}
		k.since, k.at, k.confirmed, k.encoded, k.reply = since, copied.At, confirmed, now, reply
	}
	age := max(now.Sub(k.confirmed), 0)
	return &message.DirectoryCopy{
		AtRevision: k.reply.GetAtRevision(), AgeMs: uint32(age.Milliseconds()), CompressedBody: k.reply.GetCompressedBody(),
	}, nil
}
