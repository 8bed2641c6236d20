package flow

import (
	"sync"
	"time"

	"carawaycart"
)

const recordShards = 64

// lingerPeriod is how long the record of an ended flow answers late packets.
const lingerPeriod = 5 * time.Second

// Records holds flow records in shards; it is safe for concurrent use.
type Records struct {
	shards [recordShards]recordShard
}

type recordShard struct {
	mu      sync.Mutex
	records map[carawaycart.Fingerprint]*record
}

type record struct {
	carawaycart.FlowRecord
	seen  int64 // Unix nanoseconds of the last packet
	ended bool
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
	// The low bits of f choose the slot; the high bits are independent of them.
	return &r.shards[f>>58%recordShards]
}

// Owner returns the endpoint that owns the flow f and notes a packet at now;
// last tells that the packet ends the flow.
func (r *Records) Owner(f carawaycart.Fingerprint, now time.Time, last bool) (carawaycart.EndpointID, bool) {
	s := r.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records[f]
	if !ok {
		return "", false
	}
	rec.seen = now.UnixNano()
	rec.ended = rec.ended || last
	return rec.Endpoint, true
}

// Open returns the endpoint that owns the flow f if it has not ended, and
// otherwise forgets the flow.
func (r *Records) Open(f carawaycart.Fingerprint, now time.Time) (carawaycart.EndpointID, bool) {
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
	rec.seen = now.UnixNano()
	return rec.Endpoint, true
}

// Forget drops the record of flow f.
func (r *Records) Forget(f carawaycart.Fingerprint) {
	s := r.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, f)
}

// Put takes in a record seen at now. Where one is held for the flow, the one of
// the higher revision wins, and of one revision the earlier.
func (r *Records) Put(f carawaycart.FlowRecord, now time.Time) {
	s := r.shard(f.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[f.Fingerprint]; ok && !old.ended && !supersedes(f, old.FlowRecord) {
		old.seen = now.UnixNano()
		return
	}
	s.records[f.Fingerprint] = &record{FlowRecord: f, seen: now.UnixNano()}
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

// Retention tells how long a record is held; the zero value drops it at once.
type Retention struct {
	Idle  time.Duration // silence after which the flow counts as ended
	Since time.Time     // silence before this does not count
	Hold  bool          // hold until told that the flow ended
}

// Expire forgets the flows that ended or were silent for too long at now,
// appends to dst the records that it forgets, and returns it.
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
		return now.UnixNano()-r.seen >= int64(lingerPeriod)
	}
	seen := max(r.seen, t.Since.UnixNano())
	return !t.Hold && now.UnixNano()-seen >= int64(t.Idle)
}

// Append appends to dst the records of flows that have not ended and that keep
// accepts, and returns it.
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

// Get returns the record of flow f.
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
