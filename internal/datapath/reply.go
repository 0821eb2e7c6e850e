package datapath

import (
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/encap"
)

type replyCounters struct {
	*counters
	replies, probes *metrics.Counter
	// heard counts datagrams of agents that are thought to be gone.
	heard *metrics.Counter
}

func newReplyCounters() *replyCounters {
	return &replyCounters{
		counters: newCounters("reply"),
		replies:  metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="reply"}`),
		probes:   metrics.GetOrCreateCounter(`saltbend_balancer_probes_total`),
		heard:    metrics.GetOrCreateCounter(`saltbend_balancer_gone_heard_total`),
	}
}

// replier decides on the datagrams of agents; it belongs to one goroutine.
type replier struct {
	view
	toAgents *queue
	counters *replyCounters
}

// serveReplies carries what agents send until the data socket is closed.
func (p *Path) serveReplies() {
	r := &replier{toAgents: p.toAgents, counters: p.reply}
	buffer := make([]byte, bufferSize)
	for {
		end, from, err := receive(p.data, buffer, 0)
		if err != nil {
			return
		}
		r.use(p.snapshot.Load())
		buffer = r.handle(buffer, end, from)
	}
}

// handle queues the first end bytes of the buffer where they belong, or counts
// why not. It returns the buffer to use next.
func (r *replier) handle(buffer []byte, end int, from netip.AddrPort) []byte {
	if end > encap.MaxDatagram {
		return r.dropped(buffer, Oversized)
	}
	h, _, err := r.keys.Headers.Decode(buffer[:end])
	if err != nil {
		return r.dropped(buffer, headerReason(err))
	}
	known := len(r.snapshot.Gone) != 0 && r.heard(from)
	switch h.Kind {
	case encap.KindReply:
		return r.reply(buffer, end, &h)
	case encap.KindProbe:
		return r.probe(buffer, &h, from)
	case encap.KindProbeReply:
		if known {
			return buffer
		}
	}
	return r.dropped(buffer, WrongKind)
}

// heard notes a sign of life of an agent that is thought to be gone, and reports
// whether the sender is one.
func (r *replier) heard(from netip.AddrPort) bool {
	g := r.snapshot.Gone[from]
	if g == nil {
		return false
	}
	g.heard()
	r.counters.heard.Inc()
	return true
}

func (r *replier) dropped(buffer []byte, reason Reason) []byte {
	r.counters.drops[reason].Inc()
	return buffer
}

// reply queues the payload at the socket of the caller's face.
func (r *replier) reply(buffer []byte, end int, h *encap.Header) []byte {
	face := r.snapshot.Faces[h.Face]
	if face == nil {
		return r.dropped(buffer, NoFace)
	}
	if !face.carries(h.Service) {
		return r.dropped(buffer, OtherService)
	}
	if !h.Caller.IsValid() {
		return r.dropped(buffer, BadHeader)
	}
	r.counters.replies.Inc()
	return face.Socket.replies.add(buffer, encap.HeaderSize, end, h.Caller)
}

// probe turns a probe into its answer.
func (r *replier) probe(buffer []byte, h *encap.Header, from netip.AddrPort) []byte {
	if !from.Addr().Is4() {
		return r.dropped(buffer, BadSource)
	}
	h.Kind = encap.KindProbeReply
	if r.keys.Headers.Encode(buffer, h) != nil {
		return r.dropped(buffer, BadHeader)
	}
	r.counters.probes.Inc()
	return r.toAgents.add(buffer, 0, encap.HeaderSize, from)
}
