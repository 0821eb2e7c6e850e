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
	// headerLastEventID is the header field that asks the upstream to resume a feed
	// after the event with the id in the field.
	headerLastEventID = "Last-Event-Id"
	// maxResumes bounds the consecutive failovers of a feed without an event in
	// between.
	maxResumes = 3
	// maxConcurrentMigrations bounds the feeds that migrate to siblings at the same
	// time.
	maxConcurrentMigrations = 32
)

var (
	errFeedClosed = errors.New("request: feed was closed")
	errNoSibling  = errors.New("request: no sibling")
)

// feedSource supplies the events of a feed: the local upstream or a sibling.
type feedSource struct {
	io.ReadCloser
	// interrupt makes Read return.
	interrupt context.CancelFunc
}

func (s feedSource) stop() {
	s.interrupt()
	_ = s.Close() // an error doesn't matter: the source isn't read any more
}

// failoverFeed is the body of a feed (a stream of server-sent events) that can change
// its source. If the source fails or the agent drains, the feed resumes at a sibling
// after the last event that was sent to the caller.
type failoverFeed struct {
	handler *Handler
	ctx     context.Context
	call    *Call
	class   config.Class

	// out and resumes are used by the goroutine that calls Read only.
	out     []byte
	resumes int

	mu     sync.Mutex
	events events
	source feedSource
	// next replaces source once the reader has returned from the interrupted Read.
	// Data that source returns until then is dropped, because next sends it again.
	next *feedSource
	// migratePending is set if the feed has to migrate as soon as it can be
	// resumed.
	migratePending bool
	closed         bool
}

// newFailoverFeed returns a body that reads from the source and can fail over to a
// sibling.
func (h *Handler) newFailoverFeed(ctx context.Context, j *job, source feedSource) *failoverFeed {
	f := &failoverFeed{handler: h, ctx: ctx, call: j.call, class: j.class, source: source}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.feeds[f] = struct{}{}
	return f
}

// canFailOver reports whether the feed that the response starts can be resumed from
// another source.
func (h *Handler) canFailOver(j *job, response *http.Response) bool {
	return h.o.Caller != nil && j.class.Resume && response.StatusCode == http.StatusOK &&
		upstream.IsEvents(response.Header) && response.Header.Get("Content-Encoding") == ""
}

// migrateFeeds migrates all open feeds to siblings where that is possible.
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
	_ = moves.Wait() // always nil: a feed that no sibling accepts stays here
}

// migrate opens the feed at a sibling and then switches to it. A feed that can't be
// resumed yet is marked to migrate later.
func (f *failoverFeed) migrate() {
	for range maxResumes {
		id, ok := f.resumePoint()
		if !ok {
			return
		}
		next, err := f.openAtSibling(id)
		if err != nil {
			f.handler.log.Debug("No sibling accepted a feed; it stays on the local upstream.", "error", err)
			return
		}
		if f.switchTo(next, id) {
			f.handler.metrics.moved(f.class.Name, "feed")
			return
		}
	}
}

// resumePoint returns the id of the event after which the feed can be resumed. If it
// can't be resumed now, resumePoint sets migratePending.
func (f *failoverFeed) resumePoint() (id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.migratePending = !f.events.resumable
	return f.events.lastID, f.events.resumable && !f.closed && f.next == nil
}

// switchTo interrupts the present source in favour of next. If the feed has been
// closed, or events have been sent since next was opened, it stops next and returns
// false.
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

// Read returns complete events.
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

// add appends data from the source and reports whether there are events to send.
func (f *failoverFeed) add(read []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != nil {
		return false // the next source sends this data again
	}
	f.out = f.events.add(read)
	if f.migratePending && f.events.resumable {
		f.migratePending = false
		go f.migrate()
	}
	return len(f.out) > 0
}

// rest returns the remaining data of a feed that ended in the middle of an event.
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

// failOver replaces the source after its Read has failed or was interrupted. It returns
// the error that ends the feed if that isn't possible.
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
		return errors.Wrap(failure, "request: feed failed and no sibling accepted it")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.setSource(next)
}

// switchToNext replaces the source by the one that was opened in advance, if any.
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

// setSource makes next the source, unless the feed is closed. f.mu must be
// held.
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

// openAtSibling opens the feed at a sibling, starting after the event with the id. It
// tries the siblings in random order.
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

// Close closes the feed and its sources.
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

// openLocal opens a feed at the local upstream.
func (h *Handler) openLocal(ctx context.Context, j *job) (feedSource, *http.Response, error) {
	feedCtx, cancel := context.WithCancel(ctx)
	request, err := j.upstreamRequest(feedCtx)
	if err != nil {
		cancel()
		return feedSource{}, nil, err
	}
	response, err := h.o.Upstream.Run(feedCtx, request, j.class)
	if err != nil {
		cancel()
		return feedSource{}, nil, err
	}
	return feedSource{ReadCloser: response.Body, interrupt: cancel}, response, nil
}
