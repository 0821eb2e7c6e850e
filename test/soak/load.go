package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// Parameters of the load.
const (
	// pause is the maximum time between two requests of a flow.
	pause = 120 * time.Millisecond
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 6 * time.Second
	// longFlow is the number of requests of a long flow; every third flow of a worker has
	// a single request.
	longFlow = 40
)

// face is a public address and the service behind it.
type face struct {
	addr     netip.AddrPort
	service  string
	priority int
}

var faces = []face{
	{netip.MustParseAddrPort("198.18.0.1:443"), "results", 2},
	{netip.MustParseAddrPort("198.18.0.2:443"), "exams", 1},
}

// furtherFace is a face that only every second version of the configuration contains.
var furtherFace = netip.MustParseAddrPort("198.18.0.3:443")

// worker sends requests on one flow after the other.
type worker struct {
	id      int
	flows   int
	caller  *packetplatform.Caller
	checker *checker
}

func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.flows++
		w.flow(ctx, faces[(w.id+w.flows)%len(faces)])
	}
}

// flow opens a flow and sends its requests. It returns after the last one, after an error,
// or when ctx is cancelled.
func (w *worker) flow(ctx context.Context, f face) {
	flow, err := w.caller.Open(f.addr)
	if err != nil {
		w.failed(flow, "", err)
		_ = wait.For(ctx, pause) // the caller's loop checks ctx
		return
	}
	requests := longFlow
	if w.flows%3 == 0 {
		requests = 1
	}
	owner := ""
	for n := range requests {
		if ctx.Err() != nil {
			return
		}
		text := fmt.Sprintf("%s %d-%d-%d", f.service, w.id, w.flows, n)
		w.checker.asked()
		began := time.Now()
		answer, err := flow.Request(text)
		if err != nil {
			w.failed(flow, owner, err)
			return
		}
		owner = w.checker.answered(flow.ID(), f.service, text, answer, time.Since(began))
		_ = wait.For(ctx, rand.N(pause)) // the loop checks ctx
	}
}

func (w *worker) failed(flow *packetplatform.Flow, owner string, err error) {
	if errors.Is(err, packetplatform.ErrReset) {
		w.checker.reset(flow.ID(), owner)
		return
	}
	w.checker.timedOut()
}
