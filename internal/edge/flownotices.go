package edge

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/rendezvous"
	"carawaycart/message"
)

const (
	// maxFlowsPerNotice keeps a datagram, with at most 38 bytes for each flow, below maxUpdateBytes.
	maxFlowsPerNotice = 30
	// maxWaitingNotices limits the flows that wait to be sent. Others are not told.
	maxWaitingNotices = 256
	// flowHolders is the number of other instances that are told where a flow is open.
	flowHolders = 2
)

// flowNotices holds open flows to be told to the peers. It is safe for concurrent use.
type flowNotices struct{ waiting chan steer.OpenFlow }

func newFlowNotices() flowNotices {
	return flowNotices{waiting: make(chan steer.OpenFlow, maxWaitingNotices)}
}

// add lets o be sent soon, unless too many flows wait for that. It does not block.
func (n flowNotices) add(o *steer.OpenFlow) {
	select {
	case n.waiting <- *o:
	default:
	}
}

// sendFlowNotices tells peers of the open flows that are added to d.flows, several at once if
// they come faster than they are sent, until d is closed.
func (d *Disseminator) sendFlowNotices() {
	for {
		var flows []steer.OpenFlow
		select {
		case <-d.ctx.Done():
			return
		case o := <-d.flows.waiting:
			flows = append(flows, o)
		}
		for len(flows) < maxFlowsPerNotice && len(d.flows.waiting) > 0 {
			flows = append(flows, <-d.flows.waiting)
		}
		d.tellFlows(flows)
	}
}

// tellFlows tells the holders of each flow where it is open, and the peers of the zone too if
// the flow is shared: these may receive its first packet.
func (d *Disseminator) tellFlows(flows []steer.OpenFlow) {
	instances := d.view.State().Instances
	zonePeers := d.zonePeers(instances)
	peers := make(map[carawaycart.InstanceID]carawaycart.Registration)
	notices := make(map[carawaycart.InstanceID][]*message.FlowNotice)
	for i := range flows {
		to := d.holders(&flows[i].Key, flowHolders, instances)
		if flows[i].Shared {
			to = append(to, zonePeers...)
		}
		notice := newFlowNotice(&flows[i])
		for _, r := range to {
			if n := notices[r.ID]; len(n) == 0 || n[len(n)-1] != notice { // a holder may be a peer of the zone
				peers[r.ID], notices[r.ID] = r, append(n, notice)
			}
		}
	}
	for id, all := range notices {
		for batch := range slices.Chunk(all, maxFlowsPerNotice) {
			d.send(&message.DirectoryNews{From: string(d.self), Flows: batch}, []carawaycart.Registration{peers[id]})
		}
	}
}

// HandOverFlows tells other instances where the flows are open of which this one knows and
// packets may not, so that its stop does not leave fewer holders.
func (d *Disseminator) HandOverFlows() {
	flows := d.router.ContestedFlows(d.clock.Now())
	for i := range flows {
		flows[i].Shared = false
	}
	d.tellFlows(flows)
	d.log.Event("flowsHandedOver").Int("flows", int64(len(flows))).End()
}

// holders returns the n other instances with the highest rendezvous hash for the flow with the
// given key, so that all instances find the same ones.
func (d *Disseminator) holders(key *carawaycart.FlowKey, n int, instances []carawaycart.Registration) []carawaycart.Registration {
	type candidate struct {
		carawaycart.Registration
		score uint64
	}
	var name [16]byte
	binary.BigEndian.PutUint64(name[:8], packAddress(key.Caller))
	binary.BigEndian.PutUint64(name[8:], packAddress(key.Service))
	hash := rendezvous.NewKey(string(name[:]))
	best := make([]candidate, 0, n+1)
	for _, r := range instances {
		if r.ID == d.self {
			continue
		}
		c := candidate{r, rendezvous.Score(rendezvous.NewName(string(r.ID)), hash)}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
		})
		if best = slices.Insert(best, at, c); len(best) > n {
			best = best[:n]
		}
	}
	holders := make([]carawaycart.Registration, len(best))
	for i := range best {
		holders[i] = best[i].Registration
	}
	return holders
}

// receiveFlows records the open flows in update, a message from the peer at from, answers its
// questions, or applies its answers. It returns false if update holds none of these.
func (d *Disseminator) receiveFlows(update *message.DirectoryNews, from netip.AddrPort) bool {
	switch {
	case len(update.GetFlows()) > 0:
		now := d.clock.Now()
		for _, n := range update.GetFlows() {
			o := toOpenFlow(n)
			d.router.RecordOpen(&o, now)
		}
	case len(update.GetAsked()) > 0:
		d.answerFlows(update, from)
	case len(update.GetAnswered()) > 0:
		if a := d.asker.Load(); a != nil {
			a.receive(update)
		}
	default:
		return false
	}
	return true
}

// toOpenFlow returns the flow in n.
func toOpenFlow(n *message.FlowNotice) steer.OpenFlow {
	return steer.OpenFlow{
		Key:   carawaycart.FlowKey{Caller: unpackAddress(n.GetCaller()), Service: unpackAddress(n.GetService()), Protocol: carawaycart.TCP},
		Token: carawaycart.Token(n.GetToken()), Sequence: n.GetSequence(), Acknowledged: n.GetAcknowledged(), Assumed: n.GetAssumed(),
	}
}

// newFlowNotice returns the message for o, a flow over IPv4.
func newFlowNotice(o *steer.OpenFlow) *message.FlowNotice {
	return &message.FlowNotice{
		Caller: packAddress(o.Key.Caller), Service: packAddress(o.Key.Service), Token: uint32(o.Token), Sequence: o.Sequence, Acknowledged: o.Acknowledged,
		Assumed: o.Assumed,
	}
}

// packAddress returns the IPv4 address a in the form of message.FlowNotice.
func packAddress(a netip.AddrPort) uint64 {
	ip := a.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(a.Port())
}

// unpackAddress returns the IPv4 address that packed holds in the form of message.FlowNotice.
func unpackAddress(packed uint64) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(packed>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(packed))
}
