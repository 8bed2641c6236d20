package edge

import (
	"cmp"
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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
	"carawaycart/platform"
)

const (
	maxUpdateBytes = 1200 // size of a datagram that no link fragments

	// relaysPerZone is the number of instances of each other zone that an update is
	// sent to, and that relay it to the peers of their zone.
	relaysPerZone = 2

	readFailurePause = time.Millisecond // time after a failed read of a datagram

	fetchTimeout = 1500 * time.Millisecond // limits a request for a snapshot

	// minRelayAdvance limits the relaying of updates without changes. Such an update
	// is relayed only if its read of the store began later than the last known one by
	// more than this.
	minRelayAdvance = 150 * time.Millisecond
)

// Disseminator sends updates of the store's contents to peers and applies the
// updates that peers send. Within its zone it also exchanges notices of silent
// endpoints and the outcomes of requests. It implements peer.DirectoryHandler.
type Disseminator struct {
	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
	self      carawaycart.InstanceID
	zone      carawaycart.ZoneID
	view      *View
	conn      *net.UDPConn // carries updates and notices
	client    *peer.Client // requests snapshots
	clock     carawaycart.Clock
	log       *eventlog.Log
	router    *steer.Router
	registrar *Registrar
	snapshots snapshotCache
	sent      linkLoad // of snapshots to peers
	flows     flowNotices
	asker     atomic.Pointer[flowAsker] // receives the answers of peers
	startedAt time.Time
	// firstStart tells whether the whole fleet has started with this instance, which has
	// therefore missed no open flow.
	firstStart atomic.Bool
	done       sync.WaitGroup

	mu       sync.Mutex
	fetching bool      // a snapshot is being fetched by startFetch
	loadsAt  time.Time // when loads were last sent
}

// NewDisseminator returns a disseminator that receives updates on conn until Close
// is called.
func NewDisseminator(self carawaycart.InstanceID, zone carawaycart.ZoneID, v *View, r *steer.Router, conn *net.UDPConn, p *peer.Client,
	g *Registrar, k carawaycart.Clock, log *eventlog.Log,
) *Disseminator {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Disseminator{ctx: ctx, cancel: cancel, self: self, zone: zone, view: v, conn: conn, client: p, router: r, registrar: g, clock: k, log: log}
	d.flows, d.startedAt = newFlowNotices(), k.Now()
	d.done.Go(d.sendFlowNotices)
	d.done.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				if isClosed(err) {
					return
				}
				// The error may be an ICMP error caused by an earlier send. One that lasts
				// must not occupy the processor.
				time.Sleep(readFailurePause)
				continue
			}
			d.receive(buf[:n], from)
		}
	})
	return d
}

// Close closes the connection and waits for pending requests to end.
func (d *Disseminator) Close() {
	d.cancel()
	_ = d.conn.Close()
	d.done.Wait()
}

// Broadcast sends delta, the result of a read of the store that began at began, to
// the peers of the zone and to relays in other zones. Delta may be empty; the peers
// then learn only that the store has been read.
func (d *Disseminator) Broadcast(delta directory.Delta, began time.Time) {
	state := d.view.State()
	update := d.newUpdate(&delta, began, state.StoreFailure)
	update.Relay = true
	d.send(update, d.relayPeers(state.Instances))
	update.Relay = false
	d.send(update, d.zonePeers(state.Instances))
}

// newUpdate returns the message for a delta read at began, where failure is the time
// of the last store failure, or zero if none is known. The message is partial,
// without items, if it would exceed maxUpdateBytes or the delta enters another era.
func (d *Disseminator) newUpdate(delta *directory.Delta, began, failure time.Time) *message.DirectoryNews {
	now := d.clock.Now()
	update := &message.DirectoryNews{
		From: string(d.self), FromRevision: uint64(delta.From.Revision), ToRevision: uint64(delta.To.Revision), Era: uint64(delta.To.Era),
		AgeMs: uint32(max(now.Sub(began), 0).Milliseconds()),
		Items: message.FromItems(delta.Items), Missing: delta.RemovedKeys,
	}
	update.TroubleMs = troubleMs(failure, now)
	if proto.Size(update) > maxUpdateBytes || delta.From.Era != delta.To.Era {
		update.Items, update.Missing, update.Partial = nil, nil, true
	}
	return update
}

// troubleMs returns the time from failure, a failure of the store, to now in the form of
// messages, which is zero if there was none.
func troubleMs(failure, now time.Time) uint32 {
	if failure.IsZero() {
		return 0
	}
	return uint32(max(now.Sub(failure), 0).Milliseconds()) + 1
}

