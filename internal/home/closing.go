package home

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/ticket"
)

// maxClosings bounds the closings that a process keeps. The closing with the oldest
// incarnation is dropped first.
const maxClosings = 32

// inheritTimeout bounds the time for sending the closings when the process stops.
const inheritTimeout = 2 * time.Second

// closings holds the closings (final records, see ticket.Closing) of homes that have
// stopped gracefully. A process that stops sends them to its siblings together with its
// own, so that they survive a rolling restart of all agents.
type closings struct {
	mu   sync.Mutex
	held []ticket.Closing // by incarnation, latest first
}

// add keeps a closing unless there is already one of the same home and incarnation.
func (c *closings) add(closing ticket.Closing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.find(closing.Home, closing.Incarnation) != nil {
		return
	}
	c.held = append(c.held, closing)
	slices.SortFunc(c.held, func(a, b ticket.Closing) int { return cmp.Compare(b.Incarnation, a.Incarnation) })
	c.held = c.held[:min(len(c.held), maxClosings)]
}

func (c *closings) find(home netip.AddrPort, incarnation uint64) *ticket.Closing {
	for i := range c.held {
		if c.held[i].Home == home && c.held[i].Incarnation == incarnation {
			return &c.held[i]
		}
	}
	return nil
}

// outcome returns the outcome of a ticket according to the closing of its home. ok is
// false if there is no such closing.
func (c *closings) outcome(t ticket.Ticket) (o ticket.Outcome, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closing := c.find(t.Home, t.Incarnation)
	if closing == nil {
		return 0, false
	}
	return closing.Outcome(t.Nonce), true
}

func (c *closings) all() []ticket.Closing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.held)
}

// Close stops the home gracefully: it voids queued and unused tickets, waits until
// running requests have ended or ctx ends, and sends the siblings a closing that lists
// the tickets that may have run. No request runs under a ticket of this process
// afterwards.
func (h *Home) Close(ctx context.Context) {
	h.mu.Lock()
	for _, nonce := range h.window.Close() {
		h.abandon(nonce)
	}
	idle := h.whenIdle()
	h.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	h.mu.Lock()
	own, _ := h.window.Closing()
	h.mu.Unlock()
	own.Home, own.Incarnation = h.o.Self.Control, h.o.Self.Incarnation
	h.closings.add(own)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), inheritTimeout)
	defer cancel()
	h.sendClosings(bounded)
}

// whenIdle returns a channel that is closed when no ticket is queued or running.
func (h *Home) whenIdle() <-chan struct{} {
	idle := make(chan struct{})
	h.idle = idle
	h.signalIdle() // sets h.idle to nil if there is nothing to wait for
	return idle
}

func (h *Home) signalIdle() {
	if h.idle != nil && len(h.runs) == 0 {
		close(h.idle)
		h.idle = nil
	}
}

// sendClosings sends all closings to each sibling.
func (h *Home) sendClosings(ctx context.Context) {
	snapshot := h.o.Source.Snapshot()
	if snapshot == nil {
		return
	}
	var calls sync.WaitGroup
	for _, m := range snapshot.Agents {
		if m.Control == h.o.Self.Control || m.Service != h.o.Self.Service {
			continue
		}
		calls.Go(func() { h.sendClosingsTo(ctx, m.Control) })
	}
	calls.Wait()
}

// sendClosingsTo sends the closings one by one, because all together could exceed the
// size limit of a message.
func (h *Home) sendClosingsTo(ctx context.Context, sibling netip.AddrPort) {
	for _, closing := range h.closings.all() {
		args := &InheritArgs{Service: h.o.Self.Service, Closing: closing}
		if err := h.o.Caller.Call(ctx, sibling, methodInherit, args, &InheritReply{}); err != nil {
			h.log.Info("Could not send the closing of a home to a sibling.", slog.String("sibling", sibling.String()), slog.Any("error", err))
			return
		}
	}
}

// InheritArgs carries the closing of a home.
type InheritArgs struct {
	Service string
	Closing ticket.Closing
}

// InheritReply is empty.
type InheritReply struct{}

// Inherit receives the closing of a home of the same service.
func (s *Service) Inherit(args *InheritArgs, _ *InheritReply) error {
	if args.Service == s.home.o.Self.Service {
		s.home.closings.add(args.Closing)
	}
	return nil
}

// afterClose returns the decision about a ticket of a home that has stopped gracefully.
func afterClose(o ticket.Outcome) request.Decision {
	return settled(ticket.Result{Outcome: o})
}
