// Package packetplatform simulates the users' platform in tests of the packet face (the
// load balancing of packets): the platform's store, upstreams and callers that use its
// packet format, and the settings files of hosts on loopback. It deliberately shares no
// code with package platform, so that an error in one shows in tests with the other.
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

// Item is a key with its value and revision as sent to clients of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store simulates the platform's key-value store.
type Store struct {
	server *httptest.Server

	mu        sync.Mutex
	items     map[string]Item
	history   []Item
	compacted uint64
	revision  uint64
	leases    map[uint64]time.Duration
	lastLease uint64
	changed   chan struct{}
	// abortWatches is closed to abort all pending watch requests.
	abortWatches chan struct{}
	calls        map[string]int
	// status, unless 0, is the HTTP status that calls from the refused hosts are
	// answered with; an empty list means all hosts.
	status  int
	refused []string
	// unansweredWrites is the number of coming writes that are applied but not answered.
	unansweredWrites int
	// era counts how often the store was restored from a copy; all answers contain it.
	era int
	// operatorWrites are the writes made by operators, in order.
	operatorWrites []Item
}

// maxTxnEntries is the maximum sum of conditions, writes and deletions in one transaction.
const maxTxnEntries = 32

// eraHeader is the HTTP header with the store's era in all answers.
const eraHeader = "Store-Era"

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{
		items: map[string]Item{}, leases: map[uint64]time.Duration{}, calls: map[string]int{},
		changed: make(chan struct{}), abortWatches: make(chan struct{}), revision: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.write)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = httptest.NewServer(s.injectFailures(mux))
	return s
}

// Move closes the store's address and serves the same data at a new one.
func (s *Store) Move() {
	old := s.server
	s.server = httptest.NewServer(old.Config.Handler)
	old.CloseClientConnections()
	old.Close()
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Silent as the status of Fail makes the store accept calls and never answer them.
const Silent = -1

// Fail makes the store answer all calls, or those of the given hosts, with the status until
// Fail(0). Pending watches are aborted. Idle connections stay open, since a client could
// otherwise send a call on a connection that the store is closing.
func (s *Store) Fail(status int, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.refused = status, hosts
	close(s.abortWatches)
	s.abortWatches = make(chan struct{})
}

// LoseAnswers makes the store apply the next n writes without answering them.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredWrites = n
}

// Compact discards the history of changes; watches from an earlier revision fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Lapse ends all leases and deletes their keys.
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

// Put writes a key on behalf of an operator.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorWrites = append(s.operatorWrites, Item{Key: key, Value: value})
	s.change(Item{Key: key, Value: value})
}

// Remove deletes a key on behalf of an operator; the store doesn't change if the key
// does not exist.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorWrites = append(s.operatorWrites, Item{Key: key, Removed: true})
	if _, ok := s.items[key]; ok {
		s.change(Item{Key: key, Removed: true})
	}
}

// Value returns the value of a key, nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Keys returns the sorted keys with a prefix.
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

// Readings returns the number of calls that listed keys, each of which returns one page.
func (s *Store) Readings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls["/kv-range"]
}

// Calls returns the number of calls without lease renewals, which cost little.
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

// CallsOf returns the number of calls to a path.
func (s *Store) CallsOf(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// injectFailures counts calls and applies the failure set by Fail.
func (s *Store) injectFailures(next http.Handler) http.Handler {
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
			_, _ = io.Copy(io.Discard, r.Body) // net/http detects that a client has gone only after the body is read
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

// change applies a change under a new revision and wakes pending watches. The caller
// holds mu.
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

// pageSize is the maximum number of items per page, small so that tests get several pages.
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
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.eventsAfter(after, query.Get("prefix"))
		changed, abortWatches, revision := s.changed, s.abortWatches, s.revision
		w.Header().Set(eraHeader, strconv.Itoa(s.era))
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-abortWatches:
			panic(http.ErrAbortHandler) // closes the connection without an answer
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, map[string]any{"events": []Item{}, "asOf": revision})
			return
		}
	}
}

func (s *Store) eventsAfter(after uint64, prefix string) []Item {
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
	if s.unansweredWrites > 0 {
		s.unansweredWrites--
		panic(http.ErrAbortHandler) // closes the connection without an answer
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
	s.lastLease++
	s.leases[s.lastLease] = time.Duration(in.TTLMs) * time.Millisecond
	reply(w, map[string]any{"lease": s.lastLease, "ttlMs": in.TTLMs})
}

// keep renews a lease. Leases of this store never expire by time: they end by a call of
// Lapse or of a client.
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
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // 0 is not the id of any lease
	return id
}

func reply(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // an error means that the client has closed the connection
}
