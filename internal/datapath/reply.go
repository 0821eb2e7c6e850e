package datapath

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/encap"
)

type replyCounters struct {
	*counters
	replies, probes *metrics.Counter
}

func newReplyCounters() *replyCounters {
	return &replyCounters{
		counters: newCounters("reply"),
		replies:  metrics.GetOrCreateCounter(`saltbend_balancer_forwarded_total{kind="reply"}`),
		probes:   metrics.GetOrCreateCounter(`saltbend_balancer_probes_total`),
	}
}

// replier is what the goroutine that carries replies works with.
type replier struct {
	counters *replyCounters
	in       *inbox
	// probes holds the answers to probes.
	probes *outbox
	// touched are the sockets with queued replies.
	touched []*Socket
	keys    *Keys
	own     Keys
}

func newReplier(c *replyCounters) *replier {
	return &replier{
		counters: c,
		in:       newInbox(0),
		probes:   newOutbox(),
		touched:  make([]*Socket, 0, BatchSize),
	}
}

// serveReplies carries what agents send until the data socket is closed.
func (p *Path) serveReplies() {
	r := newReplier(p.reply)
	for {
		n, ok := receive(p.io, r.in)
		if !ok {
			return
		}
		r.process(p.snapshot.Load(), n)
		for range r.probes.flush(p.io) {
			p.reply.drop(SendFailed)
		}
		r.flush()
	}
}

// process queues the first n datagrams of the inbox where they belong.
func (r *replier) process(s *Snapshot, n int) {
	if r.keys != s.Keys {
		r.keys, r.own = s.Keys, s.Keys.clone()
	}
	for i := range n {
		if reason := r.accept(s, i); reason != None {
			r.counters.drop(reason)
		}
	}
}

func (r *replier) accept(s *Snapshot, i int) Reason {
	b := r.in.datagram(i)
	if len(b) > encap.MaxDatagram {
		return Oversized
	}
	h, payload, err := r.own.Headers.Decode(b)
	if err != nil {
		return headerReason(err)
	}
	switch h.Kind {
	case encap.KindReply:
		return r.reply(s, &h, payload)
	case encap.KindProbe:
		return r.probe(&h, i)
	}
	return WrongKind
}

// reply queues the payload at the socket of the caller's face.
func (r *replier) reply(s *Snapshot, h *encap.Header, payload []byte) Reason {
	face := s.Faces[h.Face]
	if face == nil {
		return NoFace
	}
	if face.Service != h.Service {
		return OtherService
	}
	if !h.Caller.IsValid() {
		return BadHeader
	}
	if face.Socket.replies.n == 0 {
		r.touched = append(r.touched, face.Socket)
	}
	face.Socket.replies.add(payload, h.Caller)
	r.counters.replies.Inc()
	return None
}

// probe turns a probe into its answer in place.
func (r *replier) probe(h *encap.Header, i int) Reason {
	from := r.in.source(i)
	if !from.IsValid() {
		return BadSource
	}
	h.Kind = encap.KindProbeReply
	answer := r.in.buffers[i][:encap.HeaderSize]
	if err := r.own.Headers.Encode(answer, h); err != nil {
		return BadHeader
	}
	r.probes.add(answer, from)
	r.counters.probes.Inc()
	return None
}

// flush sends the queued replies.
func (r *replier) flush() {
	for _, s := range r.touched {
		for range s.replies.flush(s.io) {
			r.counters.drop(SendFailed)
		}
	}
	r.touched = r.touched[:0]
}
