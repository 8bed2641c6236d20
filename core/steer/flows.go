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
	maxShardSize  = 8192 // flows; more are forwarded all the same, without being watched
	flowIdle      = 15 * time.Second
	sweepPeriod   = 5 * time.Second
)

// flow is what an instance has seen of one flow. It serves placement only.
type flow struct {
	endpoint *endpoint
	tried    []*endpoint // which the first packet was sent to before
	opened   time.Time
	sent     time.Time // when the first packet was sent to endpoint
	last     time.Time
	phase    phase
	waiting  bool // a request was sent and not answered
	overdue  bool // waiting for longer than usual; counts neither as outstanding nor as open
	slow     bool // noted as slow, while waiting
	asked    time.Time

	objective *objective // nil if it is not known which target the flow went to
	sequence  uint32
	acked     uint32
}

// phase is how far a flow has come.
type phase uint8

const (
	phaseOpening phase = iota // the first packet may still be answered
	phaseSilent               // the first packet was not answered in time by anyone
	phaseOpen                 // the caller has acknowledged the endpoint's answer
)

// flowTable holds the flows that an instance watches, in shards.
type flowTable struct {
	shards [flowShards]flowShard
}

type flowShard struct {
	mu    sync.Mutex
	flows map[flowID]*flow
	sweep time.Time // when idle flows are looked for next
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i].flows = make(map[flowID]*flow)
	}
	return t
}

// flowID is a FlowKey in a form that is quick to hash; tokens are carried by
// IPv4 formats only.
type flowID struct{ caller, service packedAddress }

// packedAddress is an IPv4 address and port.
type packedAddress uint64

func pack(a netip.AddrPort) packedAddress {
	ip := a.Addr().As4()
	return packedAddress(binary.BigEndian.Uint32(ip[:]))<<16 | packedAddress(a.Port())
}

func newFlowID(k *carawaycart.FlowKey) flowID { return flowID{pack(k.Caller), pack(k.Service)} }

// shard returns the shard of id, locked.
func (t *flowTable) shard(id flowID) *flowShard {
	const mix = 0x9e3779b97f4a7c15 // 2^64 by the golden ratio, as in Knuth, "The Art of Computer Programming", 6.4
	s := &t.shards[uint64(id.caller)*mix>>(64-flowShardBits)]
	s.mu.Lock()
	return s
}

// put adds f at now, unless the shard is full of flows that are not idle.
func (s *flowShard) put(key flowID, f *flow, now time.Time) bool {
	if !now.Before(s.sweep) || len(s.flows) >= maxShardSize {
		s.sweep = now.Add(sweepPeriod)
		for k, old := range s.flows {
			if now.Sub(old.last) > flowIdle {
				s.remove(k, old)
			}
		}
	}
	if len(s.flows) >= maxShardSize {
		return false
	}
	s.flows[key] = f
	return true
}

// remove forgets f and what it counted for.
func (s *flowShard) remove(key flowID, f *flow) {
	delete(s.flows, key)
	f.endpoint.record.adjust(-one(f.phase == phaseOpening), -one(f.waiting && !f.overdue), -one(f.phase == phaseOpen && !f.overdue))
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
