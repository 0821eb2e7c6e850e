package registry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/packetface/peercall"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

const (
	// writerConnect bounds the establishment of a connection to a balancer that is to write
	// an entry.
	writerConnect = 250 * time.Millisecond
	// writerTimeout bounds the whole request to write an entry. A balancer may wait 200 ms
	// for further entries and 240 ms for a slow store. A frozen balancer accepts the request
	// and does not answer, and a lost entry must be listed again within 2 s.
	writerTimeout = 600 * time.Millisecond
	// maxWrittenBytes bounds the size of the balancer's answer.
	maxWrittenBytes = 1 << 10
)

var (
	// errNotSent means that no balancer has accepted the write.
	errNotSent = errors.New("registry: no balancer accepted the write")
	// errNoWriter means that the write was not sent because no balancer is known or
	// balancers are to be bypassed.
	errNoWriter = errors.Wrap(errNotSent, "no balancer is known")
)

// relayTime is how long an agent whose call has failed sends its calls through a balancer
// before it calls the store directly again.
const relayTime = 5 * time.Second

// storeRoutes are the routes by which an agent calls the store: directly, or relayed by a
// balancer that the settings name as a seed. It is used from one goroutine, except for
// setSeeds.
type storeRoutes struct {
	direct  *platform.Store
	relays  atomic.Pointer[[]*platform.Store]
	writers atomic.Pointer[[]netip.AddrPort]
	// peers is the HTTP client for requests to balancers that write entries.
	peers http.Client
	// skipWriters makes the next write bypass the balancers, because the last balancer asked
	// did not answer or the store refused that balancer's call.
	skipWriters bool
	// current is the route in use: 0 is the direct one, others are relays.
	current int
	// until is the time at which the direct route replaces a relay again.
	until time.Duration
}

// newStoreRoutes returns storeRoutes without relays. It does not keep connections to
// balancers open, because an agent writes rarely and there are thousands of agents.
func newStoreRoutes(s *platform.Store) storeRoutes {
	return storeRoutes{direct: s, peers: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// setSeeds sets the control addresses of the balancers that relay calls and write
// entries.
func (w *storeRoutes) setSeeds(seeds []netip.AddrPort) {
	relays := make([]*platform.Store, len(seeds))
	for i, seed := range seeds {
		relays[i] = w.direct.Through(seed)
	}
	w.relays.Store(&relays)
	w.writers.Store(&seeds)
}

func (w *storeRoutes) seeds() []*platform.Store {
	if relays := w.relays.Load(); relays != nil {
		return *relays
	}
	return nil
}

// store returns the client for the route to use now.
func (w *storeRoutes) store(now time.Duration) *platform.Store {
	relays := w.seeds()
	if w.current > len(relays) || now >= w.until {
		w.current = 0
	}
	if w.current == 0 {
		return w.direct
	}
	return relays[w.current-1]
}

// useNext switches to the next route after a failed call.
func (w *storeRoutes) useNext(now time.Duration) {
	w.current = (w.current + 1) % (len(w.seeds()) + 1)
	w.until = now + relayTime
}

// writeViaBalancer asks a random one of the balancers to write an entry. errNotSent means
// that no balancer has accepted the write.
func (w *storeRoutes) writeViaBalancer(ctx context.Context, write platform.Write) (store.Position, error) {
	writers := w.writers.Load()
	if writers == nil || len(*writers) == 0 || w.skipWriters {
		w.skipWriters = false
		return 0, errNoWriter
	}
	writer := (*writers)[rand.IntN(len(*writers))]
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	var connected atomic.Bool
	connectTimer := time.AfterFunc(writerConnect, func() {
		if !connected.Load() {
			cancel()
		}
	})
	defer connectTimer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	var answer writeAnswer
	err := peercall.Post(ctx, &w.peers, writer, entryPath, write, maxWrittenBytes, &answer)
	switch {
	case err == nil:
		w.skipWriters = answer.Outcome == outcomeUnavailable
		return answer.At, answer.err()
	case !connected.Load() || errors.Is(err, peercall.ErrRefused) || errors.Is(err, peercall.ErrUnknownCall):
		return 0, errors.Wrap(errNotSent, err.Error())
	}
	w.skipWriters = true
	return 0, errors.Wrap(store.ErrOutcomeUnknown, err.Error())
}
