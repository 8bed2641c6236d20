package flow

import (
	"sync"
	"time"

	"carawaycart"
)

const recordShardCount = 64

// endedRetention is how long the record of an ended flow is retained to forward
// late packets.
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
	lastSeen int64 // time of the last packet in Unix nanoseconds
	ended    bool
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
	// The low bits of f select the slot, so the shard is selected by the high bits.
	return &r.shards[f>>58%recordShardCount]
}

// OwnerForPacket returns the endpoint that owns flow f and records that a packet
// of the flow was seen at now. Last marks the packet that ends the flow. It
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
// record. It returns false if there is no record of an open flow.
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

// Forget deletes the record of flow f.
func (r *Records) Forget(f carawaycart.Fingerprint) {
	s := r.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, f)
}

// Put merges record f, seen at now. A record that exists for the same open flow
// is replaced if f has a higher revision, or the same revision and an earlier
// opening time.
func (r *Records) Put(f carawaycart.FlowRecord, now time.Time) {
	s := r.shard(f.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[f.Fingerprint]; ok && !old.ended && !supersedes(f, old.FlowRecord) {
		old.lastSeen = now.UnixNano()
		return
	}
	s.records[f.Fingerprint] = &record{FlowRecord: f, lastSeen: now.UnixNano()}
}

func supersedes(a, b carawaycart.FlowRecord) bool {
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.OpenedUnix < b.OpenedUnix
}

// Len returns the number of records.
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
// record immediately.
type Retention struct {
	Idle  time.Duration // idle timeout, after which the flow counts as ended
	Since time.Time     // earliest start of the idle time
	Hold  bool          // disables the idle timeout
}

// Expire deletes the records whose retention is over at now, appends them to dst
// and returns the extended slice. Retention is called for each record with its
// shard locked.
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

func (r *record) expired(now time.Time, t Retention) bool {
	if t == (Retention{}) {
		return true
	}
	if r.ended {
		return now.UnixNano()-r.lastSeen >= int64(endedRetention)
	}
	lastSeen := max(r.lastSeen, t.Since.UnixNano())
	return !t.Hold && now.UnixNano()-lastSeen >= int64(t.Idle)
}

// Append appends to dst the records of open flows for which keep is true, and
// returns the extended slice.
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
