package member

import (
	"cmp"
	"net/netip"
	"slices"

	"carawaycart"
	"carawaycart/internal/rendezvous"
)

// Peer is an instance in a View.
type Peer struct {
	ID      carawaycart.InstanceID
	Zone    carawaycart.ZoneID
	Address netip.AddrPort
	name    rendezvous.Name
}

// View is an immutable snapshot of the instances that take part in keeping.
type View struct {
	ready   []Peer // decide and hold replicas, ordered by ID
	joining []Peer // hold replicas only, ordered by ID
}

// MaxReplicas is the most replicas that Holders names besides the keeper.
const MaxReplicas = 4

// Holders names the instances that keep the state of one object.
type Holders struct {
	Keeper   carawaycart.InstanceID
	Replicas [MaxReplicas]carawaycart.InstanceID
	Count    int // number of Replicas in use
}

// Contains reports whether id is the keeper or a replica.
func (h *Holders) Contains(id carawaycart.InstanceID) bool {
	return h.Keeper == id || slices.Contains(h.Replicas[:h.Count], id)
}

func (h *Holders) add(id carawaycart.InstanceID) {
	if id == "" || h.Contains(id) || h.Count == MaxReplicas {
		return
	}
	h.Replicas[h.Count] = id
	h.Count++
}

// Duty tells what the instances of a zone may hold.
type Duty uint8

// The duties.
const (
	DutyFull    Duty = iota // decide and hold replicas
	DutyReplica             // hold replicas only
	DutyNone                // neither
)

// NewView returns the view of the members that are ready or joining, each with
// no more than its zone's duty. If that leaves nobody to decide, the zones'
// duties are ignored.
func NewView(members []carawaycart.Member, duty func(carawaycart.ZoneID) Duty) *View {
	v := newView(members, duty)
	if len(v.ready) == 0 {
		v = newView(members, func(carawaycart.ZoneID) Duty { return DutyFull })
	}
	return v
}

func newView(members []carawaycart.Member, duty func(carawaycart.ZoneID) Duty) *View {
	v := &View{}
	for _, m := range members {
		d := duty(m.Zone)
		alive := m.State == carawaycart.MemberReady || m.State == carawaycart.MemberJoining
		if d == DutyNone || !alive {
			continue
		}
		p := Peer{ID: m.ID, Zone: m.Zone, Address: m.PeerAddress, name: rendezvous.NewName(string(m.ID))}
		if d == DutyFull && m.State == carawaycart.MemberReady {
			v.ready = append(v.ready, p)
		} else {
			v.joining = append(v.joining, p)
		}
	}
	byID := func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(v.ready, byID)
	slices.SortFunc(v.joining, byID)
	return v
}

// Ready returns the instances that decide, ordered by ID; the slice must not be
// modified.
func (v *View) Ready() []Peer { return v.ready }

// Len returns the number of instances in the view.
func (v *View) Len() int { return len(v.ready) + len(v.joining) }

// Zones returns how many zones have a ready instance.
func (v *View) Zones() int {
	zones := make(map[carawaycart.ZoneID]struct{})
	for _, p := range v.ready {
		zones[p.Zone] = struct{}{}
	}
	return len(zones)
}

// HasZone reports whether zone has a ready instance.
func (v *View) HasZone(zone carawaycart.ZoneID) bool {
	return slices.ContainsFunc(v.ready, func(p Peer) bool { return p.Zone == zone })
}

// Holders returns the holders of the object with the given key; the Keeper is
// empty if no instance is ready.
//
// The replicas are the highest-scoring ready instance after the keeper, the
// highest outside the keeper's zone, and the same two over ready and joining
// instances together, so that a joining instance receives what it will keep.
func (v *View) Holders(key rendezvous.Key) Holders {
	keeper, second, elsewhere := rank(key, v.ready, nil)
	h := Holders{Keeper: keeper}
	if keeper == "" {
		return h
	}
	h.add(second)
	h.add(elsewhere)
	if len(v.joining) > 0 {
		first, _, other := rank(key, v.ready, v.joining)
		h.add(first)
		h.add(other)
	}
	return h
}

// rank returns the highest-scoring peer, the second highest, and the highest
// outside the zone of the first.
func rank(key rendezvous.Key, ready, joining []Peer) (first, second, elsewhere carawaycart.InstanceID) {
	var firstPeer, secondPeer *Peer
	var high, next uint64
	for _, peers := range [2][]Peer{ready, joining} {
		for i := range peers {
			p := &peers[i]
			s := rendezvous.Score(p.name, key)
			switch {
			case firstPeer == nil || s > high:
				secondPeer, next = firstPeer, high
				firstPeer, high = p, s
			case secondPeer == nil || s > next:
				secondPeer, next = p, s
			}
		}
	}
	if firstPeer == nil {
		return "", "", ""
	}
	if secondPeer == nil {
		return firstPeer.ID, "", ""
	}
	return firstPeer.ID, secondPeer.ID, highestOutside(key, firstPeer.Zone, ready, joining)
}

func highestOutside(key rendezvous.Key, zone carawaycart.ZoneID, ready, joining []Peer) carawaycart.InstanceID {
	var id carawaycart.InstanceID
	var high uint64
	for _, peers := range [2][]Peer{ready, joining} {
		for i := range peers {
			p := &peers[i]
			if p.Zone == zone {
				continue
			}
			if s := rendezvous.Score(p.name, key); id == "" || s > high {
				id, high = p.ID, s
			}
		}
	}
	return id
}

// HasAddress reports whether an instance of the view has peer address a.
func (v *View) HasAddress(a netip.AddrPort) bool {
	same := func(p Peer) bool { return p.Address == a }
	return slices.ContainsFunc(v.ready, same) || slices.ContainsFunc(v.joining, same)
}

// Address returns the peer address of instance id in the view.
func (v *View) Address(id carawaycart.InstanceID) (netip.AddrPort, bool) {
	for _, peers := range [2][]Peer{v.ready, v.joining} {
		i, ok := slices.BinarySearchFunc(peers, id, func(p Peer, id carawaycart.InstanceID) int { return cmp.Compare(p.ID, id) })
		if ok {
			return peers[i].Address, true
		}
	}
	return netip.AddrPort{}, false
}

// Neighbours appends to dst the peers that self probes and returns it: its
// successor in the ring of its zone's instances, its highest-scoring other
// peer of the zone, and its highest-scoring peer in each other zone.
func (v *View) Neighbours(dst []Peer, self carawaycart.InstanceID, zone carawaycart.ZoneID) []Peer {
	key := rendezvous.NewKey(string(self))
	best := make(map[carawaycart.ZoneID]Peer)
	var successor, first Peer
	for _, peers := range [2][]Peer{v.ready, v.joining} {
		for _, p := range peers {
			if p.ID == self {
				continue
			}
			if b, ok := best[p.Zone]; !ok || rendezvous.Score(p.name, key) > rendezvous.Score(b.name, key) {
				best[p.Zone] = p
			}
			if p.Zone != zone {
				continue
			}
			if first.ID == "" || p.ID < first.ID {
				first = p
			}
			if p.ID > self && (successor.ID == "" || p.ID < successor.ID) {
				successor = p
			}
		}
	}
	if successor.ID == "" {
		successor = first
	}
	if successor.ID != "" {
		dst = append(dst, successor)
	}
	for _, p := range best {
		if p.ID != successor.ID {
			dst = append(dst, p)
		}
	}
	slices.SortFunc(dst, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return dst
}
