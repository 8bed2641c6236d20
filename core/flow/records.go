package flow

import (
	"sync"
	"time"

	"carawaycart"
)

const recordShardCount = 64

// endedRetention is how long the record of an ended flow is retained after its last
// packet, to forward late packets.
const endedRetention = 5 * time.Second

// Records is a sharded map of flow records by fingerprint. It is safe for
// concurrent use.
type Records struct {
	shards [recordShardCount]recordShard
}

type recordShard struct {
	mu      sync.Mutex
	records map[carawaycart.Fingerprint]*record
}

type record struct {
	carawaycart.FlowRecord
	lastSeen int64 // time of the last packet or merge in Unix nanoseconds
	ended    bool  // the packet that ends the flow was seen
}

// NewRecords returns an empty Records.
func NewRecords() *Records {
	r := &Records{}
	for i := range r.shards {
		r.shards[i].records = make(map[carawaycart.Fingerprint]*record)
	}
	return r
}

func (r *Records) shard(f carawaycart.Fingerprint) *recordShard {
	// The low bits of f select the slot, so the six high bits select the shard.
	return &r.shards[f>>58%recordShardCount]
}

// OwnerForPacket returns the endpoint that owns flow f and records that a packet
// of the flow was seen at now. If last is true, the packet ends the flow. It
// returns false if there is no record.
func (r *Records) OwnerForPacket(f carawaycart.Fingerprint, now time.Time, last bool) (carawaycart.EndpointID, bool) {
	s := r.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[f]
	if !ok {
		return "", false
	}
	rec.lastSeen = now.UnixNano()
	rec.ended = rec.ended || last
	return rec.Endpoint, true
}

// OwnerForFirstPacket returns the endpoint that owns flow f and records that a
// packet of the flow was seen at now. If the flow has ended, it deletes the
// record, because the packet opens a new flow. It returns false if there is no
// record of an open flow.
func (r *Records) OwnerForFirstPacket(f carawaycart.Fingerprint, now time.Time) (carawaycart.EndpointID, bool) {
	s := r.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[f]
	if !ok {
		return "", false
	}
	if rec.ended {
		delete(s.records, f)
		return "", false
	}
	rec.lastSeen = now.UnixNano()
	return rec.Endpoint, true
}

// Delete deletes the record of flow f.
func (r *Records) Delete(f carawaycart.Fingerprint) {
	s := r.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, f)
}

// Merge merges a record that was made or received at now. It replaces an existing
// record of the same flow if that flow has ended, or if the added record has a
// higher revision, or the same revision and an earlier opening time. Otherwise the
// existing record stays and only its idle time restarts at now.
func (r *Records) Merge(added carawaycart.FlowRecord, now time.Time) {
	s := r.shard(added.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[added.Fingerprint]; ok && !old.ended && !supersedes(added, old.FlowRecord) {
		old.lastSeen = now.UnixNano()
		return
	}
	s.records[added.Fingerprint] = &record{FlowRecord: added, lastSeen: now.UnixNano()}
}

// supersedes reports whether Merge replaces record b of an open flow by a. Unless two
// records were opened in the same nanosecond, the outcome does not depend on their
// order of arrival, so that instances with the same records agree on the owner.
func supersedes(a, b carawaycart.FlowRecord) bool {
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.OpenedUnixNano < b.OpenedUnixNano
}

// Len returns the number of records, including those of ended flows.
func (r *Records) Len() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		n += len(s.records)
		s.mu.Unlock()
	}
	return n
}

// Retention determines how long a record is retained. The zero value expires the
// record immediately, whether its flow is open or ended. Any other value retains
// the record of an ended flow for endedRetention.
type Retention struct {
	// IdleTimeout is the time without packets after which the record of an open flow
	// expires.
	IdleTimeout time.Duration
	// IdleSince is the earliest start of the idle time. The zero time counts from the
	// last packet.
	IdleSince time.Time
	// NoIdleTimeout disables the idle timeout of open flows.
	NoIdleTimeout bool
}

// Expire deletes the records whose retention is over at now, appends them to dst
// and returns the extended slice. It calls retention for each record with the lock
// of a shard held, so retention must not call methods of r.
func (r *Records) Expire(dst []carawaycart.FlowRecord, now time.Time, retention func(*carawaycart.FlowRecord) Retention) []carawaycart.FlowRecord {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for f, rec := range s.records {
			if rec.expired(now, retention(&rec.FlowRecord)) {
				dst = append(dst, rec.FlowRecord)
				delete(s.records, f)
			}
		}
		s.mu.Unlock()
	}
	return dst
}

// expired reports whether retention t of the record is over at now.
func (r *record) expired(now time.Time, t Retention) bool {
	if t == (Retention{}) {
		return true
	}
	if r.ended {
		return now.UnixNano()-r.lastSeen >= int64(endedRetention)
	}
	lastSeen := max(r.lastSeen, t.IdleSince.UnixNano())
	return !t.NoIdleTimeout && now.UnixNano()-lastSeen >= int64(t.IdleTimeout)
}

// Append appends to dst the records of open flows for which keep returns true, and
// returns the extended slice. It calls keep with the lock of a shard held, so keep
// must not call methods of r.
func (r *Records) Append(dst []carawaycart.FlowRecord, keep func(*carawaycart.FlowRecord) bool) []carawaycart.FlowRecord {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, rec := range s.records {
			if !rec.ended && keep(&rec.FlowRecord) {
				dst = append(dst, rec.FlowRecord)
			}
		}
		s.mu.Unlock()
	}
	return dst
}

// Get returns the record of flow f, whether the flow is open or ended. It returns
// false if there is none.
func (r *Records) Get(f carawaycart.Fingerprint) (carawaycart.FlowRecord, bool) {
	s := r.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[f]
	if !ok {
		return carawaycart.FlowRecord{}, false
	}
	return rec.FlowRecord, true
}
