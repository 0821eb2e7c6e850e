package control_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
)

const (
	fleetSecret   = "1:5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a"
	foreignSecret = "1:00000000000000000000000000000000"
)

// proxied is a node that other nodes can reach only through a proxy.
type proxied struct {
	*node
	proxy *toxiproxy.Proxy
	peer  *peer.Peer
}

func listenPeer(secret string) *peer.Peer {
	ring, err := keyring.Parse(secret)
	Expect(err).NotTo(HaveOccurred())
	p, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), ring)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = p.Close() })
	return p
}

func startProxied(self member.Member, join ...netip.AddrPort) *proxied {
	p := &proxied{peer: listenPeer(fleetSecret), proxy: toxiproxy.NewProxy()}
	p.proxy.Name = "node"
	p.proxy.Listen = "127.0.0.1:0"
	p.proxy.Upstream = p.peer.Addr().String()
	Expect(p.proxy.Start()).To(Succeed())
	DeferCleanup(p.proxy.Stop)
	self.Control = netip.MustParseAddrPort(p.proxy.Listen)
	self.State = member.StateReady
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	n, err := control.Start(ctx, control.Options{Self: self, Peer: p.peer, Join: join, Timing: fastTiming()})
	Expect(err).NotTo(HaveOccurred())
	p.node = &node{Node: n, addr: self.Control, crash: func() {
		cancel()
		_ = p.peer.Close()
	}}
	return p
}

// blockIncoming drops all data that other nodes send to this node.
func (p *proxied) blockIncoming() {
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(`{"name":"silent","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`))
	Expect(err).NotTo(HaveOccurred())
}

func (p *proxied) unblockIncoming() { Expect(p.proxy.Toxics.RemoveToxic("silent")).To(Succeed()) }

var _ = Describe("A fleet over authenticated connections through proxies", func() {
	It("keeps a member that can call but not be called, and declares it gone after a crash", func() {
		first := startProxied(balancerAt(0))
		all := []*proxied{first}
		for i := range 2 {
			all = append(all, startProxied(balancerAt(1+i), first.addr))
		}
		for i := range 3 {
			all = append(all, startProxied(agentAt(i, "results"), first.addr))
		}
		for _, n := range all {
			Eventually(n.readyMembers, waitTimeout).Should(Equal(6))
		}
		victim := all[5]
		victim.blockIncoming()
		refuted := victim.Snapshot().Self.Version
		victim.SetLoad(500)
		for _, n := range all[:5] {
			Eventually(func() int { return weightOf(n.node, victim.addr) }, waitTimeout).Should(Equal(500))
		}
		// Other nodes may receive a change before the victim publishes its next snapshot.
		version := func() uint64 { return victim.Snapshot().Self.Version }
		Eventually(version, waitTimeout).Should(BeNumerically(">", refuted))
		Expect(version()).To(Equal(refuted + 1))
		victim.unblockIncoming()
		victim.crash()
		for _, n := range all[:5] {
			Eventually(n.memberState(victim.addr), waitTimeout).Should(Equal(member.StateGone))
			Expect(n.readyMembers()).To(Equal(5))
		}
	})

	It("rejects announcements of a process with a foreign secret", func() {
		first := startProxied(balancerAt(0))
		stranger := listenPeer(foreignSecret)
		fake := agentAt(9, "results")
		fake.Control = netip.MustParseAddrPort("127.0.0.1:9")
		fake.Incarnation = 1
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		var reply gossip.AnnounceReply
		err := stranger.Call(ctx, first.addr, "Control.Announce", gossip.Announce{Self: fake}, &reply)
		Expect(err).To(HaveOccurred())
		conn, err := net.DialTimeout("tcp", first.addr.String(), waitTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, _ = conn.Write([]byte("Control.Announce, if you please"))
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "a connection without a handshake is closed without an answer")
		Expect(first.Snapshot().Agents).To(BeEmpty())
	})

	It("rejects malformed records from a process with the fleet's secret", func() {
		first := startProxied(balancerAt(0))
		friend := listenPeer(fleetSecret)
		good := agentAt(9, "results")
		good.Control, good.Incarnation, good.State = netip.MustParseAddrPort("127.0.0.1:9"), 1, member.StateReady
		for name, spoil := range map[string]func(*member.Member){
			"no address":             func(m *member.Member) { m.Control = netip.AddrPort{} },
			"no port":                func(m *member.Member) { m.Control = netip.MustParseAddrPort("127.0.0.1:0") },
			"no role":                func(m *member.Member) { m.Role = 0 },
			"agent without service":  func(m *member.Member) { m.Service = "" },
			"balancer with service":  func(m *member.Member) { m.Role = member.RoleBalancer },
			"no incarnation":         func(m *member.Member) { m.Incarnation = 0 },
			"unknown state":          func(m *member.Member) { m.State = 9 },
			"negative slots":         func(m *member.Member) { m.Slots = -1 },
			"negative weight":        func(m *member.Member) { m.Weight = -1 },
			"very long service name": func(m *member.Member) { m.Service = strings.Repeat("x", 1000) },
		} {
			bad := good
			spoil(&bad)
			err := friend.Call(context.Background(), first.addr, "Control.Push", gossip.Push{From: good.Control, Members: []member.Member{bad}}, &gossip.PushReply{})
			Expect(err).To(MatchError(ContainSubstring("invalid")), name)
		}
		Expect(first.Snapshot().Agents).To(BeEmpty())
	})
})

func weightOf(n *node, addr netip.AddrPort) int {
	for _, m := range n.Snapshot().Agents {
		if m.Control == addr {
			return m.Weight
		}
	}
	return -1
}
