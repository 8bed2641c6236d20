package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay   = 4 * time.Millisecond // time of an answer
	maxPageItems = 500
	maxWait      = 30 * time.Second
)

// item is an item of the store, as the pages list its fields.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev"`
	Lease    uint64 `json:"lease_id"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// change is an event of the history, which watches read.
type change struct {
	item
	Tombstone bool `json:"tombstone,omitempty"`
}

// store stands in for the platform's metadata store.
type store struct {
	server http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]*lease
	history  []change
	changed  chan struct{}
	refusing func(local string) int // status that calls through a listener get, or zero
}

func newStore() *store {
	s := &store{revision: 1, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveEnd)
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		refusing := s.refusing
		s.mu.Unlock()
		if refusing != nil {
			if status := refusing(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()); status != 0 {
				w.WriteHeader(status)
				return
			}
		}
		mux.ServeHTTP(w, r)
	})
	return s
}

// listen serves the store at one more address.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err == nil {
		go func() { _ = s.server.Serve(l) }()
	}
	return err
}

// refuse sets the function that tells which calls are refused; nil serves all.
func (s *store) refuse(f func(local string) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = f
}

func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, value, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) write(key string, value []byte, leaseID uint64) uint64 {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(change{item: i})
	return s.revision
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(change{item: item{Key: key, Revision: s.revision}, Tombstone: true})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time has passed. s.mu must be held.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		At uint64 `json:"at_rev"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	items, more := []item{}, false
	for _, key := range sortedKeys(s.items) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	answer(w, map[string]any{"items": items, "has_more": more, "at_rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		s.expire()
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, r.FormValue("prefix")) {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, map[string]any{"events": events, "at_rev": at})
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
		Writes  []item   `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	failed := false
	items := []item{}
	for _, e := range txn.Expect {
		i, ok := s.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if ok {
			items = append(items, i)
		}
	}
	if failed {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
		return
	}
	for _, i := range txn.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, i := range txn.Writes {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range txn.Deletes {
		s.delete(key)
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	l := &lease{ttl: time.Duration(body.TTL) * time.Millisecond}
	l.end = time.Now().Add(l.ttl)
	s.leases[s.revision] = l
	answer(w, map[string]any{"lease_id": s.revision, "ttl_ms": body.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.endLease(id)
	answer(w, map[string]any{})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
