package steer

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"carawaycart"
)

const (
	flowShardBits = 4
	flowShards    = 1 << flowShardBits
	// maxShardFlows bounds the tracked flows of a shard. Flows beyond it are
	// forwarded untracked.
	maxShardFlows   = 8192
	flowIdleTimeout = 15 * time.Second
	sweepPeriod     = 5 * time.Second
)

// flow is the record that an instance keeps of one flow. It is used only to place
// new flows.
type flow struct {
	endpoint    *endpoint
	tried       []*endpoint // endpoints that the first packet was sent to before
	openedAt    time.Time   // when the record was created
	sentAt      time.Time   // when the first packet was sent to endpoint
	lastSeen    time.Time   // when the last packet passed
	phase       phase
	waiting     bool      // whether a request is unanswered
	overdue     bool      // whether the unanswered request was abandoned; the flow then counts neither as outstanding nor as open
	slow        bool      // whether the unanswered request was recorded as slow
	requestedAt time.Time // when the unanswered request was sent

	objective    *objective // nil if the target of the flow is unknown
	sequence     uint32     // highest sequence number seen
	acknowledged uint32     // highest acknowledgement number seen
}

// phase is the state of a flow with respect to its first packet.
type phase uint8

const (
	phaseOpening    phase = iota // the first packet may still be answered
	phaseUnanswered              // no endpoint has answered the first packet in time
	phaseOpen                    // the caller has acknowledged the endpoint's answer
)

// flowTable holds the flows that an instance tracks, in shards by caller.
type flowTable struct {
	shards [flowShards]flowShard
}

type flowShard struct {
	mu        sync.Mutex
	flows     map[flowID]*flow
	nextSweep time.Time // when idle flows are removed next
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

func pack(a netip.AddrPort) packedAddress {
	ip := a.Addr().As4()
	return packedAddress(binary.BigEndian.Uint32(ip[:]))<<16 | packedAddress(a.Port())
}

func newFlowID(k *carawaycart.FlowKey) flowID { return flowID{pack(k.Caller), pack(k.Service)} }

// lockShard locks and returns the shard of id.
func (t *flowTable) lockShard(id flowID) *flowShard {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, as in Knuth, "The Art of Computer Programming", 6.4
	s := &t.shards[uint64(id.caller)*multiplier>>(64-flowShardBits)]
	s.mu.Lock()
	return s
}

// insert adds f at now and reports whether it did; a shard full of flows that are not
// idle takes no more. Idle flows are removed every sweepPeriod and when the shard
// is full.
func (s *flowShard) insert(key flowID, f *flow, now time.Time) bool {
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
	s.flows[key] = f
	return true
}

// remove deletes f and subtracts it from the counts of its endpoint.
func (s *flowShard) remove(key flowID, f *flow) {
	delete(s.flows, key)
	f.endpoint.state.adjustCounts(-boolToInt(f.phase == phaseOpening), -boolToInt(f.waiting && !f.overdue), -boolToInt(f.phase == phaseOpen && !f.overdue))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
