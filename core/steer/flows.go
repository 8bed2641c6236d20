package steer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
)

const (
	flowShards   = 16
	maxShardSize = 8192 // flows; more are forwarded all the same, without being watched
	flowIdle     = 15 * time.Second
	sweepPeriod  = 5 * time.Second
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
	asked    time.Time
	admitted *Admission    // of the service
	target   time.Duration // for an answer
	sequence uint32
	acked    uint32
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
	flows map[carawaycart.FlowKey]*flow
	sweep time.Time // when idle flows are looked for next
}

func newFlowTable() *flowTable {
	t := &flowTable{}
	for i := range t.shards {
		t.shards[i].flows = make(map[carawaycart.FlowKey]*flow)
	}
	return t
}

// shard returns the shard of key, locked.
func (t *flowTable) shard(key *carawaycart.FlowKey) *flowShard {
	a := key.Caller.Addr().As4()
	h := xxhash.Sum64(a[:]) + uint64(key.Caller.Port())
	s := &t.shards[h%flowShards]
	s.mu.Lock()
	return s
}

// put adds f at now, unless the shard is full of flows that are not idle.
func (s *flowShard) put(key carawaycart.FlowKey, f *flow, now time.Time) bool {
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
func (s *flowShard) remove(key carawaycart.FlowKey, f *flow) {
	delete(s.flows, key)
	f.endpoint.record.adjust(-one(f.phase == phaseOpening), -one(f.waiting), -one(f.phase == phaseOpen))
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
