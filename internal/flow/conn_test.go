package flow

import (
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/quicid"
	"github.com/saltbend/saltbend/internal/token"
)

const waitTimeout = 20 * time.Second

// Offsets of the destination connection ID in a long header, in bytes.
const (
	dcidLenOffset = 5
	dcidOffset    = 6
)

func ring(g Gomega, secrets string) *keyring.Ring {
	r, err := keyring.Parse(secrets)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

const (
	oldSecret = "1:000102030405060708090a0b0c0d0e0f"
	newSecret = "2:101112131415161718191a1b1c1d1e1f"
)

// peer is the socket of a simulated balancer or sibling.
type peer struct {
	socket *net.UDPConn
	codec  *encap.Codec
}

func newPeer(t testing.TB, r *keyring.Ring) *peer {
	s, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	return &peer{socket: s, codec: encap.NewCodec(r)}
}

func (p *peer) addr() netip.AddrPort { return p.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

func (p *peer) header() encap.Header {
	return encap.Header{
		Kind: encap.KindForward, Caller: caller.Caller, Face: caller.Face,
		Service: config.TagOf("results"), Balancer: p.addr(),
	}
}

func (p *peer) send(g Gomega, to netip.AddrPort, h encap.Header, payload []byte) {
	b := make([]byte, encap.HeaderSize+len(payload))
	g.Expect(p.codec.Encode(b, &h)).To(Succeed())
	copy(b[encap.HeaderSize:], payload)
	_, err := p.socket.WriteToUDPAddrPort(b, to)
	g.Expect(err).NotTo(HaveOccurred())
}

// receive returns the header and payload of the next datagram that is not a
// probe.
func (p *peer) receive(g Gomega) (encap.Header, string) {
	b := make([]byte, 2048)
	g.Expect(p.socket.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	for {
		n, err := p.socket.Read(b)
		g.Expect(err).NotTo(HaveOccurred())
		h, payload, err := p.codec.Decode(b[:n])
		g.Expect(err).NotTo(HaveOccurred())
		if h.Kind != encap.KindProbe {
			return h, string(payload)
		}
	}
}

func listen(t testing.TB, handOff HandOffFunc) *Conn {
	g := NewWithT(t)
	c, err := Listen(Options{
		Data: netip.MustParseAddrPort("127.0.0.1:0"), Service: config.TagOf("results"),
		Ring: ring(g, oldSecret), HandOff: handOff,
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// nextPayload returns the next payload that c passes to QUIC, and its flow.
func nextPayload(g Gomega, c *Conn) (string, *Flow) {
	g.Expect(c.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	b := make([]byte, 2048)
	n, addr, err := c.ReadFrom(b)
	g.Expect(err).NotTo(HaveOccurred())
	return string(b[:n]), addr.(*Flow)
}

func TestOnlyValidDatagramsForTheServiceReachQUIC(t *testing.T) {
	g := NewWithT(t)
	c := listen(t, nil)
	b := newPeer(t, ring(g, oldSecret))
	stranger := newPeer(t, ring(g, "1:ff0102030405060708090a0b0c0d0e0f"))
	before := []uint64{droppedService.Get(), droppedForged.Get(), droppedKind.Get(), droppedEmpty.Get(), droppedShort.Get()}

	other := b.header()
	other.Service = config.TagOf("intake")
	b.send(g, c.Addr(), other, []byte("wrong service"))
	stranger.send(g, c.Addr(), stranger.header(), []byte("forged"))
	reply := b.header()
	reply.Kind = encap.KindReply
	b.send(g, c.Addr(), reply, []byte("wrong kind"))
	b.send(g, c.Addr(), b.header(), nil)
	_, err := b.socket.WriteToUDPAddrPort([]byte("short"), c.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	b.send(g, c.Addr(), b.header(), []byte("good"))

	payload, f := nextPayload(g, c)
	g.Expect(payload).To(Equal("good"))
	g.Expect(f.Key).To(Equal(caller))
	after := []uint64{droppedService.Get(), droppedForged.Get(), droppedKind.Get(), droppedEmpty.Get(), droppedShort.Get()}
	for i := range after {
		g.Expect(after[i]-before[i]).To(BeEquivalentTo(1), "reason %d", i)
	}
	_, err = c.WriteTo([]byte("answer"), f)
	g.Expect(err).NotTo(HaveOccurred())
	h, answer := b.receive(g)
	g.Expect(answer).To(Equal("answer"))
	g.Expect(h).To(Equal(encap.Header{
		Kind: encap.KindReply, Caller: caller.Caller, Face: caller.Face,
		Service: config.TagOf("results"), Balancer: b.addr(),
	}))
	_, err = c.WriteTo([]byte("answer"), &net.UDPAddr{})
	g.Expect(err).To(HaveOccurred())
}

func TestBalancerProbeIsAnsweredUnlessItNamesTheAgent(t *testing.T) {
	g := NewWithT(t)
	c := listen(t, nil)
	b := newPeer(t, ring(g, oldSecret))
	probe := encap.Header{Kind: encap.KindProbe, Service: config.TagOf("results"), Revision: 9, Balancer: b.addr()}
	self := probe
	self.Balancer = c.Addr()
	before := droppedKind.Get()
	b.send(g, c.Addr(), self, nil)
	b.send(g, c.Addr(), probe, nil)
	b.send(g, c.Addr(), b.header(), []byte("good"))
	nextPayload(g, c)
	h, _ := b.receive(g)
	probe.Kind = encap.KindProbeReply
	g.Expect(h).To(Equal(probe))
	g.Expect(droppedKind.Get()-before).To(BeEquivalentTo(1), "a probe that names the agent's address is for a former balancer")
}

func initial(dcid string) []byte {
	b := make([]byte, minInitialSize)
	copy(b, "\xc3\x00\x00\x00\x01")
	b[dcidLenOffset] = byte(len(dcid))
	copy(b[dcidOffset:], dcid)
	return b
}

func TestOnlyNewFlowsAreHandedOffAndOnlyOnce(t *testing.T) {
	g := NewWithT(t)
	sibling := newPeer(t, ring(g, oldSecret))
	c := listen(t, func(encap.Header, []byte) (netip.AddrPort, bool) { return sibling.addr(), true })
	b := newPeer(t, ring(g, oldSecret))

	b.send(g, c.Addr(), b.header(), initial("new-flow"))
	b.send(g, c.Addr(), b.header(), initial("new-flow")[:300]) // the rest of the ClientHello
	// A flow that a sibling sent here stays, even if a balancer then forwards it.
	handed := b.header()
	handed.Kind = encap.KindHandOff
	b.send(g, c.Addr(), handed, initial("for-here"))
	b.send(g, c.Addr(), b.header(), initial("for-here"))
	// A flow with a token stays, and so does a packet with a short header.
	ids, err := NewIDs(ring(g, oldSecret), c.Addr(), config.TagOf("results"), 1)
	g.Expect(err).NotTo(HaveOccurred())
	id, err := ids.GenerateConnectionID()
	g.Expect(err).NotTo(HaveOccurred())
	b.send(g, c.Addr(), b.header(), initial(string(id.Bytes())))
	b.send(g, c.Addr(), b.header(), []byte("\x40short header"))
	for range 4 {
		payload, _ := nextPayload(g, c)
		g.Expect(payload).NotTo(ContainSubstring("new-flow"))
	}
	for range 2 {
		h, payload := sibling.receive(g)
		g.Expect(h.Kind).To(Equal(encap.KindHandOff))
		g.Expect(h.Balancer).To(Equal(b.addr()), "the sibling replies through the same balancer")
		g.Expect(payload[dcidOffset : dcidOffset+8]).To(Equal("new-flow"))
	}
}

func TestAdmissionAppliesToNewFlowsOnly(t *testing.T) {
	g := NewWithT(t)
	c := listen(t, nil)
	c.admit = func(h encap.Header) bool { return h.Revision > 0 }
	b := newPeer(t, ring(g, oldSecret))
	before := droppedFace.Get()
	b.send(g, c.Addr(), b.header(), initial("refused!"))
	ids, err := NewIDs(ring(g, oldSecret), c.Addr(), config.TagOf("results"), 1)
	g.Expect(err).NotTo(HaveOccurred())
	id, err := ids.GenerateConnectionID()
	g.Expect(err).NotTo(HaveOccurred())
	b.send(g, c.Addr(), b.header(), initial(string(id.Bytes())))
	admitted := b.header()
	admitted.Revision = 1
	b.send(g, c.Addr(), admitted, initial("admitted"))
	for _, want := range []string{string(id.Bytes()), "admitted"} {
		payload, _ := nextPayload(g, c)
		g.Expect(payload[dcidOffset : dcidOffset+len(want)]).To(Equal(want))
	}
	g.Expect(droppedFace.Get() - before).To(BeEquivalentTo(1))
}

func TestRotatedKeysAreUsed(t *testing.T) {
	g := NewWithT(t)
	c := listen(t, nil)
	both := ring(g, newSecret+","+oldSecret)
	old, rotated := newPeer(t, ring(g, oldSecret)), newPeer(t, both)
	c.SetKeys(both)
	old.send(g, c.Addr(), old.header(), []byte("old"))
	nextPayload(g, c)
	other := rotated.header()
	other.Caller = addr(9, 5001) // a flow that only the balancer with both keys carries
	rotated.send(g, c.Addr(), other, []byte("new"))
	_, f := nextPayload(g, c)
	_, err := c.WriteTo([]byte("answer"), f)
	g.Expect(err).NotTo(HaveOccurred())
	_, answer := rotated.receive(g)
	g.Expect(answer).To(Equal("answer"))
}

func TestTokensNameTheAgentAndDiffer(t *testing.T) {
	g := NewWithT(t)
	tag := config.TagOf("results")
	data := netip.MustParseAddrPort("10.1.2.3:7000")
	ids, err := NewIDs(ring(g, oldSecret), data, tag, 42)
	g.Expect(err).NotTo(HaveOccurred())
	codec := token.NewCodec(ring(g, oldSecret))
	seen := map[uint32]bool{}
	for range 100_000 {
		id, err := ids.GenerateConnectionID()
		g.Expect(err).NotTo(HaveOccurred())
		got, err := codec.Open(id.Bytes(), tag)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Agent).To(Equal(data))
		g.Expect(got.Incarnation).To(Equal(token.IncarnationTag(42)))
		g.Expect(seen[got.Nonce]).To(BeFalse())
		seen[got.Nonce] = true
	}
	_, err = NewIDs(ring(g, oldSecret), netip.MustParseAddrPort("0.0.0.0:1"), tag, 1)
	g.Expect(err).To(HaveOccurred())
}

func FuzzLongHeaderDCID(f *testing.F) {
	f.Add([]byte{})
	f.Add(initial("12345678")[:40])
	f.Add([]byte("\xc3\x00\x00\x00\x01\x14short"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		if dcid, ok := longHeaderDCID(b); ok && len(dcid) > quicid.MaxSize {
			t.Fatal("the returned ID is longer than a QUIC connection ID may be")
		}
	})
}
