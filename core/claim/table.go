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

// Verdict is the keeper's answer to an attempt.
type Verdict uint8

// The verdicts on an attempt.
const (
	Refused   Verdict = iota // certainly not run; the keeper cannot take the claim now
	Run                      // the attempt may go on
	Known                    // an earlier attempt exists and is returned
	Misused                  // the key belongs to another request
	Uncertain                // an earlier attempt may have been lost
)

// Table holds the claims of one instance in shards; it is safe for concurrent
// use.
type Table struct {
	shards [shards]shard

	mu   sync.Mutex
	gaps []gap
}

type shard struct {
	mu     sync.Mutex
	claims map[carawaycart.IdempotencyKey]carawaycart.Claim
}

// gap is a loss of instances so quick that claims may have gone with them.
type gap struct {
	before *member.View
	lost   map[carawaycart.InstanceID]struct{}
	until  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].claims = make(map[carawaycart.IdempotencyKey]carawaycart.Claim)
	}
	return t
}

// Key returns the rendezvous key of an idempotency key.
func Key(k carawaycart.IdempotencyKey) rendezvous.Key { return rendezvous.NewKey(string(k)) }

func (t *Table) shard(k carawaycart.IdempotencyKey) *shard {
	return &t.shards[xxhash.Sum64String(string(k))%shards]
}

// Begin takes in the attempt c at its keeper at now. With Run the claim is held
// as pending; with Known the claim held is returned. An attempt that was given up
// is refused for ever.
func (t *Table) Begin(c carawaycart.Claim, now time.Time) (Verdict, carawaycart.Claim) {
	s := t.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.claims[c.Key]
	if ok && now.Before(old.Deadline) {
		if old.Digest != c.Digest || old.Service != c.Service {
			return Misused, carawaycart.Claim{}
		}
		if old.Attempt == c.Attempt && old.State == carawaycart.ClaimPending {
			return Run, old
		}
		if old.State != carawaycart.ClaimNotRun {
			return Known, old
		}
		if old.Attempt == c.Attempt {
			// Replicas may yet be told that this attempt is not run.
			return Refused, carawaycart.Claim{}
		}
	} else if t.uncertain(c.Key, now) {
		return Uncertain, carawaycart.Claim{}
	}
	c.State = carawaycart.ClaimPending
	s.claims[c.Key] = c
	return Run, c
}

// Merge takes in a claim from another instance at now. It returns the claim
// held and true if that one belongs to another attempt and stands in the way.
func (t *Table) Merge(c carawaycart.Claim, now time.Time) (carawaycart.Claim, bool) {
	s := t.shard(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.claims[c.Key]
	if !ok || !now.Before(old.Deadline) || old.State == carawaycart.ClaimNotRun {
		s.claims[c.Key] = c
		return carawaycart.Claim{}, false
	}
	if old.Attempt == c.Attempt {
		if precedence(c.State) > precedence(old.State) {
			s.claims[c.Key] = c
		}
		return carawaycart.Claim{}, false
	}
	if c.State == carawaycart.ClaimNotRun {
		return carawaycart.Claim{}, false
	}
	return old, true
}

// precedence orders the states of one attempt by how much they tell.
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

// Get returns the claim held for k at now.
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

// Append appends to dst the claims that keep accepts and returns it.
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

// Abandon turns the pending attempts of instances for which gone is true into
// unknown ones: such an instance may have sent its request before it failed.
func (t *Table) Abandon(gone func(carawaycart.InstanceID) bool) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, c := range s.claims {
			if c.State == carawaycart.ClaimPending && gone(c.Entry) {
				c.State = carawaycart.ClaimUnknown
				s.claims[k] = c
			}
		}
		s.mu.Unlock()
	}
}

// Expire forgets the claims and gaps whose deadline has passed at now.
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
	kept := t.gaps[:0]
	for _, g := range t.gaps {
		if now.Before(g.until) {
			kept = append(kept, g)
		}
	}
	t.gaps = kept
}

// Len returns the number of claims.
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

// NoteLoss notes that the instances lost went out of view before together; the
// keys that they alone held are uncertain until the deadline.
func (t *Table) NoteLoss(before *member.View, lost []carawaycart.InstanceID, until time.Time) {
	g := gap{before: before, lost: make(map[carawaycart.InstanceID]struct{}, len(lost)), until: until}
	for _, id := range lost {
		g.lost[id] = struct{}{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gaps = append(t.gaps, g)
}

func (t *Table) uncertain(k carawaycart.IdempotencyKey, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.gaps {
		if now.Before(g.until) && g.covers(k) {
			return true
		}
	}
	return false
}

func (g *gap) covers(k carawaycart.IdempotencyKey) bool {
	h := g.before.Holders(Key(k))
	if _, ok := g.lost[h.Keeper]; !ok {
		return false
	}
	for _, id := range h.Replicas[:h.Count] {
		if _, ok := g.lost[id]; !ok {
			return false
		}
	}
	return true
}
