package standin

import (
	"encoding/json"
	"io"
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
	writesPerSecond = 400
	readsPerSecond  = 2000
	defaultWait     = 30 * time.Second
)

// Store is a stand-in for the platform's key-value service. Its outages,
// slowness and lost answers can be switched.
type Store struct {
	mu       sync.Mutex
	entries  map[string]carawaycart.StoreEntry
	index    carawaycart.StoreIndex
	changed  chan struct{} // closed and replaced at each write
	down     bool
	delay    time.Duration
	loseNext int // writes that take effect but whose answers are lost

	calls    int64
	second   int64
	inSecond int64
	peak     int64

	writes *rate.Limiter
	reads  *rate.Limiter
	server *http.Server
	url    string
}

// NewStore returns a running store that listens on a free port of address, an
// IP number.
func NewStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for store")
	}
	s := &Store{
		entries: make(map[string]carawaycart.StoreEntry),
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:   rate.NewLimiter(readsPerSecond, readsPerSecond),
		url:     "http://" + listener.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storePrefix, s.get)
	mux.HandleFunc("PUT "+storePrefix, s.put)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the address of the store.
func (s *Store) URL() string { return s.url }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// SetDown starts or ends an outage; waiting calls fail when one starts.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeLocked()
}

// SetDelay makes every call take at least d.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers loses the answers to the next n writes, which take effect.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// Calls returns the number of calls and the most in one second.
func (s *Store) Calls() (total, peak int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, max(s.peak, s.inSecond)
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter counts a call, delays it, and reports whether it may go on.
func (s *Store) enter(w http.ResponseWriter, limiter *rate.Limiter) bool {
	s.mu.Lock()
	s.calls++
	if now := time.Now().Unix(); now != s.second {
		s.peak = max(s.peak, s.inSecond)
		s.second, s.inSecond = now, 0
	}
	s.inSecond++
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

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, s.reads) {
		return
	}
	key := strings.TrimPrefix(r.URL.Path, storePrefix)
	if r.FormValue("recurse") != "" {
		s.list(w, key)
		return
	}
	if text := r.FormValue("index"); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "index", http.StatusBadRequest)
			return
		}
		if !s.wait(r, key, carawaycart.StoreIndex(index)) {
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

// wait waits until key's index exceeds index and reports whether the store
// stayed up.
func (s *Store) wait(r *http.Request, key string, index carawaycart.StoreIndex) bool {
	limit, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		limit = defaultWait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		s.mu.Lock()
		down, changed, held := s.down, s.changed, s.entries[key].Index
		s.mu.Unlock()
		if down {
			return false
		}
		if held > index {
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

func (s *Store) list(w http.ResponseWriter, prefix string) {
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

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, s.writes) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	index, err := strconv.ParseUint(r.FormValue("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas", http.StatusBadRequest)
		return
	}
	swapped, lost := s.swap(strings.TrimPrefix(r.URL.Path, storePrefix), value, carawaycart.StoreIndex(index))
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, swapped)
}

func (s *Store) swap(key string, value []byte, index carawaycart.StoreIndex) (swapped, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Index != index {
		return false, false
	}
	s.index++
	s.entries[key] = carawaycart.StoreEntry{Key: key, Value: value, Index: s.index}
	s.wakeLocked()
	if s.loseNext > 0 {
		s.loseNext--
		return true, true
	}
	return true, false
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
