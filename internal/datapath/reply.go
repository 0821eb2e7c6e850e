package datapath

import (
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/encap"
)

type replyCounters struct {
	*counters
	replies, probes *metrics.Counter
	// goneResponses counts datagrams from addresses whose agents the fleet considers
	// gone.
	goneResponses *metrics.Counter
}

func newReplyCounters() *replyCounters {
	return &replyCounters{
		counters:      newCounters("reply"),
		replies:       metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="reply"}`),
		probes:        metrics.GetOrCreateCounter(`saltbend_balancer_probes_total`),
		goneResponses: metrics.GetOrCreateCounter(`saltbend_balancer_gone_heard_total`),
	}
}

// replier handles the datagrams that agents send. It must be used by one
// goroutine only.
type replier struct {
	view
	toAgents *queue
	counters *replyCounters
}

// serveReplies handles the datagrams that agents send until the data socket is
// closed.
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

// handle processes the datagram in the first end bytes of the buffer: it queues a
// reply for its caller, answers a probe, or counts the reason for a drop. It
// returns the buffer to use next.
func (r *replier) handle(buffer []byte, end int, from netip.AddrPort) []byte {
	if end > encap.MaxDatagram {
		return r.dropped(buffer, Oversized)
	}
	h, _, err := r.keys.Headers.Decode(buffer[:end])
	if err != nil {
		return r.dropped(buffer, headerReason(err))
	}
	fromGone := len(r.snapshot.GoneAddresses) != 0 && r.recordResponse(from)
	switch h.Kind {
	case encap.KindReply:
		return r.reply(buffer, end, &h)
	case encap.KindProbe:
		return r.answerProbe(buffer, &h, from)
	case encap.KindProbeReply:
		if fromGone {
			return buffer
		}
	}
	return r.dropped(buffer, WrongKind)
}

// recordResponse records a response if the sender's address is one whose agents
// the fleet considers gone, and reports whether it is.
func (r *replier) recordResponse(from netip.AddrPort) bool {
	g := r.snapshot.GoneAddresses[from]
	if g == nil {
		return false
	}
	g.recordResponse()
	r.counters.goneResponses.Inc()
	return true
}

func (r *replier) dropped(buffer []byte, reason Reason) []byte {
	r.counters.drops[reason].Inc()
	return buffer
}

// reply queues the payload for sending through the socket of the face that the
// caller uses.
func (r *replier) reply(buffer []byte, end int, h *encap.Header) []byte {
	face := r.snapshot.Faces[h.Face]
	if face == nil {
		return r.dropped(buffer, NoFace)
	}
	if !face.accepts(h.Service) {
		return r.dropped(buffer, OtherService)
	}
	if !h.Caller.IsValid() {
		return r.dropped(buffer, BadHeader)
	}
	r.counters.replies.Inc()
	return face.Socket.replies.add(buffer, encap.HeaderSize, end, h.Caller)
}

// answerProbe turns a probe into its answer and queues it for the sender.
func (r *replier) answerProbe(buffer []byte, h *encap.Header, from netip.AddrPort) []byte {
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
