package request

import (
	"context"

	"github.com/saltbend/saltbend/internal/dispatch"
	"github.com/saltbend/saltbend/internal/member"
)

// Limits that apply until the first configuration arrives.
const (
	defaultSlots = 1
	defaultQueue = 16
	defaultFeeds = 100
)

// follow sends the engine the present limits and siblings after each change of the
// configuration or the member list.
func (h *Handler) follow(ctx context.Context) {
	for {
		changed := h.o.Source.Changed()
		h.engine.post(serviceUpdate{limits: h.limits(), siblings: h.siblings()})
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// limits returns the configured limits of the local upstream.
func (h *Handler) limits() dispatch.Limits {
	service := h.service()
	if service == nil {
		return dispatch.Limits{Slots: defaultSlots, Queue: defaultQueue, Feeds: defaultFeeds}
	}
	l := service.Limits
	feeds := max(l.Connections-l.Slots, 0) // each slot needs its own connection
	return dispatch.Limits{Slots: l.Slots, Queue: l.Queue, Feeds: feeds}
}

// siblings returns the other ready agents of the service.
func (h *Handler) siblings() []dispatch.Sibling {
	snapshot := h.o.Source.Snapshot()
	if snapshot == nil || h.o.Caller == nil {
		return nil
	}
	var out []dispatch.Sibling
	for _, m := range snapshot.Agents {
		if m.Service == h.o.Service && m.State == member.StateReady && m.Control != h.o.Self {
			out = append(out, m.Control)
		}
	}
	return out
}