// send sends update to the given instances. It logs errors and continues with the
// next instance.
func (d *Disseminator) send(update *message.DirectoryNews, to []carawaycart.Registration) {
	if len(to) == 0 {
		return
	}
	data, err := proto.Marshal(update)
	if err != nil {
		d.log.Event("newsFailed").Err(err).End()
		return
	}
	for _, r := range to {
		if _, err := d.conn.WriteToUDPAddrPort(data, r.PeerAddress); err != nil {
			d.log.Event("newsFailed").Text("peer", string(r.ID)).Err(err).End()
		}
	}
}

// BroadcastSilent notifies the peers of the zone that the endpoint with token t is
// silent, so that they probe it too.
func (d *Disseminator) BroadcastSilent(t carawaycart.Token) {
	d.send(&message.DirectoryNews{From: string(d.self), SilentTokens: []uint32{uint32(t)}}, d.zonePeers(d.view.State().Instances))
}

// BroadcastFailedRead notifies the peers of the zone, and relays in other zones, that a
// read of the store has failed.
func (d *Disseminator) BroadcastFailedRead() {
	state := d.view.State()
	notice := &message.DirectoryNews{From: string(d.self), FailedRead: true, Relay: true}
	d.send(notice, d.relayPeers(state.Instances))
	notice.Relay = false
	d.send(notice, d.zonePeers(state.Instances))
}

// BroadcastOutcomes sends the counts of failed and answered requests and of short responses
// of endpoints to the peers of the zone, which merge them with their own.
func (d *Disseminator) BroadcastOutcomes(outcomes []steer.Outcomes) {
	update := &message.DirectoryNews{From: string(d.self)}
	for _, o := range outcomes {
		update.Outcomes = append(update.Outcomes, &message.EndpointOutcomes{
			Token: uint32(o.Token), Failed: uint32(o.Failed), Answered: uint32(o.Answered), Short: uint32(o.Short),
		})
	}
	d.send(update, d.zonePeers(d.view.State().Instances))
}

// zonePeers returns the other instances of the zone.
func (d *Disseminator) zonePeers(all []carawaycart.Registration) []carawaycart.Registration {
	var peers []carawaycart.Registration
	for _, r := range all {
		if r.Zone == d.zone && r.ID != d.self {
			peers = append(peers, r)
		}
	}
	return peers
}

// remotePeers returns the instances of other zones.
func (d *Disseminator) remotePeers(all []carawaycart.Registration) []carawaycart.Registration {
	var remotePeers []carawaycart.Registration
	for _, r := range all {
		if r.Zone != d.zone {
			remotePeers = append(remotePeers, r)
		}
	}
	return remotePeers
}

// relayPeers returns up to relaysPerZone instances of each other zone, those with
// the highest rendezvous hash for this instance.
func (d *Disseminator) relayPeers(all []carawaycart.Registration) []carawaycart.Registration {
	key := rendezvous.NewKey(string(d.self))
	remotePeers := d.remotePeers(all)
	slices.SortFunc(remotePeers, func(a, b carawaycart.Registration) int {
		score := func(r carawaycart.Registration) uint64 {
			return rendezvous.Score(rendezvous.NewName(string(r.ID)), key)
		}
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(score(b), score(a)))
	})
	var relayPeers []carawaycart.Registration
	inZone := 0
	for i, r := range remotePeers {
		if i == 0 || remotePeers[i-1].Zone != r.Zone {
			inZone = 0
		}
		if inZone++; inZone <= relaysPerZone {
			relayPeers = append(relayPeers, r)
		}
	}
	return relayPeers
}

// receive applies a datagram from a peer. It requests probes of silent endpoints,
// merges outcomes of requests, or applies an update to the view and relays it if
// asked to. If the update is partial, or begins at a later revision than the view
// has, it fetches a snapshot instead. A datagram that is malformed or was sent by
// this instance is logged and ignored.
func (d *Disseminator) receive(data []byte, from netip.AddrPort) {
	defer logPanic(d.log, from.String())
	update := &message.DirectoryNews{}
	if err := proto.Unmarshal(data, update); err != nil || update.GetFrom() == "" || update.GetFrom() == string(d.self) {
		d.log.Event("newsRefused").Text("peer", from.String()).Err(err).End()
		return
	}
	if len(update.GetSilentTokens()) > 0 {
		for _, t := range update.GetSilentTokens() {
			d.router.RequestProbe(carawaycart.Token(t), d.clock.Now())
		}
		return
	}
	if len(update.GetOutcomes()) > 0 {
		outcomes := make([]steer.Outcomes, len(update.GetOutcomes()))
		for i, o := range update.GetOutcomes() {
			outcomes[i] = steer.Outcomes{
				Token: carawaycart.Token(o.GetToken()), Failed: int(o.GetFailed()), Answered: int(o.GetAnswered()), Short: int(o.GetShort()),
			}
		}
		d.router.MergeOutcomes(outcomes, d.clock.Now())
		return
	}
	if len(update.GetLoads()) > 0 {
		d.receiveLoads(update)
		return
	}
	if d.receiveFlows(update, from) {
		return
	}
	if update.GetAhead() {
		d.receiveAhead(update)
		return
	}
	now := d.clock.Now()
	if update.GetFailedRead() {
		d.view.RecordFailedRead(carawaycart.InstanceID(update.GetFrom()), now)
		if update.GetRelay() {
			update.Relay = false
			d.send(update, d.zonePeers(d.view.State().Instances))
		}
		return
	}
	began := now.Add(-time.Duration(update.GetAgeMs()) * time.Millisecond)
	if ms := update.GetTroubleMs(); ms > 0 {
		d.view.RecordStoreFailure(now.Add(-time.Duration(ms-1) * time.Millisecond))
	}
	before := d.view.State()
	delta := message.ToDelta(update)
	if update.GetPartial() && before.Position.Before(delta.To) || !d.view.ApplyUpdate(delta, update.GetFrom(), began) {
		d.startFetch(update, from)
		return
	}
	if update.GetRelay() && began.Sub(before.LastReadAt) > minRelayAdvance || update.GetRelay() && before.Position.Before(delta.To) {
		d.relay(update, before.Instances)
	}
}

