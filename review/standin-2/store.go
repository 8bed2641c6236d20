package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev"`
	Lease    uint64 `json:"lease_id"`
}

// event is a change of the store as a watch returns it.
type event struct {
	item
	Tombstone bool `json:"tombstone,omitempty"`
}

// lease is a lease with the instance that obtained it.
type lease struct {
	holder string
	ttl    time.Duration
	ends   time.Time
}

// store is a stand-in of the platform's metadata store. It has a listener for each
// instance, so that it can turn away single ones.
type store struct {
	rec *recorder

	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	history  []event
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{} // closed and replaced with each change
	refused  map[string]bool
	down     bool // whether it leaves all calls of instances unanswered
	conns    map[string]map[net.Conn]struct{}
}

func newStore(rec *recorder) *store {
	return &store{
		rec: rec, items: make(map[string]*item), leases: make(map[uint64]*lease), nextID: 77120, revision: 1,
		changed: make(chan struct{}), refused: make(map[string]bool), conns: make(map[string]map[net.Conn]struct{}),
	}
}

// refusingListener resets the connections of an instance that is turned away.
type refusingListener struct {
	net.Listener
	s        *store
	instance string
}

func (l *refusingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.s.mu.Lock()
		refused := l.s.refused[l.instance]
		if !refused {
			if l.s.conns[l.instance] == nil {
				l.s.conns[l.instance] = make(map[net.Conn]struct{})
			}
			l.s.conns[l.instance][c] = struct{}{}
		}
		l.s.mu.Unlock()
		if !refused {
			return c, nil
		}
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// listen serves the store to one instance at address.
func (s *store) listen(address, instance string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(&refusingListener{l, s, instance}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(instance, w, r) }))
	}()
	return nil
}

// refuse turns instances away with a reset of their connections. If revoke is set, the keys
// that they have written under leases are taken away at once.
func (s *store) refuse(instances []string, revoke bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range instances {
		s.refused[i] = true
		for c := range s.conns[i] {
			reset(c)
		}
		delete(s.conns, i)
	}
	if !revoke {
		return
	}
	for id, l := range s.leases {
		for _, i := range instances {
			if l.holder == i {
				s.endLease(id, "revoked")
			}
		}
	}
}

// admit serves all instances again.
func (s *store) admit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = make(map[string]bool)
}

// endLease removes a lease and its keys. s.mu must be held.
func (s *store) endLease(id uint64, why string) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rec.line("store: lease %d %s, key %s is removed", id, why, key)
			s.remove(key)
		}
	}
}

// expire ends the leases whose time has passed. s.mu must be held.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id, "expired")
		}
	}
}

// write stores an item. s.mu must be held.
func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	i := s.items[key]
	if i == nil {
		i = &item{Key: key, Created: s.revision}
	}
	n := *i
	n.Value, n.Revision, n.Lease = value, s.revision, leaseID
	s.items[key] = &n
	s.history = append(s.history, event{item: n})
	s.signal()
}

// remove deletes an item. s.mu must be held.
func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, Tombstone: true})
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item for the operator or a host.
func (s *store) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// drop deletes an item for the operator or a host.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) serve(instance string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	refused := s.refused[instance]
	s.mu.Unlock()
	if refused {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-range":
		s.serveRange(w, q)
	case path == "/-/kv-watch":
		s.serveWatch(instance, w, r, q)
	case path == "/-/kv-key":
		s.mu.Lock()
		i := s.items[q.Get("key")]
		s.mu.Unlock()
		if i == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, i)
	case path == "/-/kv-txn":
		s.serveTxn(w, r)
	case path == "/-/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 || body.TTL > 600000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.nextID++
		id, ttl := s.nextID, time.Duration(body.TTL)*time.Millisecond
		s.leases[id] = &lease{holder: instance, ttl: ttl, ends: time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_ms": body.TTL})
	case strings.HasPrefix(path, "/-/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/-/kv-keep/"), 10, 64)
		s.mu.Lock()
		s.expire()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id, "ended")
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	s.expire()
	var items []*item
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at_rev": at})
}

func (s *store) serveWatch(instance string, w http.ResponseWriter, r *http.Request, q url.Values) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed, stopped := s.revision, s.changed, s.refused[instance]
		s.mu.Unlock()
		if stopped {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease_id"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range txn.Expect {
		i := s.items[e.Key]
		if i == nil && e.Revision != 0 || i != nil && i.Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []*item{}})
			return
		}
	}
	for _, p := range txn.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Writes {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}
