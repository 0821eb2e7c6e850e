package registry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

const (
	// entryPath is the path at which a balancer accepts the writes of agents.
	entryPath = "/packet/entry"
	// maxWriteBytes bounds the body of a request to entryPath.
	maxWriteBytes = 4 * maxEntryBytes
)

var (
	// batchedWrites counts the entries that this balancer has written for agents.
	batchedWrites = metrics.NewCounter(`saltbend_packet_entry_writes_for_others_total`)
	// batchCalls counts the calls of the store with which this balancer has tried to write
	// entries for agents.
	batchCalls = metrics.NewCounter(`saltbend_packet_entry_batches_total`)
)

// outcome is the result of a write, as an agent receives it.
type outcome string

// Values of outcome.
const (
	outcomeDone     outcome = "done"
	outcomeConflict outcome = "conflict"
	// outcomeLeaseEnded means that the entry's lease has ended and nothing was written.
	outcomeLeaseEnded outcome = "lease-ended"
	// outcomeUnavailable means that the store did not do the call and nothing was written.
	outcomeUnavailable outcome = "unavailable"
	outcomeUnknown     outcome = "unknown"
)

// writeAnswer is the answer to a write, encoded as JSON.
type writeAnswer struct {
	Outcome outcome
	// At is the position of the write if the outcome is outcomeDone.
	At store.Position
}

// outcomes maps each outcome except outcomeUnknown to its error.
var outcomes = map[outcome]error{
	outcomeDone:        nil,
	outcomeConflict:    store.ErrConflict,
	outcomeLeaseEnded:  platform.ErrLeaseEnded,
	outcomeUnavailable: store.ErrUnavailable,
}

// err returns the error of the outcome. An outcome that this version does not know means
// that the write may or may not have been done.
func (w writeAnswer) err() error {
	err, known := outcomes[w.Outcome]
	if !known {
		return errors.Wrapf(store.ErrOutcomeUnknown, "outcome %.40q", string(w.Outcome))
	}
	return err
}

// outcomeOf returns the outcome for an error of the store.
func outcomeOf(err error) outcome {
	for outcome, is := range outcomes {
		if is != nil && errors.Is(err, is) {
			return outcome
		}
	}
	if err == nil {
		return outcomeDone
	}
	return outcomeUnknown
}

// writer writes the entries of agents, many in one call.
type writer struct {
	store   *platform.Store
	log     *slog.Logger
	started time.Time
	// mu guards batch.
	mu    sync.Mutex
	batch batch[chan<- writeAnswer]
}

func newWriter(s *platform.Store, log *slog.Logger) *writer {
	return &writer{store: s, log: log, started: time.Now()}
}

// serve queues the write of an agent and answers when its outcome is known.
func (w *writer) serve(out http.ResponseWriter, r *http.Request) {
	var write platform.Write
	if err := json.NewDecoder(http.MaxBytesReader(out, r.Body, maxWriteBytes)).Decode(&write); err != nil || !isEntryWrite(write) {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := make(chan writeAnswer, 1)
	w.mu.Lock()
	w.batch.add(pending[chan<- writeAnswer]{write, answer})
	w.schedule()
	w.mu.Unlock()
	select {
	case <-r.Context().Done(): // the agent is gone or timed out; in the second case it reads the entry
	case a := <-answer:
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(a) // an error means that the agent has disconnected
	}
}

// isEntryWrite reports whether the write is one that an agent makes for its entry.
func isEntryWrite(w platform.Write) bool {
	_, err := decodeEntry(platform.Item{Key: w.Key, Value: w.Value, Lease: w.Lease})
	return err == nil && !w.Delete
}

// schedule sets a timer for the next call. mu must be held.
func (w *writer) schedule() {
	wait, ok := w.batch.due(time.Since(w.started))
	if !ok {
		return
	}
	time.AfterFunc(wait, w.writeDue)
}

// writeDue makes the next call if it is due and none is running.
func (w *writer) writeDue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Since(w.started) + 1 // 0 means that there was no call yet
	if wait, ok := w.batch.due(now); ok && wait == 0 {
		go w.write(w.batch.take(now))
	}
}

// write applies the given writes and sends each outcome to the request that waits for it.
func (w *writer) write(all []pending[chan<- writeAnswer]) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	for _, group := range w.apply(ctx, all) {
		for _, p := range group.members {
			p.waiter <- group.writeAnswer
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.batch.done()
	w.schedule()
}

// batchTimeout bounds all calls for one batch. A slow store answers a call in some 240
// ms.
const batchTimeout = 3 * time.Second

// applied is the common outcome of some writes.
type applied struct {
	members []pending[chan<- writeAnswer]
	writeAnswer
}

// apply makes the writes in one call. If the store refuses the call because of one of the
// writes, apply splits the writes into halves and makes each half in a call of its own, so
// that one stale write among 16 costs eight further calls.
func (w *writer) apply(ctx context.Context, all []pending[chan<- writeAnswer]) []applied {
	writes := make([]platform.Write, len(all))
	for i, p := range all {
		writes[i] = p.write
	}
	at, err := w.store.Apply(ctx, writes...)
	batchCalls.Inc()
	refused := errors.Is(err, store.ErrConflict) || errors.Is(err, platform.ErrLeaseEnded)
	if refused && len(all) > 1 {
		half := len(all) / 2
		return append(w.apply(ctx, all[:half]), w.apply(ctx, all[half:])...)
	}
	if err != nil {
		w.log.Warn("Entries of agents not written.", "entries", len(all), "error", err.Error())
	} else {
		batchedWrites.Add(len(all))
		w.log.Info("Entries of agents written.", "entries", len(all), "at", at)
	}
	return []applied{{all, writeAnswer{outcomeOf(err), at}}}
}
