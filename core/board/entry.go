package board

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
	"carawaycart/core/limit"
	"carawaycart/core/member"
	"carawaycart/internal/rendezvous"
)

// Entry is the instance's state of one endpoint; it is safe for concurrent use.
type Entry struct {
	ID  carawaycart.EndpointID
	key rendezvous.Key

	endpoint    atomic.Pointer[carawaycart.Endpoint]
	guarded     atomic.Bool
	holders     atomic.Pointer[cachedHolders]
	limiter     atomic.Pointer[limit.Limiter]
	keeperSince atomic.Int64 // Unix nanoseconds when the instance last began to act as keeper; zero if never

	mu     sync.Mutex
	status carawaycart.EndpointStatus
	digest *atomic.Uint64 // sum of the hashes of the statuses of all entries, shared by the board
}

// cachedHolders caches the holders of an endpoint in one view.
type cachedHolders struct {
	view    *member.View
	holders member.Holders
}

// newEntry returns the entry of endpoint id, whose status hash is part of digest.
func newEntry(id carawaycart.EndpointID, digest *atomic.Uint64) *Entry {
	e := &Entry{ID: id, key: rendezvous.NewKey(string(id)), digest: digest}
	e.status.Endpoint = id
	return e
}

// Endpoint returns the endpoint as last configured, even if it was removed since,
// or nil if it was never configured.
func (e *Entry) Endpoint() *carawaycart.Endpoint { return e.endpoint.Load() }

// Guarded reports whether the endpoint is guarded: packets of the slots of which it
// is the current endpoint must pass through its keeper.
func (e *Entry) Guarded() bool { return e.guarded.Load() }

// Holders returns the holders of the endpoint's state in view v; the result
// must not be modified.
func (e *Entry) Holders(v *member.View) *member.Holders {
	old := e.holders.Load()
	if old != nil && old.view == v {
		return &old.holders
	}
	if old != nil && v.HoldersUnchanged(old.view, &old.holders, e.key) {
		e.holders.Store(&cachedHolders{view: v, holders: old.holders})
		return &old.holders
	}
	c := &cachedHolders{view: v, holders: v.Holders(e.key)}
	e.holders.Store(c)
	return &c.holders
}

// Limiter returns the admission limiter of the endpoint, or nil if the instance does
// not act as its keeper.
func (e *Entry) Limiter() *limit.Limiter { return e.limiter.Load() }

// SetLimiter makes the instance act as the endpoint's keeper from now on, with
// admission limiter l.
func (e *Entry) SetLimiter(l *limit.Limiter, now time.Time) {
	e.keeperSince.Store(now.UnixNano())
	e.limiter.Store(l)
}

// ClearLimiter makes the instance stop acting as the endpoint's keeper.
func (e *Entry) ClearLimiter() { e.limiter.Store(nil) }

// KeeperSince returns when the instance last began to act as the endpoint's keeper,
// or the Unix epoch if it never did.
func (e *Entry) KeeperSince() time.Time { return time.Unix(0, e.keeperSince.Load()) }

// Status returns the latest status of the endpoint.
func (e *Entry) Status() carawaycart.EndpointStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status
}

// MergeStatus stores s and returns true if s is newer than the stored status, that
// is, has the greater version or, of equal versions, the greater keeper ID.
func (e *Entry) MergeStatus(s carawaycart.EndpointStatus) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Version < e.status.Version || s.Version == e.status.Version && s.Keeper <= e.status.Keeper {
		return false
	}
	e.setStatus(s)
	return true
}

// setStatus replaces the status and updates the digest; e.mu must be held.
func (e *Entry) setStatus(s carawaycart.EndpointStatus) {
	e.digest.Add(hashStatus(s) - hashStatus(e.status))
	e.status = s
	e.guarded.Store(s.Guarded)
}

// hashStatus returns a hash of the endpoint, keeper and version, which identify a
// status, or zero for version zero.
func hashStatus(s carawaycart.EndpointStatus) uint64 {
	if s.Version == 0 {
		return 0
	}
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:8], xxhash.Sum64String(string(s.Endpoint)))
	binary.LittleEndian.PutUint64(b[8:16], xxhash.Sum64String(string(s.Keeper)))
	binary.LittleEndian.PutUint64(b[16:24], uint64(s.Version))
	return xxhash.Sum64(b[:])
}

// UpdateStatus stores a status with the next version and returns it and true. If
// keeper, state and guarded are those of the stored status, it returns that and
// false. The first status has version 1.
func (e *Entry) UpdateStatus(keeper carawaycart.InstanceID, state carawaycart.EndpointState, guarded bool) (carawaycart.EndpointStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := carawaycart.EndpointStatus{
		Endpoint: e.ID, Keeper: keeper, Version: e.status.Version + 1, State: state, Guarded: guarded,
	}
	if e.status.Version > 0 && e.status.Keeper == keeper && e.status.State == state && e.status.Guarded == guarded {
		return e.status, false
	}
	e.setStatus(s)
	return s, true
}

// Score returns the endpoint's rendezvous score for key k.
func (e *Entry) Score(k rendezvous.Key) uint64 { return rendezvous.Score(rendezvous.Name(e.key), k) }