// relay sends an update that this instance received as a relay to the peers of the
// zone.
func (d *Disseminator) relay(update *message.DirectoryNews, instances []carawaycart.Registration) {
	relayed := proto.Clone(update).(*message.DirectoryNews)
	relayed.Relay, relayed.From = false, string(d.self)
	d.send(relayed, d.zonePeers(instances))
}

// startFetch fetches a snapshot from the sender of update in the background, and
// then relays the update if the sender asked for that. It does nothing if a fetch is
// in progress already.
func (d *Disseminator) startFetch(update *message.DirectoryNews, from netip.AddrPort) {
	d.mu.Lock()
	busy := d.fetching
	d.fetching = true
	d.mu.Unlock()
	if busy {
		return
	}
	received := d.clock.Now()
	d.done.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, fetchTimeout)
		defer cancel()
		ok := d.Fetch(ctx, from, update.GetFrom())
		d.mu.Lock()
		d.fetching = false
		d.mu.Unlock()
		if ok && update.GetRelay() {
			addAge(update, d.clock.Now().Sub(received))
			d.relay(update, d.view.State().Instances)
		}
	})
}

// addAge adds waited, the time since update was received, to the ages in it.
func addAge(update *message.DirectoryNews, waited time.Duration) {
	const unit = time.Millisecond
	add := func(age uint32) uint32 {
		sum := time.Duration(age)*unit + max(waited, 0) + unit - 1 // rounded up
		return uint32(min(sum/unit, math.MaxUint32))
	}
	update.AgeMs = add(update.GetAgeMs())
	if update.GetTroubleMs() > 0 {
		update.TroubleMs = add(update.GetTroubleMs())
	}
}

// Join is like Fetch, and also asks the peer to register own.
func (d *Disseminator) Join(ctx context.Context, address netip.AddrPort, own carawaycart.Registration) bool {
	r := d.newRequest()
	r.Id, r.Zone, r.PeerAddress = string(own.ID), string(own.Zone), own.PeerAddress.String()
	return d.requestSnapshot(ctx, address, address.String(), r)
}

// newRequest returns a request for the changes since the position of the view.
func (d *Disseminator) newRequest() *message.DirectoryRequest {
	p := d.view.State().Position
	return &message.DirectoryRequest{Era: uint64(p.Era), Revision: uint64(p.Revision), AcceptsDelta: true}
}

// Fetch fetches a snapshot from the peer at address and applies it to the view. It
// returns false if the request failed or the peer has not read the store yet. The
// name identifies the peer in the log.
func (d *Disseminator) Fetch(ctx context.Context, address netip.AddrPort, name string) bool {
	return d.requestSnapshot(ctx, address, name, d.newRequest())
}

// Refresh fetches the changes and the recently ended lifetimes from the peer at address.
// An instance that is not listed yet gets no updates, so that its view would stay as it
// was at the start. The name identifies the peer in the log.
func (d *Disseminator) Refresh(ctx context.Context, address netip.AddrPort, name string) {
	if d.Fetch(ctx, address, name) {
		d.fetchEnded(ctx, address, name)
	}
}

// fetchEnded fetches the recently ended lifetimes from the peer at address, without the
// rest of its directory, and records them in the view.
func (d *Disseminator) fetchEnded(ctx context.Context, address netip.AddrPort, name string) {
	reply := &message.DirectoryCopy{}
	err := d.client.Call(ctx, address, "Directory", &message.DirectoryRequest{EndedOnly: true}, reply)
	var snapshot directory.Snapshot
	if err == nil {
		snapshot, err = message.ToSnapshot(reply)
	}
	if err != nil {
		d.client.Disconnect(address)
		d.log.Event("fetchFailed").Text("peer", name).Err(err).End()
		return
	}
	d.view.RecordEnded(snapshot.Ended, name)
}

