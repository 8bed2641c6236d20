package member

import (
	"cmp"
	"net/netip"
	"slices"
	"sync/atomic"

	"carawaycart"
	"carawaycart/internal/rendezvous"
)

// Peer is an instance in a View.
type Peer struct {
	ID      carawaycart.InstanceID
	Zone    carawaycart.ZoneID
	Address netip.AddrPort  // peer address
	name    rendezvous.Name // ID as a rendezvous candidate
}

// View is an immutable snapshot of the instances that can be keepers or replicas.
type View struct {
	keeperCandidates []Peer // instances that can be keeper or replica, ordered by ID
	replicaOnly      []Peer // instances that can be replica only, ordered by ID

	id        uint64 // unique in the process, from lastViewID
	previous  uint64 // id of the preceding view, or zero
	differing []Peer // peers that differ between the two views
}

// lastViewID is the id of the latest view. Views are compared by id so that old
// ones need not be retained.
var lastViewID atomic.Uint64

// MaxReplicas is the maximum number of replicas in Holders, without the keeper.
const MaxReplicas = 4

// Holders names the instances that hold the state of one object, such as an
// endpoint.
type Holders struct {
	Keeper       carawaycart.InstanceID // empty if no instance can be keeper
	Replicas     [MaxReplicas]carawaycart.InstanceID
	ReplicaCount int // number of Replicas in use
	// scoreFloor is the score that a peer outside the holders must reach for a
	// change of that peer to alter them.
	scoreFloor uint64
}

// minReplicasForFloor is the number of replicas below which Holders.scoreFloor is
// not valid.
const minReplicasForFloor = 1

// Contains reports whether id is the keeper or a replica.
func (h *Holders) Contains(id carawaycart.InstanceID) bool {
	return h.Keeper == id || slices.Contains(h.Replicas[:h.ReplicaCount], id)
}

// add appends id to the replicas unless it is empty, already a holder, or there
// are MaxReplicas.
func (h *Holders) add(id carawaycart.InstanceID) {
	if id == "" || h.Contains(id) || h.ReplicaCount == MaxReplicas {
		return
	}
	h.Replicas[h.ReplicaCount] = id
	h.ReplicaCount++
}

// Eligibility states which roles the instances of a zone may have for an object.
type Eligibility uint8

// The values of Eligibility, each with the roles that it allows.
const (
	KeeperEligible  Eligibility = iota // keeper or replica
	ReplicaEligible                    // replica only
	Ineligible                         // neither
)

// NewView returns the view of the members that are ready or joining, restricted
// to the roles for which their zones are eligible. If no instance could then be
// keeper, it ignores the eligibility. Joining instances are replicas only.
func NewView(members []carawaycart.Member, eligibility func(carawaycart.ZoneID) Eligibility) *View {
	v := newView(members, eligibility)
	if len(v.keeperCandidates) == 0 {
		v = newView(members, func(carawaycart.ZoneID) Eligibility { return KeeperEligible })
	}
	return v
}

// newView returns the view that NewView does, without the exception for the case
// that no instance could be keeper.
func newView(members []carawaycart.Member, eligibility func(carawaycart.ZoneID) Eligibility) *View {
	v := &View{id: lastViewID.Add(1)}
	for _, m := range members {
		d := eligibility(m.Zone)
		participates := m.State == carawaycart.MemberReady || m.State == carawaycart.MemberJoining
		if d == Ineligible || !participates {
			continue
		}
		p := Peer{ID: m.ID, Zone: m.Zone, Address: m.PeerAddress, name: rendezvous.NewName(string(m.ID))}
		if d == KeeperEligible && m.State == carawaycart.MemberReady {
			v.keeperCandidates = append(v.keeperCandidates, p)
		} else {
			v.replicaOnly = append(v.replicaOnly, p)
		}
	}
	byID := func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(v.keeperCandidates, byID)
	slices.SortFunc(v.replicaOnly, byID)
	return v
}

// KeeperCandidates returns the instances that can be keepers, ordered by ID; the
// slice must not be modified. It omits ready instances whose zones allow no keeper.
func (v *View) KeeperCandidates() []Peer { return v.keeperCandidates }

// Len returns the number of instances in the view.
func (v *View) Len() int { return len(v.keeperCandidates) + len(v.replicaOnly) }

// HasKeeperCandidate reports whether zone has an instance that can be keeper.
func (v *View) HasKeeperCandidate(zone carawaycart.ZoneID) bool {
	return slices.ContainsFunc(v.keeperCandidates, func(p Peer) bool { return p.Zone == zone })
}

// Holders returns the holders of the object with the given key. The keeper is the
// highest-scoring instance that can be keeper, and is empty if there is none.
//
// The replicas are the second highest-scoring of these instances, and the highest
// of them outside the keeper's zone. When instances that can be replicas only are
// added to these, the highest-scoring instance and the highest outside its zone
// are replicas too. A joining instance thus receives the state of the objects
// whose keeper it will become.
func (v *View) Holders(key rendezvous.Key) Holders {
	var r ranking
	r.addAll(v.keeperCandidates, key)
	h := Holders{Keeper: r.first.id()}
	if h.Keeper == "" {
		return h
	}
	h.add(r.second.id())
	h.add(r.outside.id())
	h.scoreFloor = min(r.second.score, r.outside.score)
	if len(v.replicaOnly) > 0 {
		r.addAll(v.replicaOnly, key)
		h.add(r.first.id())
		h.add(r.outside.id())
	}
	return h
}

