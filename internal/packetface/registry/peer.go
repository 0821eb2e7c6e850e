package registry

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/packetface/peercall"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/platform"
)

// A balancer whose calls the store refuses fetches the listing of another balancer;
// agents tell it which balancer has a newer version. A balancer that has just started asks
// the seeds that its settings name.

const (
	listingPath = "/packet/listing"
	agentsPath  = "/packet/agents"
	// unlistedPath takes the position of the client's listing as a parameter, and a
	// second parameter if the client loaded its listing from this balancer.
	unlistedPath = "/packet/agents/unlisted"
	// peerTimeout bounds a request to another balancer.
	peerTimeout = time.Second
	// maxListingBytes bounds another balancer's answer, which may contain a configuration
	// of 1 MB and the entries of 7,000 agents, in JSON.
	maxListingBytes = 8 << 20
	// agentsCacheTime is how long the answer with all known agents is reused.
	agentsCacheTime = 100 * time.Millisecond
	// seedInterval is how long a starting balancer waits for the store before it asks the
	// seeds, and the time between two such requests. A slow store answers in some 240 ms.
	seedInterval = 300 * time.Millisecond
	// seedTimeout bounds a request to the seeds. A running seed answers within some 10
	// ms. After a simultaneous loss of power some seeds are still down, and the first
	// packet to those is not retransmitted before a second has passed.
	seedTimeout = 250 * time.Millisecond
	// unlistedTimeout bounds the request for agents that are not listed. Other balancers
	// refuse the request until they know the store's changes up to the client's position.
	unlistedTimeout = 250 * time.Millisecond
	// unlistedRetryInterval is the time after which the client repeats a refused request for
	// agents that are not listed.
	unlistedRetryInterval = 25 * time.Millisecond
	// sourceLoadTimeout bounds the request for the full listing of a source, after which
	// the store is read. After a simultaneous loss of power many balancers send this
	// request at once.
	sourceLoadTimeout = 400 * time.Millisecond
)

// SetSeeds sets the balancers to ask for a listing. They may be down.
func (f *Follower) SetSeeds(seeds []netip.AddrPort) { f.seeds.Store(&seeds) }

// Handle registers the HTTP handlers for other processes: for balancers that request the
// listing, its changes or the known agents, and for agents whose writes or other calls go
// to the store through this balancer.
func (f *Follower) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+listingPath, f.serveListing)
	mux.HandleFunc("GET "+agentsPath, f.serveAgents)
	mux.HandleFunc("GET "+unlistedPath, f.serveUnlisted)
	mux.HandleFunc("GET "+changesPath, f.serveChanges)
	mux.HandleFunc("POST "+entryPath, newWriter(f.Store, f.Log).serve)
	f.Store.HandleRelay(mux)
}

// serveListing answers with the newest listing.
func (f *Follower) serveListing(w http.ResponseWriter, r *http.Request) {
	if log := f.publishedLog(w); log != nil {
		log.listing.write(w, r, func() any { return log.shared })
	}
}

