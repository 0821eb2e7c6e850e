package request

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/dispatch"
)

const (
	methodFeedOpen  = siblingService + ".FeedOpen"
	methodFeedNext  = siblingService + ".FeedNext"
	methodFeedClose = siblingService + ".FeedClose"
)

const (
	// feedPollTimeout is how long FeedNext waits for the next event.
	feedPollTimeout = 10 * time.Second
	// feedPollMargin is added to feedPollTimeout by the agent that calls FeedNext, for
	// the network round trip.
	feedPollMargin = 5 * time.Second
	// relayIdleTimeout is the time without a call of FeedNext after which a relay is
	// ended.
	relayIdleTimeout = 30 * time.Second
	// relayBuffer is the size of one read from the upstream in bytes.
	relayBuffer = 512
)

// errNoRelay means that a relay has ended or never existed.
var errNoRelay = errors.New("request: no open feed with that id")

// FeedOpenReply identifies the relay.
type FeedOpenReply struct{ Relay dispatch.ID }

// FeedArgs identifies a relay.
type FeedArgs struct{ Relay dispatch.ID }

// FeedNextReply carries complete events. It is empty, and not ended, if no event came
// within feedPollTimeout.
type FeedNextReply struct {
	Events []byte
	Ended  bool
}

// relay reads a feed of the local upstream on behalf of a sibling.
type relay struct {
	next chan FeedNextReply // unbuffered, so that a sent reply has been received
	done <-chan struct{}
	stop context.CancelFunc
	idle *time.Timer
}

// relays holds the open relays of this agent.
type relays struct {
	mu   sync.Mutex
	open map[dispatch.ID]*relay
}

func (r *relays) add(id dispatch.ID, one *relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = map[dispatch.ID]*relay{}
	}
	r.open[id] = one
}

func (r *relays) get(id dispatch.ID) *relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[id]
}

func (r *relays) remove(id dispatch.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
}

// stopAll ends all relays, so that their owners resume the feeds elsewhere.
func (r *relays) stopAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.open {
		one.stop()
	}
}

// FeedOpen opens a feed for a sibling whose upstream has failed or that is draining.
func (s *Sibling) FeedOpen(call *Call, reply *FeedOpenReply) error {
	h := s.handler
	if call.Service != h.o.Service {
		return errOtherService
	}
	j, err := h.forwardedJob(call)
	if err != nil {
		return err
	}
	if j.class.Kind != config.KindFeed {
		return errors.New("request: class of the forwarded call is not a feed")
	}
	reply.Relay = j.id
	return h.startRelay(j)
}

func (h *Handler) startRelay(j *job) error {
	ctx, stop := context.WithCancel(h.links.ctx)
	if err := h.admitFeed(ctx, j); err != nil {
		stop()
		return err
	}
	source, response, err := h.openLocal(ctx, j)
	if err == nil && !h.canFailOver(j, response) {
		_ = source.Close()
		err = errors.Errorf("request: upstream answered the feed with status %d, or the feed can't be resumed", response.StatusCode)
	}
	if err != nil {
		stop()
		h.engine.post(feedClosing{id: j.id})
		return err
	}
	one := &relay{
		next: make(chan FeedNextReply),
		done: ctx.Done(),
		stop: stop,
		idle: time.AfterFunc(relayIdleTimeout, stop),
	}
	h.relays.add(j.id, one)
	go h.pump(ctx, j.id, one, source)
	return nil
}

// admitFeed requests a connection for the feed and waits for it.
func (h *Handler) admitFeed(ctx context.Context, j *job) error {
	if !h.engine.post(feedOpening{job: j}) {
		return errors.New(string(reasonStopped))
	}
	if a, refuse := h.await(ctx, j).(dispatch.Refuse); refuse {
		return errors.New(string(a.Reason))
	}
	return nil
}

// pump reads complete events from the source and hands them to FeedNext until the feed
// or the relay ends.
func (h *Handler) pump(ctx context.Context, id dispatch.ID, one *relay, source feedSource) {
	defer h.engine.post(feedClosing{id: id})
	defer h.relays.remove(id)
	defer one.idle.Stop()
	defer one.stop()
	defer source.Close()
	var events events
	buffer := make([]byte, relayBuffer)
	for {
		n, err := source.Read(buffer)
		if complete := events.add(buffer[:n]); len(complete) > 0 && !one.offer(ctx, FeedNextReply{Events: complete}) {
			return
		}
		if err == io.EOF {
			one.offer(ctx, FeedNextReply{Events: events.partial, Ended: true})
			return
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) offer(ctx context.Context, reply FeedNextReply) bool {
	select {
	case r.next <- reply:
		return true
	case <-ctx.Done():
		return false
	}
}

// FeedNext returns the next events. It waits up to feedPollTimeout for them.
func (s *Sibling) FeedNext(args *FeedArgs, reply *FeedNextReply) error {
	one := s.handler.relays.get(args.Relay)
	if one == nil {
		return errNoRelay
	}
	one.idle.Reset(relayIdleTimeout)
	timer := time.NewTimer(feedPollTimeout)
	defer timer.Stop()
	select {
	case *reply = <-one.next:
	case <-one.done:
		return errNoRelay
	case <-timer.C:
	}
	return nil
}

// FeedClose ends a relay.
func (s *Sibling) FeedClose(args *FeedArgs, _ *SignalReply) error {
	if one := s.handler.relays.get(args.Relay); one != nil {
		one.stop()
	}
	return nil
}

// remoteFeed reads a feed through a relay at a sibling.
type remoteFeed struct {
	ctx     context.Context
	handler *Handler
	sibling netip.AddrPort
	relay   dispatch.ID
	left    []byte
	ended   bool
}

// openRemote opens a feed at a sibling.
func (h *Handler) openRemote(ctx context.Context, sibling netip.AddrPort, call *Call) (feedSource, error) {
	opening, cancel := context.WithTimeout(ctx, signalTimeout)
	defer cancel()
	var reply FeedOpenReply
	if err := h.o.Caller.Call(opening, sibling, methodFeedOpen, call, &reply); err != nil {
		return feedSource{}, err
	}
	feedCtx, interrupt := context.WithCancel(ctx)
	feed := &remoteFeed{ctx: feedCtx, handler: h, sibling: sibling, relay: reply.Relay}
	return feedSource{ReadCloser: feed, interrupt: interrupt}, nil
}

// Read returns the next events.
func (f *remoteFeed) Read(p []byte) (int, error) {
	for len(f.left) == 0 {
		if f.ended {
			return 0, io.EOF
		}
		ctx, cancel := context.WithTimeout(f.ctx, feedPollTimeout+feedPollMargin)
		reply := &FeedNextReply{}
		err := f.handler.o.Caller.Call(ctx, f.sibling, methodFeedNext, &FeedArgs{Relay: f.relay}, reply)
		cancel()
		if err != nil {
			return 0, errors.Wrap(err, "request: read feed from sibling")
		}
		f.left, f.ended = reply.Events, reply.Ended
	}
	n := copy(p, f.left)
	f.left = f.left[n:]
	return n, nil
}

// Close asks the sibling to end the relay. Without this call the relay would end after
// relayIdleTimeout.
func (f *remoteFeed) Close() error {
	go func() {
		args := FeedArgs{Relay: f.relay}
		if err := f.handler.links.call(f.sibling, methodFeedClose, &args, &SignalReply{}); err != nil {
			f.handler.log.Debug("Could not close a feed at a sibling.", "error", err)
		}
	}()
	return nil
}
