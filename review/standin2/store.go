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

// item is a key of the store as sent to its clients.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease,omitempty"`
	Removed    bool   `json:"removed,omitempty"`
}

// lease is a lease with its end.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// kvStore stands in for the platform's store.
type kvStore struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	// answerTime is how long the store takes for an answer.
	answerTime time.Duration
}

const (
	// usualAnswer is the time for an answer that the pages name.
	usualAnswer = 4 * time.Millisecond
	// pageItems is the maximum number of items on a page.
	pageItems = 500
)

func newStore(addr string) (*kvStore, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &kvStore{listener: listener, items: map[string]item{}, revision: 1, leases: map[uint64]*lease{}, changed: make(chan struct{}), answerTime: usualAnswer}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	go s.expire()
	return s, nil
}

// setAnswerTime changes how long the store takes for an answer.
func (s *kvStore) setAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerTime = d
}

// take waits for the time that the store needs for an answer and locks the store.
func (s *kvStore) take() {
	s.mu.Lock()
	wait := s.answerTime
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// change applies a change. mu must be held.
func (s *kvStore) change(i item) {
	s.revision++
	i.Revision, i.CreatedRev = s.revision, s.items[i.Key].CreatedRev
	if i.CreatedRev == 0 {
		i.CreatedRev = i.Revision
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator, and returns the time of the confirmation.
func (s *kvStore) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: value})
	return time.Now()
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.take()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{i, s.revision})
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	s.take()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			page = append(page, i)
		}
	}
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > pageItems
	answer(w, map[string]any{"items": page[:min(len(page), pageItems)], "hasMore": more, "asOf": s.revision})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.take()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
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

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []item   `json:"expectedRev"`
		Writes      []item   `json:"writes"`
		Deletes     []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.ExpectedRev)+len(in.Writes)+len(in.Deletes) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.take()
	defer s.mu.Unlock()
	for _, e := range in.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			current := []item{}
			for _, e := range in.ExpectedRev {
				if i, ok := s.items[e.Key]; ok {
					current = append(current, i)
				}
			}
			answer(w, map[string]any{"items": current})
			return
		}
	}
	for _, i := range in.Writes {
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

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.take()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, map[string]any{"lease": s.lastLease, "ttlMs": in.TTLMs})
}

func leaseID(r *http.Request) uint64 {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return id
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	s.take()
	defer s.mu.Unlock()
	l := s.leases[leaseID(r)]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	s.take()
	defer s.mu.Unlock()
	if s.leases[leaseID(r)] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(leaseID(r))
	answer(w, map[string]any{})
}

// endLease removes a lease and its keys. mu must be held.
func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.change(item{Key: key, Removed: true})
		}
	}
}

// expire ends leases whose time is over.
func (s *kvStore) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// lapse ends all leases, as they run out while the store is down.
func (s *kvStore) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}
