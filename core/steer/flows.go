package steer

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"carawaycart"
)

const (
	flowShardBits = 4                  // binary logarithm of flowShards
	flowShards    = 1 << flowShardBits // number of shards of a flowTable
	// maxShardFlows limits the flows that a shard tracks. Flows beyond it are
	// forwarded without a record.
	maxShardFlows   = 8192
	flowIdleTimeout = 15 * time.Second // time without packets after which the record of a flow may be removed
	sweepPeriod     = 5 * time.Second  // minimum time between removals of idle flows, unless the shard is full
)

// flow is the record that an instance keeps of one flow. It is not needed to forward
// packets, only to decide on new flows.
type flow struct {
	endpoint *endpoint
	// tried holds the endpoints that the first packet was sent to before endpoint,
	// since the caller last sent it.
	tried    []*endpoint
	openedAt time.Time // when the record was created; if detached, a time when the flow was open
	sentAt   time.Time // when the first packet was sent to endpoint; zero if another instance sent it
	lastSeen time.Time // when the instance last received a packet of the flow
	phase    phase
	detached bool // whether the record was made while the table had no route for the flow
	openSeen bool // whether this instance knows the flow to be open at endpoint, as it has seen the end of the handshake
	shared   bool // whether another instance may have received the first packet too
	// contested tells whether several endpoints may have received the first packet through this
	// instance.
	contested bool
	told      bool // whether only a peer has seen the flow open, which is then not counted
	waiting   bool // whether a request is unanswered
	answered  bool // whether a request was answered
	// abandoned tells whether the unanswered request counts as abandoned by the caller.
	// The flow then counts neither as waiting nor as open.
	abandoned   bool
	overdue     bool      // whether the unanswered request has reached its answer timeout, and was not abandoned
	slow        bool      // whether the unanswered request was recorded as slow
	requestedAt time.Time // when the unanswered request was sent

	objective    *objective // nil if it is unknown which target of the route the flow has
	sequence     uint32     // highest sequence number from the caller
	acknowledged uint32     // highest acknowledgement number from the caller
}

// maxNumberDistance is the distance of two sequence or acknowledgement numbers up to which they
// are taken to be of the same flow. Flows begin with random numbers.
const maxNumberDistance = 1 << 20

// isOwn reports whether p is a packet of f by its numbers, whatever its token, and f is open
// at its endpoint for certain.
func (f *flow) isOwn(p *carawaycart.Packet) bool {
	return f.openSeen && f.hasNumbersNear(p)
}

// hasNumbersNear reports whether the numbers in p are near those of f. Otherwise p is of
// another flow with the same addresses.
func (f *flow) hasNumbersNear(p *carawaycart.Packet) bool {
	return areNear(p.Sequence, f.sequence) && areNear(p.Acknowledged, f.acknowledged)
}

// areNear reports whether the sequence or acknowledgement numbers a and b may be of the same
// flow.
func areNear(a, b uint32) bool { return a-b+maxNumberDistance <= 2*maxNumberDistance }

// isHandshake reports whether p, which is not the first packet of f, only acknowledges the
// answer to that. Its token is that of the endpoint which gave the answer.
func (f *flow) isHandshake(p *carawaycart.Packet) bool {
	return p.Kind != carawaycart.PacketLast && p.PayloadBytes == 0 && p.Sequence == f.sequence+1
}

// maxResendInterval is the longest time between two transmissions of the same data.
const maxResendInterval = 1600 * time.Millisecond

// waitsHere reports whether a request of f is unanswered at now as far as this instance knows.
// A flow without packets for longer than its caller waits to resend may have moved to another
// instance and been answered there.
func (f *flow) waitsHere(now time.Time) bool {
	return f.waiting && !f.abandoned && now.Sub(f.lastSeen) <= maxResendInterval
}

// clearOverdue records that the unanswered request of f is not overdue any more.
func (f *flow) clearOverdue() {
	if f.overdue {
		f.overdue = false
		f.endpoint.state.adjustOverdue(-1)
	}
}

// phase is the state of a flow with respect to its first packet.
type phase uint8

const (
	phaseOpening    phase = iota // the first packet may still be answered
	phaseUnanswered              // no endpoint answered the first packet in time; no other is tried
	phaseOpen                    // the caller has acknowledged the endpoint's answer
)

// flowTable holds the records of the flows that an instance tracks, in shards by
// caller address.
type flowTable struct {
	shards [flowShards]flowShard
}

type flowShard struct {
	mu        sync.Mutex
	flows     map[flowID]*flow
	nextSweep time.Time // earliest time of the next removal of idle flows
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i].flows = make(map[flowID]*flow)
	}
	return t
}

// flowID is a FlowKey in a form that hashes quickly. It covers IPv4 only, as do the
// formats that carry tokens.
type flowID struct{ caller, service packedAddress }

// packedAddress is an IPv4 address and port.
type packedAddress uint64

// pack returns a in packed form. It panics if a is not an IPv4 address.
func pack(a netip.AddrPort) packedAddress {
	ip := a.Addr().As4()
	return packedAddress(binary.BigEndian.Uint32(ip[:]))<<16 | packedAddress(a.Port())
}

// unpack returns the address that a was packed from.
func (a packedAddress) unpack() netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(a>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(a))
}

// key returns the key that id was made from.
func (id flowID) key() carawaycart.FlowKey {
	return carawaycart.FlowKey{Caller: id.caller.unpack(), Service: id.service.unpack(), Protocol: carawaycart.TCP}
}

func newFlowID(k *carawaycart.FlowKey) flowID { return flowID{pack(k.Caller), pack(k.Service)} }

// lockShard locks and returns the shard of id.
func (t *flowTable) lockShard(id flowID) *flowShard {
	// 2^64 divided by the golden ratio, as in Knuth, "The Art of Computer Programming", 6.4.
	const multiplier = 0x9e3779b97f4a7c15
	s := &t.shards[uint64(id.caller)*multiplier>>(64-flowShardBits)]
	s.mu.Lock()
	return s
}

// insert adds f at now. It returns false, without adding f, if the shard holds
// maxShardFlows that are not idle. It first removes idle flows, at most once every
// sweepPeriod unless the shard is full. s.mu must be held.
func (s *flowShard) insert(id flowID, f *flow, now time.Time) bool {
	if !now.Before(s.nextSweep) || len(s.flows) >= maxShardFlows {
		s.nextSweep = now.Add(sweepPeriod)
		for k, old := range s.flows {
			if now.Sub(old.lastSeen) > flowIdleTimeout {
				s.remove(k, old)
			}
		}
	}
	if len(s.flows) >= maxShardFlows {
		return false
	}
	s.flows[id] = f
	return true
}

// remove deletes f and subtracts it from the counts of its endpoint. s.mu must
// be held.
func (s *flowShard) remove(id flowID, f *flow) {
	delete(s.flows, id)
	f.clearOverdue()
	f.endpoint.state.adjustCounts(-boolToInt(f.phase == phaseOpening), -boolToInt(f.waiting && !f.abandoned), -boolToInt(f.phase == phaseOpen && !f.abandoned && !f.told))
}

// forEachShard calls f with each shard, which is locked during the call.
func (t *flowTable) forEachShard(f func(*flowShard)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		f(s)
		s.mu.Unlock()
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
