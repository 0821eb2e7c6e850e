package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as its calls show it.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl   time.Duration
	ends  time.Time
	owner string // the machine that asked for it, if known
}

// Sizes of the store's answers and calls, from PROTOCOL.md.
const (
	pageItems     = 500
	maxTxnEntries = 32
	maxWait       = 30 * time.Second
)

// metadataStore is a sound store of the platform: linearizable, with leases that end.
type metadataStore struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	listener  net.Listener
}

func newStore(host string) (*metadataStore, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &metadataStore{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), listener: listener, revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endCall)
	go http.Serve(listener, mux)
	go s.expire()
	return s, nil
}

func (s *metadataStore) address() string { return s.listener.Addr().String() }

// put writes a key for the operator and returns when the store has confirmed it.
func (s *metadataStore) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: value})
	return time.Now()
}

// revoke takes a machine's keys away and returns how many there were.
func (s *metadataStore) revoke(machine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.items)
	for id, l := range s.leases {
		if l.owner == machine {
			s.endLease(id)
		}
	}
	return before - len(s.items)
}

// expire removes the keys of leases that have run out.
func (s *metadataStore) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// change applies one change. mu must be held.
func (s *metadataStore) change(i item) {
	s.revision++
	i.Revision = s.revision
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.CreatedRev = i.Revision
		if before, ok := s.items[i.Key]; ok {
			i.CreatedRev = before.CreatedRev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *metadataStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.change(item{Key: key, Removed: true})
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (s *metadataStore) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		json.NewEncoder(w).Encode(map[string]any{"asOf": s.revision})
		return
	}
	answer(w, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{i, s.revision})
}

func (s *metadataStore) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page = append(page, s.items[key])
	}
	answer(w, map[string]any{"items": page, "hasMore": len(keys) > len(page), "asOf": s.revision})
}

func (s *metadataStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, map[string]any{"events": events, "asOf": revision})
			return
		}
	}
}

func (s *metadataStore) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev, Writes []item
		Deletes             []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.ExpectedRev)+len(in.Writes)+len(in.Deletes) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range in.ExpectedRev {
		if s.items[expected.Key].Revision == expected.Revision {
			continue
		}
		now := []item{}
		for _, e := range in.ExpectedRev {
			if i, ok := s.items[e.Key]; ok {
				now = append(now, i)
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]any{"items": now})
		return
	}
	for _, i := range in.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range in.Writes {
		s.change(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range in.Deletes {
		s.change(item{Key: key, Removed: true})
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *metadataStore) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(in.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl), r.Header.Get(machineHeader)}
	answer(w, map[string]any{"lease": s.lastLease, "ttlMs": ttl.Milliseconds()})
}

func (s *metadataStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *metadataStore) endCall(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, map[string]any{})
}
