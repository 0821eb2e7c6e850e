package flow

import (
	"net"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/encap"
)

// ReadFrom implements net.PacketConn. It returns the next datagram from a caller
// and the caller's *Flow. It handles or drops the datagrams in between that are
// not for QUIC at this agent.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		if c.next == c.count {
			if err := c.readBatch(); err != nil {
				return 0, nil, err
			}
		}
		m := &c.messages[c.next]
		c.next++
		received.Inc()
		payload, f := c.handle(m.Buffers[0][:m.N])
		if f != nil {
			return copy(p, payload), f, nil
		}
	}
}

func (c *Conn) readBatch() error {
	c.next, c.count = 0, 0
	n, err := c.batch.ReadBatch(c.messages, 0)
	if err != nil {
		return err
	}
	c.count = n
	if k := c.keys.Swap(nil); k != nil {
		c.codec, c.tokens = k.codec, k.tokens
	}
	return nil
}

// handle processes one datagram. The flow is nil unless the datagram is for QUIC
// at this agent.
func (c *Conn) handle(b []byte) ([]byte, *Flow) {
	h, payload, err := c.codec.Decode(b)
	if err != nil {
		countDecode(err)
		return nil, nil
	}
	if h.Service != c.service {
		droppedService.Inc()
		return nil, nil
	}
	now := time.Now()
	switch h.Kind {
	case encap.KindForward, encap.KindHandOff:
		return c.handlePayload(now, h, payload)
	case encap.KindProbeReply:
		c.handleProbeReply(now, h)
	case encap.KindProbe:
		c.answerProbe(h)
	default:
		droppedKind.Inc()
	}
	return nil, nil
}

// answerProbe answers a balancer's probe. A probe that names the agent's own
// address as the balancer was meant for a balancer that had the address before,
// and is dropped.
func (c *Conn) answerProbe(h encap.Header) {
	if h.Balancer == c.Addr() || !h.Balancer.Addr().Is4() {
		droppedKind.Inc()
		return
	}
	d := c.writer.getDatagram()
	d.to = h.Balancer
	d.header = h
	d.header.Kind = encap.KindProbeReply
	c.writer.send(d, nil)
	probesReceived.Inc()
}

func (c *Conn) handleProbeReply(now time.Time, h encap.Header) {
	probesAnswered.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.Answered(now, h.Balancer, h.Revision)
}

func (c *Conn) handlePayload(now time.Time, h encap.Header, payload []byte) ([]byte, *Flow) {
	if len(payload) == 0 {
		droppedEmpty.Inc()
		return nil, nil
	}
	if dcid, ok := c.opensFlow(payload); ok {
		if c.admit != nil && !c.admit(h) {
			droppedFace.Inc()
			return nil, nil
		}
		if to := c.place(now, h, dcid, len(payload)); to.IsValid() {
			c.sendToSibling(h, payload, to)
			return nil, nil
		}
	}
	key := Key{Caller: h.Caller, Face: h.Face}
	c.mu.Lock()
	f := c.paths.Arrived(now, key, h.Balancer)
	c.mu.Unlock()
	return payload, f
}

// sendToSibling forwards a caller's datagram to a sibling. Only the kind in its header
// changes, to KindHandOff.
func (c *Conn) sendToSibling(h encap.Header, payload []byte, to netip.AddrPort) {
	d := c.writer.getDatagram()
	d.to = to
	d.header = h
	d.header.Kind = encap.KindHandOff
	c.writer.send(d, payload)
}

// opensFlow returns the destination connection ID of a long-header packet if the
// caller chose it, that is, if it is not one of the fleet's flow tokens. ok is
// false for all other packets.
func (c *Conn) opensFlow(payload []byte) (dcid []byte, ok bool) {
	dcid, ok = longHeaderDCID(payload)
	if !ok {
		return nil, false
	}
	_, err := c.tokens.Open(dcid, c.service)
	return dcid, err != nil
}

// place returns the sibling to send a new flow to, or the zero AddrPort when the
// flow stays at this agent. A flow that a sibling sent here always stays.
func (c *Conn) place(now time.Time, h encap.Header, dcid []byte, size int) netip.AddrPort {
	if c.handOff == nil {
		return netip.AddrPort{}
	}
	key := makeDCIDKey(dcid)
	if to, ok := c.placements.get(now, key); ok {
		return to
	}
	if h.Kind == encap.KindHandOff || size < minInitialSize {
		c.placements.put(now, key, netip.AddrPort{})
		return netip.AddrPort{}
	}
	to, ok := c.handOff(h, dcid)
	if !ok || to == c.Addr() {
		to = netip.AddrPort{}
	} else {
		handedOff.Inc()
	}
	c.placements.put(now, key, to)
	return to
}
