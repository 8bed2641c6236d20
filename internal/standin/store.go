package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"carawaycart"
	"carawaycart/io/platform"
)

const (
	storePrefix     = "/v1/kv/"
	writesPerSecond = 400              // rate limit and burst size of writes
	readsPerSecond  = 2000             // rate limit and burst size of reads
	defaultWait     = 30 * time.Second // wait limit of a blocking read without a valid wait parameter
)

// Store emulates the platform's key-value service. Outages, delays, lost responses
// and restores from a copy can be injected.
type Store struct {
	mu          sync.Mutex
	entries     map[string]carawaycart.StoreEntry
	index       carawaycart.StoreIndex // index of the latest write
	restores    int                    // number of calls of Restore
	changed     chan struct{}          // closed and replaced on every write, restore or change of down
	down        bool
	delay       time.Duration
	dropAnswers int // number of next writes that are applied without a response

	calls         int64 // total number of calls
	currentSecond int64 // Unix time of the latest call, in seconds
	callsInSecond int64 // calls in currentSecond
	peakPerSecond int64 // highest number of calls in an earlier second

	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	server       *http.Server
	url          string
}

// StoreCopy is a copy of the contents of a Store at one time.
type StoreCopy struct {
	entries map[string]carawaycart.StoreEntry
	index   carawaycart.StoreIndex
}

// NewStore starts an empty store that listens on address, a host:port whose port
// may be 0.
func NewStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for store")
	}
	s := &Store{
		entries:      make(map[string]carawaycart.StoreEntry),
		changed:      make(chan struct{}),
		writeLimiter: rate.NewLimiter(writesPerSecond, writesPerSecond),
		readLimiter:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		url:          "http://" + listener.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storePrefix, s.handleGet)
	mux.HandleFunc("PUT "+storePrefix, s.handlePut)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the base URL of the store.
func (s *Store) URL() string { return s.url }

// Close stops the HTTP server of the store.
func (s *Store) Close() { _ = s.server.Close() }

// SetDown starts or ends an outage. Blocking reads fail when an outage starts.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyLocked()
}

// Copy returns a copy of the contents of s.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{entries: maps.Clone(s.entries), index: s.index}
}

// Restore replaces the contents of s by c, which may be used again. Later writes are
// lost, and their indexes are assigned again. Blocking reads fail.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.index = maps.Clone(c.entries), c.index
	s.restores++
	s.notifyLocked()
}

// SetDelay delays every call by d.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// DropAnswers applies the next n writes but aborts their connections before a
// response is sent.
func (s *Store) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAnswers = n
}

// Calls returns the total number of calls and the highest number in a calendar
// second.
func (s *Store) Calls() (total, peakPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, max(s.peakPerSecond, s.callsInSecond)
}

// notifyLocked wakes all blocking reads. s.mu must be held.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts and delays a call and reports whether to serve it. It writes an
// error response during an outage or above the rate limit.
func (s *Store) admit(w http.ResponseWriter, limiter *rate.Limiter) bool {
	s.mu.Lock()
	s.calls++
	if now := time.Now().Unix(); now != s.currentSecond {
		s.peakPerSecond = max(s.peakPerSecond, s.callsInSecond)
		s.currentSecond, s.callsInSecond = now, 0
	}
	s.callsInSecond++
	down, delay := s.down, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch {
	case down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	case !limiter.Allow():
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

// handleGet serves the entry of a key, for a blocking read once its index exceeds the
// given one, or all entries with the key as prefix if recurse is set.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.readLimiter) {
		return
	}
	key := strings.TrimPrefix(r.URL.Path, storePrefix)
	if r.FormValue("recurse") != "" {
		s.writeEntries(w, key)
		return
	}
	if text := r.FormValue("index"); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "index", http.StatusBadRequest)
			return
		}
		if !s.awaitChange(r, key, carawaycart.StoreIndex(index)) {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
	}
	s.mu.Lock()
	e, ok := s.entries[key]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, e)
}

// awaitChange blocks until the index of key exceeds index, the wait limit of r
// passes or r is cancelled. It returns false if the store is down or is restored.
func (s *Store) awaitChange(r *http.Request, key string, index carawaycart.StoreIndex) bool {
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		wait = defaultWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	first := s.restores
	s.mu.Unlock()
	for {
		s.mu.Lock()
		down, changed, current := s.down || s.restores != first, s.changed, s.entries[key].Index
		s.mu.Unlock()
		if down {
			return false
		}
		if current > index {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return true
		}
	}
}

// writeEntries writes all entries whose keys start with prefix, sorted by key.
func (s *Store) writeEntries(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	found := []carawaycart.StoreEntry{}
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			found = append(found, e)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	writeJSON(w, found)
}

// handlePut stores a value if the index given as cas is current. It responds true if
// the value was stored and false if the index is not current.
func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.writeLimiter) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	index, err := strconv.ParseUint(r.FormValue("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas", http.StatusBadRequest)
		return
	}
	swapped, dropAnswer := s.compareAndSwap(strings.TrimPrefix(r.URL.Path, storePrefix), value, carawaycart.StoreIndex(index))
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, swapped)
}

// compareAndSwap stores value under key if the entry's current index equals
// index; an absent entry has index 0. It reports whether it stored the value and
// whether the response is to be dropped.
func (s *Store) compareAndSwap(key string, value []byte, index carawaycart.StoreIndex) (swapped, dropAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Index != index {
		return false, false
	}
	s.index++
	s.entries[key] = carawaycart.StoreEntry{Key: key, Value: value, Index: s.index}
	s.notifyLocked()
	if s.dropAnswers > 0 {
		s.dropAnswers--
		return true, true
	}
	return true, false
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