// serveUnlisted answers another balancer with the agents that this balancer knows and the
// store does not list. It refuses while the client's listing is newer than this balancer's
// and, if the client loaded its listing from this balancer, until this balancer has itself
// asked other balancers for such agents and has their answers or given up.
func (f *Follower) serveUnlisted(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	asOf, err := strconv.ParseUint(query.Get("asOf"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if f.published.Load() == nil {
		writeUncompressed(w, []steer.Agent{}) // this balancer has just started, too, and knows no agents
		return
	}
	if f.deliveredAsOf.Load() < asOf || query.Has("heard") && !f.agentsReceived.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeUncompressed(w, f.Unlisted())
}

// serveAgents answers with all agents that this balancer knows, or knew up to
// agentsCacheTime ago.
func (f *Follower) serveAgents(w http.ResponseWriter, r *http.Request) {
	if f.publishedLog(w) == nil {
		return
	}
	f.agentsMu.Lock()
	if f.agents == nil || time.Since(f.agentsAt) >= agentsCacheTime {
		f.agents, f.agentsAt = &document{}, time.Now()
	}
	agents := f.agents
	f.agentsMu.Unlock()
	agents.write(w, r, func() any { return f.Known() })
}

// publishedLog returns the newest listing with its changes. If there is none, it refuses
// the request and returns nil.
func (f *Follower) publishedLog(w http.ResponseWriter) *changeLog {
	log := f.published.Load()
	if log == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return log
}

// fetch sends a request to another balancer and decodes the answer.
func (f *Follower) fetch(ctx context.Context, peer netip.AddrPort, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peercall.Get(ctx, &f.peers, peer, path, maxListingBytes, answer)
}

// reading is the result of reading all keys of the store.
type reading struct {
	items []platform.Item
	asOf  store.Position
	err   error
}

// load loads the first listing from the source if there is one, else from a snapshot if
// there is one, else from all keys of the store. While the store does not answer, load asks
// the seeds, so that a balancer that starts during an outage can serve from a seed's
// listing. That listing may lack changes that the seed has missed since the store refused
// the seed's calls; agents report such changes to both balancers.
func (f *Follower) load(ctx context.Context) error {
	if source, ok := f.awaitSource(ctx); ok {
		f.AwaitSource = false
		err := f.loadFromSource(ctx, source)
		if err == nil {
			f.initialSource = source
			return nil
		}
		f.Log.Warn("Loading the listing from the source balancer failed; reading the store.", "source", source.String(), "error", err.Error())
	}
	if f.Snapshots && f.loadFromSnapshot(ctx) {
		f.awaitSourceBriefly(ctx)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := make(chan reading, 1)
	go func() {
		items, asOf, err := f.Store.Range(ctx, allKeys)
		read <- reading{items, asOf, err}
	}()
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-read:
			if r.err != nil {
				f.loadFromSeeds(ctx)
				return r.err
			}
			return f.acceptReading(r.items, r.asOf)
		case <-ticker.C:
			if f.loadFromSeeds(ctx) {
				return errors.Wrap(store.ErrUnavailable, "registry: loaded a seed's listing before the store answered")
			}
		}
	}
}

// loadFromSeeds loads the newest listing of the seeds. It reports whether any seed
// returned one.
func (f *Follower) loadFromSeeds(ctx context.Context) bool {
	best, from, failures := f.newestSeedListing(ctx)
	if best.AsOf == 0 {
		if !f.noListingLogged {
			f.Log.Warn("No seed returned a listing.", "errors", failures)
		}
		f.noListingLogged = true
		return false
	}
	f.listing, f.watchFrom = emptyListing(), best.AsOf
	f.recent = changes{from: best.AsOf, to: best.AsOf}
	_, unreadable := f.listing.Merge(best)
	f.report(unreadable)
	f.noteEra(summary{})
	f.Log.Info("Loaded the listing from a seed.", "seed", from.String(), "as_of", best.AsOf, "agents", len(f.listing.agents), "config_at", f.listing.ConfigAt)
	f.deliver()
	return true
}

// askAgents requests the agents that other balancers know and passes them to
// AgentsReceived. Agents may be running although the store does not list them; without the
// answers, a balancer that starts after their leases have ended would treat their
// flows as dead. askAgents asks the source if the listing came from one; otherwise, or if
// the source fails, it asks the seeds.
func (f *Follower) askAgents(ctx context.Context, source netip.AddrPort, asOf store.Position) {
	path := unlistedPath + "?asOf=" + strconv.FormatUint(uint64(asOf), 10)
	var known []steer.Agent
	var failures []string
	if source.IsValid() {
		known, failures = agentsOf(askAll(ctx, &[]netip.AddrPort{source}, unlistedTimeout, f.unlistedRequest(path+"&heard")))
	}
	if !source.IsValid() || len(failures) > 0 {
		known, failures = agentsOf(askAll(ctx, f.seeds.Load(), unlistedTimeout, f.unlistedRequest(path)))
	}
	if ctx.Err() != nil {
		return
	}
	f.Log.Info("Requested unlisted agents from other balancers.", "source", source.String(), "known", len(known), "errors", failures)
	f.agentsReceived.Store(true)
	f.AgentsReceived(known)
}

// unlistedRequest returns a function that requests the agents that are not listed from a
// peer. It retries while the peer does not know the position yet, until its context ends.
// From a peer of an earlier version it requests all known agents.
func (f *Follower) unlistedRequest(path string) func(context.Context, netip.AddrPort) peerAnswer[[]steer.Agent] {
	unlisted, all := singleRequest[[]steer.Agent](f, path), singleRequest[[]steer.Agent](f, agentsPath)
	return func(ctx context.Context, peer netip.AddrPort) peerAnswer[[]steer.Agent] {
		for {
			a := unlisted(ctx, peer)
			switch {
			case errors.Is(a.err, peercall.ErrUnknownCall):
				return all(ctx, peer)
			case !errors.Is(a.err, peercall.ErrRefused) || wait.For(ctx, unlistedRetryInterval) != nil:
				return a
			}
		}
	}
}

// agentsOf returns the agents of all successful answers, and the errors of the others.
func agentsOf(answers []peerAnswer[[]steer.Agent]) (known []steer.Agent, failures []string) {
	for _, a := range answers {
		if a.err != nil {
			failures = append(failures, a.failure())
		}
		known = append(known, a.answer...)
	}
	return known, failures
}

// peerAnswer is the result of a request to another balancer.
type peerAnswer[T any] struct {
	answer T
	from   netip.AddrPort
	err    error
}

func (a *peerAnswer[T]) failure() string { return a.from.String() + ": " + a.err.Error() }

// askAll sends a request to all peers concurrently and returns their answers.
func askAll[T any](ctx context.Context, peers *[]netip.AddrPort, timeout time.Duration, ask func(context.Context, netip.AddrPort) peerAnswer[T]) []peerAnswer[T] {
	if peers == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan peerAnswer[T], len(*peers))
	for _, peer := range *peers {
		go func() { answers <- ask(ctx, peer) }()
	}
	all := make([]peerAnswer[T], len(*peers))
	for i := range all {
		all[i] = <-answers
	}
	return all
}

