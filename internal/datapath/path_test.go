package datapath

import (
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/placement"
)

var (
	anyPort    = netip.MustParseAddrPort("127.0.0.1:0")
	publicFace = netip.MustParseAddrPort("192.0.2.10:443")
)

const waitTimeout = 10 * time.Second

// rig is a running path with one face, one agent and one caller.
type rig struct {
	t             testing.TB
	path          *Path
	face          *Face
	keys          *Keys
	data          netip.AddrPort
	agent, caller *net.UDPConn
}

func listen(t testing.TB) *net.UDPConn {
	t.Helper()
	c, err := Bind(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func agentsAt(addr ...netip.AddrPort) *placement.Set {
	var agents []member.Member
	for _, a := range addr {
		agents = append(agents, member.Member{Control: a, Data: a, DataCentre: "a", State: member.StateReady, Weight: 1000})
	}
	return placement.NewSet(placement.NewLocality("a", nil), agents, 0)
}

func newRig(t testing.TB) *rig {
	t.Helper()
	r := &rig{t: t, agent: listen(t), caller: listen(t), keys: testKeys(t, testSecrets)}
	s, err := Open(publicFace, anyPort)
	if err != nil {
		t.Fatal(err)
	}
	r.face = &Face{Socket: s, Service: results, Agents: agentsAt(localAddr(r.agent))}
	data := listen(t)
	r.data = localAddr(data)
	r.path = Start(data, r.data, r.snapshot())
	r.path.Publish(r.snapshot())
	t.Cleanup(r.path.Close)
	return r
}

func (r *rig) snapshot() *Snapshot {
	return &Snapshot{Revision: 7, Keys: r.keys, Faces: map[netip.AddrPort]*Face{publicFace: r.face}}
}

func send(t testing.TB, from *net.UDPConn, to netip.AddrPort, b []byte) {
	t.Helper()
	if _, err := from.WriteToUDPAddrPort(b, to); err != nil {
		t.Fatal(err)
	}
}

func read(t testing.TB, c *net.UDPConn) ([]byte, netip.AddrPort) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	b := make([]byte, 2*encap.MaxDatagram)
	n, from, err := c.ReadFromUDPAddrPort(b)
	if err != nil {
		t.Fatal(err)
	}
	return b[:n], from
}

// expectDrop sends b and waits until the drop counter of the reason has
// increased.
func (r *rig) expectDrop(c *counters, reason Reason, from *net.UDPConn, to netip.AddrPort, b []byte) {
	r.t.Helper()
	before := c.drops[reason].Get()
	send(r.t, from, to, b)
	NewWithT(r.t).Eventually(c.drops[reason].Get, waitTimeout).Should(BeNumerically(">", before), reason.String())
}

func TestForwardAndReply(t *testing.T) {
	r := newRig(t)
	for name, packet := range map[string][]byte{
		"open flow": shortPacket(r.keys, results, localAddr(r.agent), 100),
		"new flow":  longPacket(fixedBit, version1, []byte("12345678"), 1252),
		"largest":   shortPacket(r.keys, results, localAddr(r.agent), encap.MaxPayload),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			send(t, r.caller, r.face.Socket.Addr(), packet)
			b, _ := read(t, r.agent)
			h, payload, err := r.keys.Headers.Clone().Decode(b)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(payload).To(Equal(packet))
			g.Expect(h).To(Equal(encap.Header{
				Kind: encap.KindForward, Caller: localAddr(r.caller), Face: publicFace,
				Service: results, Revision: 7, Balancer: r.data,
			}))
			h.Kind = encap.KindReply
			g.Expect(r.keys.Headers.Clone().Encode(b, &h)).To(Succeed())
			send(t, r.agent, h.Balancer, b)
			answer, from := read(t, r.caller)
			g.Expect(answer).To(Equal(packet))
			g.Expect(from).To(Equal(r.face.Socket.Addr()), "the reply was not sent from the face's socket")
		})
	}
}