// scoredPeer is a peer with its score for one key; the peer is nil if there is
// none.
type scoredPeer struct {
	peer  *Peer
	score uint64
}

// id returns the peer's ID, or the empty ID if there is no peer.
func (p scoredPeer) id() carawaycart.InstanceID {
	if p.peer == nil {
		return ""
	}
	return p.peer.ID
}

// ranking holds the highest-scoring peer, the second highest, and the highest
// outside the zone of the first.
type ranking struct{ first, second, outside scoredPeer }

func (r *ranking) addAll(peers []Peer, key rendezvous.Key) {
	for i := range peers {
		r.add(scoredPeer{&peers[i], rendezvous.Score(peers[i].name, key)})
	}
}

// add includes c in the ranking.
func (r *ranking) add(c scoredPeer) {
	switch {
	case r.first.peer == nil || c.score > r.first.score:
		if r.first.peer != nil && c.peer.Zone != r.first.peer.Zone {
			r.outside = r.first // nothing outside c's zone scores higher
		}
		r.second = r.first
		r.first = c
		return
	case r.second.peer == nil || c.score > r.second.score:
		r.second = c
	}
	if c.peer.Zone != r.first.peer.Zone && (r.outside.peer == nil || c.score > r.outside.score) {
		r.outside = c
	}
}

// SetPrevious makes v the successor of previous, so that HoldersUnchanged can
// compare the two. It must be called before v is shared.
func (v *View) SetPrevious(previous *View) {
	v.previous = previous.id
	v.differing = appendDiffering(v.differing[:0], previous.keeperCandidates, v.keeperCandidates)
	v.differing = appendDiffering(v.differing, previous.replicaOnly, v.replicaOnly)
}

// appendDiffering appends to dst the peers that are in only one of a and b, and
// both versions of a peer that changed. Both slices must be ordered by ID.
func appendDiffering(dst, a, b []Peer) []Peer {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].ID < b[0].ID:
			dst = append(dst, a[0])
			a = a[1:]
		case len(a) == 0 || b[0].ID < a[0].ID:
			dst = append(dst, b[0])
			b = b[1:]
		default:
			if a[0] != b[0] {
				dst = append(dst, a[0], b[0])
			}
			a, b = a[1:], b[1:]
		}
	}
	return dst
}

// HoldersUnchanged reports whether h, the holders of key in view old, are
// certainly the holders of key in v too. It returns false unless old is the
// previous view of v, and takes time linear in the number of changed peers.
func (v *View) HoldersUnchanged(old *View, h *Holders, key rendezvous.Key) bool {
	if v.previous != old.id || h.Keeper == "" || h.ReplicaCount < minReplicasForFloor {
		return false
	}
	for i := range v.differing {
		c := &v.differing[i]
		if h.Contains(c.ID) || rendezvous.Score(c.name, key) >= h.scoreFloor {
			return false
		}
	}
	return true
}

// HasAddress reports whether an instance in the view has peer address a.
func (v *View) HasAddress(a netip.AddrPort) bool {
	same := func(p Peer) bool { return p.Address == a }
	return slices.ContainsFunc(v.keeperCandidates, same) || slices.ContainsFunc(v.replicaOnly, same)
}

// Address returns the peer address of instance id, and false if it is not in the
// view.
func (v *View) Address(id carawaycart.InstanceID) (netip.AddrPort, bool) {
	for _, peers := range [2][]Peer{v.keeperCandidates, v.replicaOnly} {
		i, ok := slices.BinarySearchFunc(peers, id, func(p Peer, id carawaycart.InstanceID) int { return cmp.Compare(p.ID, id) })
		if ok {
			return peers[i].Address, true
		}
	}
	return netip.AddrPort{}, false
}

// Neighbours appends to dst the peers that self, an instance of the given zone,
// probes, sorts dst by ID and returns it. These are the successor of self in the
// ring of the zone's instances ordered by ID, which connects the zone, and the
// highest-scoring peer in each zone, its own included, which connects the zones.
func (v *View) Neighbours(dst []Peer, self carawaycart.InstanceID, zone carawaycart.ZoneID) []Peer {
	key := rendezvous.NewKey(string(self))
	bestByZone := make(map[carawaycart.ZoneID]Peer)
	var successor, first Peer
	for _, peers := range [2][]Peer{v.keeperCandidates, v.replicaOnly} {
		for _, p := range peers {
			if p.ID == self {
				continue
			}
			if b, ok := bestByZone[p.Zone]; !ok || rendezvous.Score(p.name, key) > rendezvous.Score(b.name, key) {
				bestByZone[p.Zone] = p
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
	for _, p := range bestByZone {
		if p.ID != successor.ID {
			dst = append(dst, p)
		}
	}
	slices.SortFunc(dst, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return dst
}
