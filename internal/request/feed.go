package request

import (
	"io"
	"net/http"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/dispatch"
	"github.com/saltbend/saltbend/internal/upstream"
)

// serveFeed serves a feed to the caller until it ends. A feed takes one of the limited
// connections and no slot.
func (h *Handler) serveFeed(w http.ResponseWriter, r *http.Request, class config.Class) {
	j := h.jobOf(r, class)
	if !h.engine.post(feedOpening{job: j}) {
		h.write(w, class.Name, refused(dispatch.Refuse{Reason: reasonStopped}))
		return
	}
	if a, refuse := h.await(r.Context(), j).(dispatch.Refuse); refuse {
		h.metrics.refused(class.Name, a.Reason)
		h.write(w, class.Name, refused(a))
		return
	}
	h.passFeed(w, r, j)
}

// passFeed opens the feed at the upstream and streams it to the caller. It returns when
// the feed has ended or once a background goroutine streams it.
func (h *Handler) passFeed(w http.ResponseWriter, r *http.Request, j *job) {
	source, response, err := h.openLocal(r.Context(), j)
	if err != nil {
		h.engine.post(feedClosing{id: j.id})
		h.finish(w, j.class.Name, h.failed(j, err))
		return
	}
	id, class, body := j.id, j.class.Name, io.ReadCloser(source)
	if h.canFailOver(j, response) {
		body = h.newFailoverFeed(r.Context(), j, source)
	}
	head := &Answer{Outcome: OutcomeComplete, Status: response.StatusCode, Header: endToEnd(response.Header)}
	writeHead(w, head, h.freshTicket())
	detached := upstream.IsEvents(response.Header) && upstream.Detach(w, body, func(err error) {
		h.engine.post(feedClosing{id: id})
		h.countStreamed(class, err != nil)
	})
	if detached {
		return
	}
	defer h.engine.post(feedClosing{id: id})
	defer body.Close()
	err = upstream.Stream(w, head.Header, body)
	h.finish(w, class, jobResult{streamed: true, truncated: err != nil})
}
