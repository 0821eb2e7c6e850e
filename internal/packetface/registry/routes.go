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

// detourTime is how long an agent whom the store turned away makes its calls by
// way of a balancer before it tries the store itself again.
const detourTime = 5 * time.Second

// ways are the ways to the store: straight, or by way of a balancer that the
// settings name as a seed. It is used from one goroutine, but for setSeeds.
type ways struct {
	straight *platform.Store
	detours  atomic.Pointer[[]*platform.Store]
	writers  atomic.Pointer[[]netip.AddrPort]
	// peers calls the writers; past tells that the next write is made without them, as
	// the last one did not answer or was turned away by the store.
	peers http.Client
	past  bool
	// at is the way in use, 0 for the straight one; until is when it is left.
	at    int
	until time.Duration
}

// newWays returns the straight way alone. Connections to balancers are not kept: an agent
// writes rarely, and thousands do.
func newWays(s *platform.Store) ways {
	return ways{straight: s, peers: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// setSeeds names the control addresses of balancers.
func (w *ways) setSeeds(seeds []netip.AddrPort) {
	detours := make([]*platform.Store, len(seeds))
	for i, seed := range seeds {
		detours[i] = w.straight.Through(seed)
	}
	w.detours.Store(&detours)
	w.writers.Store(&seeds)
}

func (w *ways) seeds() []*platform.Store {
	if detours := w.detours.Load(); detours != nil {
		return *detours
	}
	return nil
}

// store returns the way to use now.
func (w *ways) store(now time.Duration) *platform.Store {
	detours := w.seeds()
	if w.at > len(detours) || now >= w.until {
		w.at = 0
	}
	if w.at == 0 {
		return w.straight
	}
	return detours[w.at-1]
}

// failed goes on to the next way.
func (w *ways) failed(now time.Duration) {
	w.at = (w.at + 1) % (len(w.seeds()) + 1)
	w.until = now + detourTime
}

// writeThrough lets one of the balancers write an entry. errNotSent says that none got it.
func (w *ways) writeThrough(ctx context.Context, write platform.Write) (store.Position, error) {
	writers := w.writers.Load()
	if writers == nil || len(*writers) == 0 || w.past {
		w.past = false
		return 0, errNoWriter
	}
	writer := (*writers)[rand.IntN(len(*writers))]
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	var connected atomic.Bool
	unreached := time.AfterFunc(writerConnect, func() {
		if !connected.Load() {
			cancel()
		}
	})
	defer unreached.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	var answer writeAnswer
	err := peercall.Post(ctx, &w.peers, writer, entryPath, write, maxWrittenBytes, &answer)
	switch {
	case err == nil:
		w.past = answer.Outcome == outcomeNone
		return answer.At, answer.err()
	case !connected.Load() || errors.Is(err, peercall.ErrRefused) || errors.Is(err, peercall.ErrUnknownCall):
		return 0, errors.Wrap(errNotSent, err.Error())
	}
	w.past = true
	return 0, errors.Wrap(store.ErrOutcomeUnknown, err.Error())
}