// requestSnapshot sends r to the peer at address and applies the reply to the view,
// with the results of Fetch. It closes the connection to the peer if the request
// failed.
func (d *Disseminator) requestSnapshot(ctx context.Context, address netip.AddrPort, name string, r *message.DirectoryRequest) bool {
	began := d.clock.Now()
	reply := &message.DirectoryCopy{}
	err := d.client.Call(ctx, address, "Directory", r, reply)
	if err == nil {
		var snapshot directory.Snapshot
		if snapshot, err = message.ToSnapshot(reply); err == nil && snapshot.At.Revision > 0 {
			if ms := reply.GetTroubleMs(); ms > 0 {
				d.view.RecordPastFailure(began.Add(-time.Duration(ms-1) * time.Millisecond))
			}
			if d.view.ApplySnapshot(snapshot, name, began.Add(-time.Duration(reply.GetAgeMs())*time.Millisecond)) {
				return true
			}
			whole := proto.Clone(r).(*message.DirectoryRequest)
			whole.AcceptsDelta = false
			return d.requestSnapshot(ctx, address, name, whole)
		}
	}
	if err != nil {
		d.client.Disconnect(address)
		d.log.Event("fetchFailed").Text("peer", name).Err(err).End()
	}
	return false
}

// Sending reports whether the snapshots that peers have fetched may still fill the link of
// the instance.
func (d *Disseminator) Sending() bool { return d.sent.full(d.clock.Now()) }

// Directory returns a snapshot of the changes since the revision of the requesting
// peer, or only the ended lifetimes if it asks for these, and records the peer's registration if it asks for one. It returns a NotValid
// error if the registration is.
func (d *Disseminator) Directory(r *message.DirectoryRequest) (*message.DirectoryCopy, error) {
	if r.GetId() != "" {
		address, err := netip.ParseAddrPort(r.GetPeerAddress())
		if err != nil {
			return nil, errors.NewNotValid(err, "address of a registration")
		}
		registration := carawaycart.Registration{ID: carawaycart.InstanceID(r.GetId()), Zone: carawaycart.ZoneID(r.GetZone()), PeerAddress: address}
		if err := platform.ValidateInstance(&registration); err != nil {
			return nil, err // one invalid entry would fail the write of all that are requested
		}
		d.registrar.RequestRegistration(registration)
	}
	if r.GetEndedOnly() {
		return message.FromSnapshot(directory.Snapshot{Ended: d.view.EndedLifetimes()}, 0)
	}
	now := d.clock.Now()
	reply, err := d.snapshots.get(d.view, message.ToPosition(r.GetEra(), r.GetRevision()), r.GetAcceptsDelta(), now)
	if err == nil {
		d.sent.add(len(reply.GetCompressedBody()), now)
	}
	return reply, err
}

// snapshotCacheTTL is how long an encoded snapshot is reused for peers at the same
// revision.
const snapshotCacheTTL = 300 * time.Millisecond

// snapshotCache retains the last encoded snapshot, because all peers of a zone
// request the same one after a change.
type snapshotCache struct {
	mu           sync.Mutex
	since, at    directory.Position // reply updates a directory from since to at
	acceptsDelta bool               // whether reply may hold a delta
	readAt       time.Time          // start of the read of the store that reply reflects
	encodedAt    time.Time          // when reply was encoded
	reply        *message.DirectoryCopy
}

// get returns the snapshot that a peer needs whose view is complete up to since. Its
// age is that of the read at now. It returns an error if the snapshot cannot be
// encoded.
func (c *snapshotCache) get(view *View, since directory.Position, acceptsDelta bool, now time.Time) (*message.DirectoryCopy, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reply == nil || c.since != since || c.acceptsDelta != acceptsDelta || c.at != view.State().Position || now.Sub(c.encodedAt) > snapshotCacheTTL {
		snapshot, readAt := view.SnapshotSince(since, acceptsDelta)
		reply, err := message.FromSnapshot(snapshot, 0)
		if err != nil {
			return nil, err
		}
		c.since, c.acceptsDelta, c.at, c.readAt, c.encodedAt, c.reply = since, acceptsDelta, snapshot.At, readAt, now, reply
	}
	age := max(now.Sub(c.readAt), 0)
	return &message.DirectoryCopy{
		AtRevision: c.reply.GetAtRevision(), Era: c.reply.GetEra(), AgeMs: uint32(age.Milliseconds()), CompressedBody: c.reply.GetCompressedBody(),
		TroubleMs: troubleMs(view.State().LastFailure, now),
	}, nil
}