// singleRequest returns a function that requests a path from a peer once.
func singleRequest[T any](f *Follower, path string) func(context.Context, netip.AddrPort) peerAnswer[T] {
	return func(ctx context.Context, peer netip.AddrPort) peerAnswer[T] {
		a := peerAnswer[T]{from: peer}
		a.err = f.fetch(ctx, peer, path, &a.answer)
		return a
	}
}

// newestSeedListing returns the newest listing of the seeds and the seed that sent it, or
// an empty listing if no seed answers. failures are the errors of the other seeds.
func (f *Follower) newestSeedListing(ctx context.Context) (best Shared, from netip.AddrPort, failures []string) {
	for _, a := range askAll(ctx, f.seeds.Load(), seedTimeout, singleRequest[Shared](f, listingPath)) {
		if a.err != nil {
			failures = append(failures, a.failure())
			continue
		}
		if a.answer.AsOf > best.AsOf {
			best, from = a.answer, a.from
		}
	}
	return best, from, failures
}

// mergeFromPeer merges the listing of the peer that the last hint named. It is used while
// the store does not answer or has older data than the peer.
func (f *Follower) mergeFromPeer(ctx context.Context) {
	peer := f.peer.Load()
	if f.listing == nil || peer == nil {
		return
	}
	var shared Shared
	if err := f.fetch(ctx, *peer, listingPath, &shared); err != nil {
		f.Log.Warn("Fetching the listing from a peer failed.", "peer", peer.String(), "error", err.Error())
		return
	}
	before := f.summary()
	changed, unreadable := f.listing.Merge(shared)
	f.report(unreadable)
	f.noteEra(before)
	if changed {
		f.recent = changes{from: f.listing.AsOf, to: f.listing.AsOf}
		f.Log.Info("Merged the listing of a peer.", "peer", peer.String(), "config_at", f.listing.ConfigAt, "as_of", f.listing.AsOf)
		f.deliver()
	}
}
