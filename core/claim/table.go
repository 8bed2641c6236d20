package claim

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
	"carawaycart/core/member"
	"carawaycart/internal/rendezvous"
)

const shards = 32

// Verdict is the keeper's answer to an attempt at a keyed request.
type Verdict uint8

// The verdicts on an attempt.
const (
	Refused   Verdict = iota // the attempt must not be run; another one may be
	Run                      // the attempt may be run; its claim is recorded
	Known                    // the claim of an earlier attempt exists and is returned
	Misused                  // the key was used for a different request
	Uncertain                // the claim of an earlier attempt may have been lost
)

// Table is the sharded map of the claims of one instance by idempotency key. It is
// safe for concurrent use.
type Table struct {
	shards [shards]shard

	mu     sync.Mutex
	losses []loss
}

type shard struct {
	mu     sync.Mutex
	claims map[carawaycart.IdempotencyKey]carawaycart.Claim
}

// loss is the failure of several instances before their claims were replicated
// again. Claims of which all holders are among these instances are lost.
type loss struct {
	before *member.View // members before the failure
	lost   map[carawaycart.InstanceID]struct{}
	until  time.Time // time at which all lost claims have expired
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].claims = make(map[carawaycart.IdempotencyKey]carawaycart.Claim)
	}
	return t
}

// Key returns the rendezvous key of idempotency key k, which selects the holders
// of its claim.
func Key(k carawaycart.IdempotencyKey) rendezvous.Key { return rendezvous.NewKey(string(k)) }

func (t *Table) shard(k carawaycart.IdempotencyKey) *shard {
	return &t.shards[xxhash.Sum64String(string(k))%shards]
}

// Begin records attempt c at the keeper of its key at now. With Run, the claim is
// stored as pending and returned; a retried call for a pending attempt returns Run
// again. With Known, the stored claim of an earlier attempt is returned. With any
// other verdict nothing is stored and the zero claim is returned. An attempt whose
// stored claim is not run is refused until its deadline.
func (t *Table) Begin(c carawaycart.Claim, now time.Time) (Verdict, carawaycart.Claim) {
	s := t.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.claims[c.Key]
	if ok && now.Before(held.Deadline) {
		if held.Digest != c.Digest || held.Service != c.Service {
			return Misused, carawaycart.Claim{}
		}
		if held.Attempt == c.Attempt && held.State == carawaycart.ClaimPending {
			return Run, held
		}
		if held.State != carawaycart.ClaimNotRun {
			return Known, held
		}
		if held.Attempt == c.Attempt {
			// Replicas may still receive the update that this attempt is not run, which
			// would replace the claim of a retried run.
			return Refused, carawaycart.Claim{}
		}
	} else if t.uncertain(c.Key, now) {
		return Uncertain, carawaycart.Claim{}
	}
	c.State = carawaycart.ClaimPending
	s.claims[c.Key] = c
	return Run, c
}

// Merge merges claim c from another instance at now. Claims of two attempts
// conflict unless the stored one has expired or either is not run. If the stored
// claim conflicts with c, Merge leaves it in place and returns it and true.
// Otherwise it returns the zero claim and false.
func (t *Table) Merge(c carawaycart.Claim, now time.Time) (carawaycart.Claim, bool) {
	s := t.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.claims[c.Key]
	if !ok || !now.Before(held.Deadline) || held.State == carawaycart.ClaimNotRun {
		s.claims[c.Key] = c
		return carawaycart.Claim{}, false
	}
	if held.Attempt == c.Attempt {
		if precedence(c.State) > precedence(held.State) {
			s.claims[c.Key] = c
		}
		return carawaycart.Claim{}, false
	}
	if c.State == carawaycart.ClaimNotRun {
		return carawaycart.Claim{}, false
	}
	return held, true
}

// precedence returns the rank of a state among those of one attempt; answered has
// the highest. Merge replaces a state only by one of higher rank, which says more
// about the outcome.
func precedence(s carawaycart.ClaimState) int {
	switch s {
	case carawaycart.ClaimPending:
		return 0
	case carawaycart.ClaimUnknown:
		return 1
	case carawaycart.ClaimNotRun:
		return 2
	}
	return 3
}

// Get returns the claim stored for k. It returns false if there is none or if it
// has expired at now.
func (t *Table) Get(k carawaycart.IdempotencyKey, now time.Time) (carawaycart.Claim, bool) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.claims[k]
	if !ok || !now.Before(c.Deadline) {
		return carawaycart.Claim{}, false
	}
	return c, true
}

// Append appends to dst the claims for which keep returns true, and returns the
// extended slice. It includes expired claims that Expire has not deleted yet. It
// calls keep with the lock of a shard held, so keep must not call methods of t.
func (t *Table) Append(dst []carawaycart.Claim, keep func(*carawaycart.Claim) bool) []carawaycart.Claim {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, c := range s.claims {
			if keep(&c) {
				dst = append(dst, c)
			}
		}
		s.mu.Unlock()
	}
	return dst
}

// MarkPendingUnknown sets the state of the pending claims of entry instances for
// which failed returns true to unknown, because such an instance may have sent the
// request to an endpoint before it failed.
func (t *Table) MarkPendingUnknown(failed func(carawaycart.InstanceID) bool) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, c := range s.claims {
			if c.State == carawaycart.ClaimPending && failed(c.EntryInstance) {
				c.State = carawaycart.ClaimUnknown
				s.claims[k] = c
			}
		}
		s.mu.Unlock()
	}
}

// Expire deletes the claims and recorded losses whose deadline has passed at now.
func (t *Table) Expire(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, c := range s.claims {
			if !now.Before(c.Deadline) {
				delete(s.claims, k)
			}
		}
		s.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := t.losses[:0]
	for _, l := range t.losses {
		if now.Before(l.until) {
			remaining = append(remaining, l)
		}
	}
	t.losses = remaining
}

// Len returns the number of claims, including expired ones that Expire has not
// deleted yet.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.claims)
		s.mu.Unlock()
	}
	return n
}

// RecordLoss records that the lost instances, members of the view before, failed
// before their claims could be replicated again. Until the given time, Begin
// returns Uncertain for a key of which all holders were lost, unless it finds a
// claim that has not expired.
func (t *Table) RecordLoss(before *member.View, lost []carawaycart.InstanceID, until time.Time) {
	l := loss{before: before, lost: make(map[carawaycart.InstanceID]struct{}, len(lost)), until: until}
	for _, id := range lost {
		l.lost[id] = struct{}{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses = append(t.losses, l)
}

// uncertain reports whether a claim of key k may have been lost and not expired yet
// at now.
func (t *Table) uncertain(k carawaycart.IdempotencyKey, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.losses {
		if now.Before(l.until) && l.covers(k) {
			return true
		}
	}
	return false
}

// covers reports whether all holders of key k were lost.
func (l *loss) covers(k carawaycart.IdempotencyKey) bool {
	h := l.before.Holders(Key(k))
	if _, ok := l.lost[h.Keeper]; !ok {
		return false
	}
	for _, id := range h.Replicas[:h.ReplicaCount] {
		if _, ok := l.lost[id]; !ok {
			return false
		}
	}
	return true
}
