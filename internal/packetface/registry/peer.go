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

// A balancer that the store turns away learns from another balancer what has
// changed: agents tell it which one knows more. One that has only just started
// asks the seeds that its settings name.

const (
	listingPath = "/packet/listing"
	agentsPath  = "/packet/agents"
	// unlistedPath has one parameter, the position of the asker's listing, and another one
	// from a listener.
	unlistedPath = "/packet/agents/unlisted"
	// peerTimeout bounds a question to another balancer.
	peerTimeout = time.Second
	// maxListingBytes bounds its answer: a configuration of 1 MB and 7,000
	// entries of agents, in JSON.
	maxListingBytes = 8 << 20
	// agentsCacheTime is how long the answer with all known agents serves all that ask.
	agentsCacheTime = 100 * time.Millisecond
	// seedInterval is how long a balancer that starts waits for the store before it
	// asks the seeds, and between two such questions; a slow store answers in
	// some 240 ms.
	seedInterval = 300 * time.Millisecond
	// seedTimeout bounds a question to the seeds. One that lives answers within some
	// 10 ms; after a common loss of power some are still dark, and the first packet
	// to those is repeated after a second only.
	seedTimeout = 250 * time.Millisecond
	// unlistedTimeout bounds the question for agents that are not listed, which others
	// answer once they know as much of the store; askAgainEvery is the time between tries.
	unlistedTimeout = 250 * time.Millisecond
	unlistedRetryInterval   = 25 * time.Millisecond
	// sourceLoadTimeout bounds the question for everything that a source knows, after which
	// the store is read: after a common loss of power many ask at once.
	sourceLoadTimeout = 400 * time.Millisecond
)

// SetSeeds names balancers that may know a listing; they may be gone.
func (f *Follower) SetSeeds(seeds []netip.AddrPort) { f.seeds.Store(&seeds) }

// Handle answers other processes: with the newest listing, and with the answers of
// the store to calls of agents that it turns away.
func (f *Follower) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+listingPath, f.serveListing)
	mux.HandleFunc("GET "+agentsPath, f.serveAgents)
	mux.HandleFunc("GET "+unlistedPath, f.serveUnlisted)
	mux.HandleFunc("GET "+changesPath, f.serveChanges)
	mux.HandleFunc("POST "+entryPath, newWriter(f.Store, f.Log).serve)
	f.Store.HandleRelay(mux)
}

// serveListing serves the newest listing.
func (f *Follower) serveListing(w http.ResponseWriter, r *http.Request) {
	if log := f.publishedLog(w); log != nil {
		log.listing.write(w, r, func() any { return log.shared })
	}
}

// serveUnlisted serves the agents that this balancer knows and the store does not list, to
// one whose listing is of a position that it knows, too. One that has its listing from
// this balancer is answered once this one has heard of agents itself.
func (f *Follower) serveUnlisted(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	asOf, err := strconv.ParseUint(query.Get("asOf"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if f.published.Load() == nil {
		writeUncompressed(w, []steer.Agent{}) // it has only just started, too, and knows none
		return
	}
	if f.deliveredAsOf.Load() < asOf || query.Has("heard") && !f.agentsReceived.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeUncompressed(w, f.Unlisted())
}

// serveAgents serves all agents that this balancer knows, or has known a moment ago.
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

// publishedLog returns the newest listing with its changes; without one it answers the request
// and returns nil.
func (f *Follower) publishedLog(w http.ResponseWriter) *changeLog {
	log := f.published.Load()
	if log == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return log
}

// fetch asks another balancer and decodes its answer.
func (f *Follower) fetch(ctx context.Context, peer netip.AddrPort, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peercall.Get(ctx, &f.peers, peer, path, maxListingBytes, answer)
}

// reading is the answer of the store to a reading of everything.
type reading struct {
	items []platform.Item
	asOf  store.Position
	err   error
}

// load reads the store and, while it does not answer, asks the seeds: a
// balancer that starts meanwhile can serve by what one of them knows. That may
// lack what changed since the seed was turned away, as the seed does; agents
// tell of it.
func (f *Follower) load(ctx context.Context) error {
	if source, ok := f.awaitSource(ctx); ok {
		f.AwaitSource = false
		err := f.loadFromSource(ctx, source)
		if err == nil {
			f.initialSource = source
			return nil
		}
		f.Log.Warn("Source not reached, reading the store.", "source", source.String(), "error", err.Error())
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
				return errors.Wrap(store.ErrUnavailable, "registry: a seed was faster")
			}
		}
	}
}

