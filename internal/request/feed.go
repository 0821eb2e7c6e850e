package request

import (
	"net/http"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/dispatch"
)

// serveFeed passes a feed on for as long as it lasts. It takes a connection
// and no slot.
func (h *Handler) serveFeed(w http.ResponseWriter, r *http.Request, class config.Class) {
	j := &job{
		id:    h.engine.nextID(),
		class: class,
		next:  make(chan dispatch.Action, 1),
		call: &Call{
			Service: h.o.Service,
			Method:  r.Method,
			URI:     r.URL.RequestURI(),
			Header:  endToEnd(r.Header),
		},
	}
	if !h.engine.post(feedOpening{job: j}) {
		h.write(w, class.Name, refused(dispatch.Refuse{Reason: reasonStopped}))
		return
	}
	if a, refuse := h.await(r.Context(), j).(dispatch.Refuse); refuse {
		h.write(w, class.Name, refused(a))
		return
	}
	defer h.engine.post(feedClosing{id: j.id})
	h.finish(w, class.Name, h.passFeed(w, r, j))
}

func (h *Handler) passFeed(w http.ResponseWriter, r *http.Request, j *job) end {
	request, err := j.upstreamRequest(r.Context())
	if err != nil {
		return h.failed(j, err)
	}
	response, err := h.o.Upstream.Run(r.Context(), request, j.class)
	if err != nil {
		return h.failed(j, err)
	}
	defer response.Body.Close()
	head := &Answer{Outcome: OutcomeComplete, Status: response.StatusCode, Header: endToEnd(response.Header)}
	err = h.stream(w, head, response.Body)
	return end{streamed: true, cut: err != nil}
}
