package storefake

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/saltbend/saltbend/test/jsonhttp"
)

const keyPath = "/v1/kv/"

// entry is an element of the answer to a list call.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Handler returns the store's HTTP API: the store's protocol under /v1/kv/, and for the
// control of tests the paths /faults, /calls and /writes.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+keyPath, s.serveRead)
	mux.HandleFunc("PUT "+keyPath, s.servePut)
	mux.HandleFunc("DELETE "+keyPath, s.serveDelete)
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if jsonhttp.Read(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Reply(w, s.Calls())
	})
	mux.HandleFunc("GET /writes", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Reply(w, s.Writes())
	})
	return mux
}

// admit counts the call, applies the faults Slow and Down, and reports whether to process
// the call.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, count func(*Calls)) (Faults, bool) {
	f := s.begin(count)
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow):
		case <-r.Context().Done():
			return f, false
		}
	}
	if f.Down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return f, false
	}
	return f, true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, keyPath)
	query := r.URL.Query()
	switch {
	case key == "":
		s.serveList(w, r, query.Get("prefix"))
	case query.Has("after"):
		s.serveWatch(w, r, key)
	default:
		if _, ok := s.admit(w, r, func(c *Calls) { c.Get++ }); !ok {
			return
		}
		v, ok, _, _ := s.get(key)
		writeValue(w, v, ok)
	}
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request, prefix string) {
	if _, ok := s.admit(w, r, func(c *Calls) { c.List++ }); !ok {
		return
	}
	entries := []entry{}
	for key, v := range s.list(prefix) {
		entries = append(entries, entry{Key: key, Value: v.data, Revision: v.revision})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	jsonhttp.Reply(w, entries)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, key string) {
	if _, ok := s.admit(w, r, func(c *Calls) { c.Watch++ }); !ok {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		v, ok, changed, faults := s.get(key)
		switch {
		case faults.Down:
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		case ok && v.revision > after:
			writeValue(w, v, ok)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	faults, ok := s.admit(w, r, func(c *Calls) { c.Put++ })
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	expected, ok := expectedRevision(w, r)
	if !ok {
		return
	}
	seconds, _ := strconv.ParseFloat(r.Header.Get("Lease-Seconds"), 64) // absent: no lease
	key := strings.TrimPrefix(r.URL.Path, keyPath)
	revision, ok := s.swap(key, data, expected, time.Duration(seconds*float64(time.Second)))
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	loseAnswer(faults, key)
	w.Header().Set("ETag", etag(revision))
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	faults, ok := s.admit(w, r, func(c *Calls) { c.Delete++ })
	if !ok {
		return
	}
	expected, ok := expectedRevision(w, r)
	if !ok {
		return
	}
	key := strings.TrimPrefix(r.URL.Path, keyPath)
	if !s.remove(key, expected) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	loseAnswer(faults, key)
}

// loseAnswer closes the connection without an answer with the probability LoseAnswer.
func loseAnswer(f Faults, key string) {
	if strings.HasPrefix(key, f.LosePrefix) && rand.Float64() < f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
}

// expectedRevision reads the precondition; a write without one is refused.
func expectedRevision(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	revision, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || revision == 0 {
		http.Error(w, "want If-Match or If-None-Match: *", http.StatusBadRequest)
		return 0, false
	}
	return revision, true
}

func writeValue(w http.ResponseWriter, v value, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(v.revision))
	_, _ = w.Write(v.data) // an error means that the client has closed the connection
}

func etag(revision uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(revision, 10)) }
