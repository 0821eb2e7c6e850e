// Package packetplatform stands in for the users' platform in tests of the
// packet face: its store, upstreams that speak its packets, callers, and the
// settings files of hosts on loopback. It shares no code with package platform,
// so that each finds the other's faults.
package packetplatform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key as the store has it.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store stands in for the platform's store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	compact  uint64
	revision uint64
	leases   map[uint64]time.Duration
	last     uint64
	changed  chan struct{}
	// cut is closed when watches that wait are to be cut.
	cut   chan struct{}
	calls map[string]int
	// status is what calls are answered with while it is not 0; refused are
	// the hosts that are, all if empty.
	status  int
	refused []string
	// lose is the number of writes that are done without an answer.
	lose int
	// era counts how often the store came back from a copy; all answers name it.
	era int
	// operators are the writes of operators in their order.
	operators []Item
}

// maxTxnEntries bounds the conditions, writes and deletions of one call together.
const maxTxnEntries = 32

// eraHeader names the store's era in all its answers.
const eraHeader = "Store-Era"

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{
		items: map[string]Item{}, leases: map[uint64]time.Duration{}, calls: map[string]int{},
		changed: make(chan struct{}), cut: make(chan struct{}), revision: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.write)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = httptest.NewServer(s.guard(mux))
	return s
}

// Move lets the store go on at another address, and at that alone.
func (s *Store) Move() {
	old := s.server
	s.server = httptest.NewServer(old.Config.Handler)
	old.CloseClientConnections()
	old.Close()
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Silent as the status of Fail leaves calls without any answer.
const Silent = -1

// Fail answers all calls, or those of the hosts, with the status; 0 ends that.
// Watches that wait are cut. Connections that are idle stay, so that no call
// meets one that is being closed.
func (s *Store) Fail(status int, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.refused = status, hosts
	close(s.cut)
	s.cut = make(chan struct{})
}

// LoseAnswers lets the next n writes be done without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compact = nil, s.revision
}

// Lapse ends all leases; their keys vanish.
func (s *Store) Lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operators = append(s.operators, Item{Key: key, Value: value})
	s.change(Item{Key: key, Value: value})
}

// Remove deletes a key as the operator does; one that is not there changes nothing.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operators = append(s.operators, Item{Key: key, Removed: true})
	if _, ok := s.items[key]; ok {
		s.change(Item{Key: key, Removed: true})
	}
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// Readings returns how often everything was read.
func (s *Store) Readings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls["/kv-range"]
}

// Calls returns how many calls were made but for renewals, which cost little.
func (s *Store) Calls() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for path, calls := range s.calls {
		if !strings.HasPrefix(path, "/kv-keep/") {
			n += calls
		}
	}
	return n
}

// CallsOf returns how many calls of a path were made.
func (s *Store) CallsOf(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// guard counts calls and refuses them while the store is to fail.
func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls[r.URL.Path]++
		status := s.status
		if len(s.refused) > 0 && !slices.Contains(s.refused, host) {
			status = 0
		}
		w.Header().Set(eraHeader, strconv.Itoa(s.era))
		s.mu.Unlock()
		if status == Silent {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a caller that leaves after that
			<-r.Context().Done()
			return
		}
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// change makes one change of its own revision. The caller holds mu.
func (s *Store) change(item Item) {
	s.revision++
	item.Revision = s.revision
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		Item
		AsOf uint64 `json:"asOf"`
	}{item, s.revision})
}

// pageSize is small, so that tests meet several pages.
const pageSize = 3

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := s.Keys(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	var page []Item
	more := false
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(page) == pageSize {
			more = true
			break
		}
		page = append(page, s.items[key])
	}
	reply(w, map[string]any{"items": page, "hasMore": more, "asOf": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compact || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.since(after, query.Get("prefix"))
		changed, cut, revision := s.changed, s.cut, s.revision
		w.Header().Set(eraHeader, strconv.Itoa(s.era))
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler) // the connection ends without an answer
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, map[string]any{"events": []Item{}, "asOf": revision})
			return
		}
	}
}

func (s *Store) since(after uint64, prefix string) []Item {
	var out []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			out = append(out, item)
		}
	}
	return out
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []Item
		Writes      []Item
		Deletes     []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(in.ExpectedRev)+len(in.Writes)+len(in.Deletes) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range in.ExpectedRev {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, item := range in.Writes {
		if _, ok := s.leases[item.Lease]; item.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, item := range in.Writes {
		s.change(item)
	}
	for _, key := range in.Deletes {
		s.change(Item{Key: key, Removed: true})
	}
	if s.lose > 0 {
		s.lose--
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TTLMs int64 }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = time.Duration(in.TTLMs) * time.Millisecond
	reply(w, map[string]any{"lease": s.last, "ttlMs": in.TTLMs})
}

// keep renews a lease. Leases of the stand-in end only when a test says so.
func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl, ok := s.leases[leaseOf(r)]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"ttlMs": ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[leaseOf(r)]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(leaseOf(r))
	reply(w, map[string]any{})
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.change(Item{Key: key, Removed: true})
		}
	}
}

func leaseOf(r *http.Request) uint64 {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // 0 is no lease
	return id
}

func reply(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // an error means that the caller has gone
}
