package request

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/upstream"
)

const (
	// headerLastEventID has a feed go on after the event with that id.
	headerLastEventID = "Last-Event-Id"
	// maxResumes bounds the changes of a feed that brought no event between.
	maxResumes = 3
	// maxConcurrentMigrations is the number of feeds that change their source at once.
	maxConcurrentMigrations = 32
)

var (
	errFeedClosed = errors.New("request: feed was closed")
	errNoSibling  = errors.New("request: no sibling")
)

// feedSource is where a feed's events come from: the own upstream or a sibling.
type feedSource struct {
	io.ReadCloser
	// interrupt makes Read return.
	interrupt context.CancelFunc
}

func (s feedSource) stop() {
	s.interrupt()
	_ = s.Close() // nothing is to be had from it any more
}

// failoverFeed is the body of a feed that outlives its source: when that fails,
// or the agent drains, the feed goes on at a sibling after the last event that
// the caller got.
type failoverFeed struct {
	handler *Handler
	ctx     context.Context
	call    *Call
	class   config.Class

	// out and resumes belong to the reader.
	out     []byte
	resumes int

	mu     sync.Mutex
	events events
	source feedSource
	// next is the source that takes over when the reader returns from the one
	// that was interrupted; what that gives until then comes again.
	next *feedSource
	// migratePending feeds change their source as soon as they can be resumed.
	migratePending bool
	closed         bool
}

// newFailoverFeed returns a body that outlives the response's own.
func (h *Handler) newFailoverFeed(ctx context.Context, j *job, source feedSource) *failoverFeed {
	f := &failoverFeed{handler: h, ctx: ctx, call: j.call, class: j.class, source: source}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.feeds[f] = struct{}{}
	return f
}

// canFailOver reports whether the feed of that response can change its source.
func (h *Handler) canFailOver(j *job, response *http.Response) bool {
	return h.o.Caller != nil && j.class.Resume && response.StatusCode == http.StatusOK &&
		upstream.IsEvents(response.Header) && response.Header.Get("Content-Encoding") == ""
}

// migrateFeeds has all feeds go on at siblings where they can.
func (h *Handler) migrateFeeds() {
	h.mu.Lock()
	feeds := slices.Collect(maps.Keys(h.feeds))
	h.mu.Unlock()
	var moves errgroup.Group
	moves.SetLimit(maxConcurrentMigrations)
	for _, f := range feeds {
		moves.Go(func() error {
			f.migrate()
			return nil
		})
	}
	_ = moves.Wait() // none fails: a feed that no sibling takes stays
}

// migrate opens the feed at a sibling and then leaves the present source. A feed
// that can't be resumed yet leaves when it can.
func (f *failoverFeed) migrate() {
	for range maxResumes {
		id, ok := f.resumePoint()
		if !ok {
			return
		}
		next, err := f.openAtSibling(id)
		if err != nil {
			f.handler.log.Debug("No sibling takes a feed.", "error", err)
			return
		}
		if f.switchTo(next, id) {
			f.handler.metrics.moved(f.class.Name, "feed")
			return
		}
	}
}

// resumePoint returns the id after which the feed can be resumed.
func (f *failoverFeed) resumePoint() (id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.migratePending = !f.events.resumable
	return f.events.lastID, f.events.resumable && !f.closed && f.next == nil
}

// switchTo interrupts the present source unless events have passed since the
// next one was opened.
func (f *failoverFeed) switchTo(next feedSource, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || !f.events.resumable || f.events.lastID != id {
		next.stop()
		return false
	}
	f.next = &next
	f.source.interrupt()
	return true
}

// Read returns whole events.
func (f *failoverFeed) Read(p []byte) (int, error) {
	for len(f.out) == 0 {
		n, err := f.current().Read(p)
		switch {
		case f.add(p[:n]):
			f.resumes = 0
		case err == nil:
		default:
			if err = f.failOver(err); err != nil {
				return f.rest(p, err)
			}
		}
	}
	n := copy(p, f.out)
	f.out = f.out[n:]
	return n, nil
}

// add adds what was read; it reports whether there are events to pass on.
func (f *failoverFeed) add(read []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != nil {
		return false // it comes again from the next source
	}
	f.out = f.events.add(read)
	if f.migratePending && f.events.resumable {
		f.migratePending = false
		go f.migrate()
	}
	return len(f.out) > 0
}

// rest returns what is left of a feed that ends in the middle of an event.
func (f *failoverFeed) rest(p []byte, err error) (int, error) {
	if err != io.EOF || len(f.events.partial) == 0 {
		return 0, err
	}
	n := copy(p, f.events.partial)
	f.events.partial = f.events.partial[n:]
	return n, nil
}

func (f *failoverFeed) current() feedSource {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// failOver changes the source after its Read has failed or was interrupted. It
// returns the error that ends the feed where it can't.
func (f *failoverFeed) failOver(failure error) error {
	if f.switchToNext() {
		return nil
	}
	ended := failure == io.EOF || f.ctx.Err() != nil
	if ended || f.resumes >= maxResumes || !f.resumable() {
		return failure
	}
	f.resumes++
	next, err := f.openAtSibling(f.events.lastID)
	if err != nil {
		return errors.Wrap(failure, "request: no sibling takes the feed")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.setSource(next)
}

// switchToNext makes the source that was opened in advance the present one.
func (f *failoverFeed) switchToNext() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == nil {
		return false
	}
	next := *f.next
	f.next = nil
	return f.setSource(next) == nil
}

// setSource makes next the source, unless the feed was closed. It is called with
// the lock held.
func (f *failoverFeed) setSource(next feedSource) error {
	if f.closed {
		next.stop()
		return errFeedClosed
	}
	f.source.stop()
	f.source = next
	f.events.dropPartial()
	return nil
}

func (f *failoverFeed) resumable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events.resumable && !f.closed
}

// openAtSibling opens the feed after the event with the id at a sibling.
func (f *failoverFeed) openAtSibling(id string) (next feedSource, err error) {
	call := *f.call
	call.Header = f.call.Header.Clone()
	call.Header.Set(headerLastEventID, id)
	err = errNoSibling
	siblings := f.handler.siblings()
	rand.Shuffle(len(siblings), func(i, j int) { siblings[i], siblings[j] = siblings[j], siblings[i] })
	for _, sibling := range siblings {
		if next, err = f.handler.openRemote(f.ctx, sibling, &call); err == nil {
			return next, nil
		}
	}
	return feedSource{}, err
}

// Close ends the feed.
func (f *failoverFeed) Close() error {
	f.handler.removeFeed(f)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	if f.next != nil {
		f.next.stop()
	}
	f.source.stop()
	return nil
}

func (h *Handler) removeFeed(f *failoverFeed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.feeds, f)
}

// openLocal opens a feed at the own upstream.
func (h *Handler) openLocal(ctx context.Context, j *job) (feedSource, *http.Response, error) {
	own, cancel := context.WithCancel(ctx)
	request, err := j.upstreamRequest(own)
	if err != nil {
		cancel()
		return feedSource{}, nil, err
	}
	response, err := h.o.Upstream.Run(own, request, j.class)
	if err != nil {
		cancel()
		return feedSource{}, nil, err
	}
	return feedSource{ReadCloser: response.Body, interrupt: cancel}, response, nil
}
