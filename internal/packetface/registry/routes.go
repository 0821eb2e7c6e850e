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
	// writerConnect is how long a balancer is waited for that is to write an entry, and
	// writerTimeout its answer, which may wait 200 ms for other entries and 240 ms for a
	// slow store. One that is frozen takes the call and does not answer, and an entry that
	// was lost is to be back within 2 s.
	writerConnect = 250 * time.Millisecond
	writerTimeout = 600 * time.Millisecond
	// maxWrittenBytes bounds the answer.
	maxWrittenBytes = 1 << 10
)

// errNotSent says that no balancer got the write, errNoWriter that none is known.
var (
	errNotSent  = errors.New("registry: not sent")
	errNoWriter = errors.Wrap(errNotSent, "no balancer is known")
)

// relayTime is how long an agent whom the store turned away makes its calls by
// way of a balancer before it tries the store itself again.
const relayTime = 5 * time.Second

// storeRoutes are the storeRoutes to the store: straight, or by way of a balancer that the
// settings name as a seed. It is used from one goroutine, but for setSeeds.
type storeRoutes struct {
	direct *platform.Store
	relays  atomic.Pointer[[]*platform.Store]
	writers  atomic.Pointer[[]netip.AddrPort]
	// peers calls the writers; past tells that the next write is made without them, as
	// the last one did not answer or was turned away by the store.
	peers http.Client
	skipWriters  bool
	// current is the way in use, 0 for the straight one; until is when it is left.
	current    int
	until time.Duration
}

// newStoreRoutes returns the straight way alone. Connections to balancers are not kept: an agent
// writes rarely, and thousands do.
func newStoreRoutes(s *platform.Store) storeRoutes {
	return storeRoutes{direct: s, peers: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// setSeeds names the control addresses of balancers.
func (w *storeRoutes) setSeeds(seeds []netip.AddrPort) {
	detours := make([]*platform.Store, len(seeds))
	for i, seed := range seeds {
		detours[i] = w.direct.Through(seed)
	}
	w.relays.Store(&detours)
	w.writers.Store(&seeds)
}

func (w *storeRoutes) seeds() []*platform.Store {
	if detours := w.relays.Load(); detours != nil {
		return *detours
	}
	return nil
}

// store returns the way to use now.
func (w *storeRoutes) store(now time.Duration) *platform.Store {
	detours := w.seeds()
	if w.current > len(detours) || now >= w.until {
		w.current = 0
	}
	if w.current == 0 {
		return w.direct
	}
	return detours[w.current-1]
}

// useNext goes on to the next way.
func (w *storeRoutes) useNext(now time.Duration) {
	w.current = (w.current + 1) % (len(w.seeds()) + 1)
	w.until = now + relayTime
}

// writeViaBalancer lets one of the balancers write an entry. errNotSent says that none got it.
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