func TestProbeIsAnswered(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t)
	h := encap.Header{Kind: encap.KindProbe, Revision: 99, Balancer: r.data}
	b := make([]byte, encap.HeaderSize)
	codec := r.keys.Headers.Clone()
	g.Expect(codec.Encode(b, &h)).To(Succeed())
	send(t, r.agent, r.data, b)
	answer, from := read(t, r.agent)
	got, _, err := codec.Decode(answer)
	g.Expect(err).NotTo(HaveOccurred())
	h.Kind = encap.KindProbeReply
	g.Expect(got).To(Equal(h))
	g.Expect(from).To(Equal(r.data))
}

func TestFaceCountsDropsByReason(t *testing.T) {
	r := newRig(t)
	initial := longPacket(fixedBit, version1, []byte("12345678"), 1252)
	open := shortPacket(r.keys, results, localAddr(r.agent), 100)
	at := r.face.Socket.Addr()
	c := r.path.forward.counters
	r.expectDrop(c, Oversized, r.caller, at, shortPacket(r.keys, results, localAddr(r.agent), encap.MaxPayload+1))
	r.expectDrop(c, OtherService, r.caller, at, shortPacket(r.keys, intake, localAddr(r.agent), 100))

	r.publish(Face{Socket: r.face.Socket, Service: results, Agents: agentsAt()})
	r.expectDrop(c, NoAgent, r.caller, at, initial)
	r.publish(Face{Socket: r.face.Socket, Service: results, Agents: r.face.Agents, Draining: true})
	r.expectDrop(c, FaceDraining, r.caller, at, initial)
	send(t, r.caller, at, open)
	b, _ := read(t, r.agent)
	NewWithT(t).Expect(b[encap.HeaderSize:]).To(Equal(open), "a draining face must still forward open flows")

	r.path.Publish(&Snapshot{Keys: r.keys})
	r.expectDrop(c, NoFace, r.caller, at, open)
	r.path.Publish(r.snapshot())
}

func (r *rig) publish(f Face) {
	r.path.Publish(&Snapshot{Revision: 8, Keys: r.keys, Faces: map[netip.AddrPort]*Face{publicFace: &f}})
}

func TestDataSocketCountsDropsByReason(t *testing.T) {
	r := newRig(t)
	c := r.path.reply.counters
	encoded := func(k *Keys, kind encap.Kind, service config.Tag, face netip.AddrPort) []byte {
		h := encap.Header{Kind: kind, Caller: localAddr(r.caller), Face: face, Service: service}
		b := make([]byte, encap.HeaderSize+50)
		if err := k.Headers.Clone().Encode(b, &h); err != nil {
			t.Fatal(err)
		}
		return b
	}
	good := encoded(r.keys, encap.KindReply, results, publicFace)
	version := append([]byte{0xf0 | good[0]}, good[1:]...)
	for _, tc := range []struct {
		in   []byte
		want Reason
	}{
		{good[:encap.HeaderSize-1], Truncated},
		{version, BadHeader},
		{encoded(testKeys(t, otherSecrets), encap.KindReply, results, publicFace), Forged},
		{encoded(testKeys(t, expiredSecrets), encap.KindReply, results, publicFace), UnknownKey},
		{encoded(r.keys, encap.KindForward, results, publicFace), WrongKind},
		{encoded(r.keys, encap.KindReply, intake, publicFace), OtherService},
		{encoded(r.keys, encap.KindReply, results, netip.MustParseAddrPort("192.0.2.99:443")), NoFace},
		{append(good, make([]byte, encap.MaxDatagram)...), Oversized},
	} {
		r.expectDrop(c, tc.want, r.agent, r.data, tc.in)
	}
}

func TestKeyRotationAppliesToARunningPath(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t)
	before := shortPacket(testKeys(t, oldSecrets), results, localAddr(r.agent), 100)
	send(t, r.caller, r.face.Socket.Addr(), before)
	read(t, r.agent)
	r.keys = testKeys(t, "3:aaaabbbbccccddddeeeeffff00001111,2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff")
	r.path.Publish(r.snapshot())
	r.expectDrop(r.path.forward.counters, UnknownKey, r.caller, r.face.Socket.Addr(), before)
	send(t, r.caller, r.face.Socket.Addr(), shortPacket(testKeys(t, testSecrets), results, localAddr(r.agent), 100))
	b, _ := read(t, r.agent)
	_, _, err := r.keys.Headers.Clone().Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
}
