package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/test/jsonhttp"
)

// Paths of an upstream. Every path other than those of health, load, feed and behaviour is
// run as a request.
const (
	PathHealth    = "/health"
	PathLoad      = "/load"
	PathFeed      = "/feed"
	PathUpload    = "/upload/"
	PathLookup    = "/lookup/"
	PathBatch     = "/batch"
	PathAnswer    = "/answer"
	pathBehaviour = "/behaviour"
)

// crashExitCode is the exit code of a crash triggered by Behaviour.CrashNext.
const crashExitCode = 42

// Answer is the body of a complete answer.
type Answer struct {
	Service  string
	Upstream string
	ID       string
	// BodySum is the SHA-256 of the request body, BodyBytes its length.
	BodySum   string
	BodyBytes int64
}

// Load is the body of the load endpoint.
type Load struct {
	Busy  int `json:"busy"`
	Slots int `json:"slots"`
	Feeds int `json:"feeds"`
}

// Handler returns the HTTP handler for requests, for the health and load endpoints, and for
// the endpoint that sets the behaviour.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, u.serveHealth)
	mux.HandleFunc("GET "+PathLoad, u.serveLoad)
	mux.HandleFunc("GET "+PathFeed, u.serveFeed)
	mux.HandleFunc("PUT "+pathBehaviour, func(w http.ResponseWriter, r *http.Request) {
		var b Behaviour
		if jsonhttp.Read(w, r, &b) {
			u.SetBehaviour(b)
		}
	})
	mux.HandleFunc("/", u.serveRequest)
	return mux
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	b := u.current()
	state, status := "ok", http.StatusOK
	switch {
	case b.Drain:
		state = "draining"
	case (b.Shed || b.ErrorFast) && !b.LieHealth:
		state, status = "failing", http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, "{\"status\":%q}\n", state)
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	load := Load{Busy: u.busy, Slots: u.behaviour.Slots, Feeds: u.feeds}
	if u.behaviour.LieLoad {
		load.Busy = 0
	}
	u.mu.Unlock()
	jsonhttp.Reply(w, load)
}

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	b := u.current()
	switch {
	case b.Shed:
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case b.ErrorFast:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	b = u.acquire()
	defer u.release()
	u.record(r, PhaseStart)
	if b.CrashNext {
		os.Exit(crashExitCode)
	}
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil || wait.For(r.Context(), u.serviceTime(b)) != nil {
		u.record(r, PhaseCut)
		return
	}
	jsonhttp.Reply(w, Answer{
		Service:   u.service,
		Upstream:  u.name,
		ID:        r.Header.Get(HeaderRequestID),
		BodySum:   hex.EncodeToString(sum.Sum(nil)),
		BodyBytes: n,
	})
	u.record(r, PhaseEnd)
}

// serveFeed sends numbered events, starting after Last-Event-ID, until the client closes
// the connection.
func (u *Upstream) serveFeed(w http.ResponseWriter, r *http.Request) {
	u.record(r, PhaseStart)
	u.countFeed(1)
	defer u.countFeed(-1)
	last, _ := strconv.ParseUint(r.Header.Get("Last-Event-ID"), 10, 64) // starts with the first event if the header is absent
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for id := last + 1; ; id++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", id, u.service, r.Header.Get(HeaderRequestID))
		if err != nil || out.Flush() != nil {
			return
		}
		if wait.For(r.Context(), u.current().FeedInterval) != nil {
			return
		}
	}
}

func (u *Upstream) countFeed(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.feeds += n
}