// loadFromSeeds takes over the newest listing that a seed knows; it reports whether
// any knows one.
func (f *Follower) loadFromSeeds(ctx context.Context) bool {
	best, from, failures := f.newestSeedListing(ctx)
	if best.AsOf == 0 {
		if !f.noListingLogged {
			f.Log.Warn("No seed knows a listing.", "errors", failures)
		}
		f.noListingLogged = true
		return false
	}
	f.listing, f.watchFrom = emptyListing(), best.AsOf
	f.recent = changes{from: best.AsOf, to: best.AsOf}
	_, unreadable := f.listing.Merge(best)
	f.report(unreadable)
	f.noteEra(summary{})
	f.Log.Info("Listing taken from a seed.", "seed", from.String(), "as_of", best.AsOf, "agents", len(f.listing.agents), "config_at", f.listing.ConfigAt)
	f.deliver()
	return true
}

// askAgents asks others for the agents that they know, as some may live though the
// store does not list them. Without them a balancer that starts after a lapse would take
// their flows for dead. The source tells what a listing of its own position lacks, and so
// do the seeds to one that has read the store.
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
	f.Log.Info("Others asked for agents.", "source", source.String(), "known", len(known), "errors", failures)
	f.agentsReceived.Store(true)
	f.Asked(known)
}

// unlistedRequest returns how a peer is asked for the agents that are not listed: again while
// it does not know the position yet and there is time. One of an earlier version tells all
// that it knows.
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

// agentsOf returns the agents that some have told, and why others did not.
func agentsOf(answers []peerAnswer[[]steer.Agent]) (known []steer.Agent, failures []string) {
	for _, a := range answers {
		if a.err != nil {
			failures = append(failures, a.failure())
		}
		known = append(known, a.answer...)
	}
	return known, failures
}

// peerAnswer is what another balancer answered.
type peerAnswer[T any] struct {
	answer T
	from   netip.AddrPort
	err    error
}

func (a *peerAnswer[T]) failure() string { return a.from.String() + ": " + a.err.Error() }

// askAll asks all peers at once and returns their answers.
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

// singleRequest returns how a peer is asked once for what is at a path.
func singleRequest[T any](f *Follower, path string) func(context.Context, netip.AddrPort) peerAnswer[T] {
	return func(ctx context.Context, peer netip.AddrPort) peerAnswer[T] {
		a := peerAnswer[T]{from: peer}
		a.err = f.fetch(ctx, peer, path, &a.answer)
		return a
	}
}

// newestSeedListing returns the newestSeedListing listing that a seed knows, an empty one if none
// answers, and why the others did not.
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

// mergeFromPeer takes over what a peer knows while the store is not reached.
func (f *Follower) mergeFromPeer(ctx context.Context) {
	peer := f.peer.Load()
	if f.listing == nil || peer == nil {
		return
	}
	var shared Shared
	if err := f.fetch(ctx, *peer, listingPath, &shared); err != nil {
		f.Log.Warn("Peer not asked.", "peer", peer.String(), "error", err.Error())
		return
	}
	before := f.summary()
	changed, unreadable := f.listing.Merge(shared)
	f.report(unreadable)
	f.noteEra(before)
	if changed {
		f.recent = changes{from: f.listing.AsOf, to: f.listing.AsOf}
		f.Log.Info("Learned from a peer.", "peer", peer.String(), "config_at", f.listing.ConfigAt, "as_of", f.listing.AsOf)
		f.deliver()
	}
}
