package control_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/store/httpstore"
	"github.com/saltbend/saltbend/test/mesh"
	"github.com/saltbend/saltbend/test/storefake"
)

// waitTimeout limits every wait. A wait that succeeds is short.
const waitTimeout = time.Minute

// fastTiming returns shortened periods, so that tests need not wait long for a
// condition. No test depends on the values.
func fastTiming() gossip.Timing {
	t := gossip.DefaultTiming()
	t.Renew = 300 * time.Millisecond
	t.Digest = 300 * time.Millisecond
	t.Backoff = 600 * time.Millisecond
	return t
}

// fleet starts nodes on one in-memory network.
type fleet struct {
	mesh   *mesh.Mesh
	join   []netip.AddrPort
	fake   *storefake.Store
	client store.Store
}

func newFleet() *fleet {
	return &fleet{mesh: mesh.New(), join: []netip.AddrPort{addrOf(1, 0)}}
}

// withStore gives the nodes that are started afterwards a store instead of
// addresses to join at.
func (f *fleet) withStore() *fleet {
	f.join = nil
	f.fake = storefake.New()
	server := httptest.NewServer(f.fake.Handler())
	DeferCleanup(server.Close)
	client, err := httpstore.New([]string{server.URL}, httpstore.Options{})
	Expect(err).NotTo(HaveOccurred())
	f.client = client
	return f
}

// apply writes a configuration to the store and returns its revision.
func (f *fleet) apply(after uint64) uint64 {
	entry, err := f.client.Swap(context.Background(), record.Key, []byte("any"), after, 0)
	Expect(err).NotTo(HaveOccurred())
	return entry.Revision
}

// node is a running node of a fleet.
type node struct {
	*control.Node
	addr   netip.AddrPort
	events *event.Ring
	store  *instrumentedStore
	crash  func()
}

func (f *fleet) start(self member.Member) *node {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	ring := event.NewRing(event.DefaultRingSize, time.Now)
	counted := &instrumentedStore{Store: f.client}
	options := control.Options{
		Self:      self,
		Peer:      f.mesh.Open(self.Control),
		Join:      f.join,
		Timing:    fastTiming(),
		Events:    ring,
		Logger:    slog.New(slog.DiscardHandler),
		Decode:    func([]byte) ([]byte, error) { return []byte("{}"), nil },
		SeedLease: time.Second,
	}
	if f.client != nil {
		options.Store = counted
	}
	n, err := control.Start(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	return &node{Node: n, addr: self.Control, events: ring, store: counted, crash: func() {
		f.mesh.Crash(self.Control)
		cancel()
	}}
}

// startMany starts balancers and agents, and waits until each node has all of
// them in its snapshot as ready.
func (f *fleet) startMany(balancers, agents int) (bs, as []*node) {
	for i := range balancers {
		bs = append(bs, f.start(balancerAt(i)))
	}
	for i := range agents {
		as = append(as, f.start(agentAt(i, "results")))
	}
	for _, n := range append(bs, as...) {
		n.SetState(member.StateReady)
	}
	for _, n := range bs {
		Eventually(n.readyMembers, waitTimeout).Should(Equal(balancers + agents))
	}
	for _, n := range as {
		Eventually(n.readyMembers, waitTimeout).Should(Equal(balancers + agents))
	}
	return bs, as
}

// readyMembers returns the number of ready members in the node's snapshot.
func (n *node) readyMembers() int {
	count := 0
	s := n.Snapshot()
	for _, m := range append(s.Balancers, s.Agents...) {
		if m.State == member.StateReady {
			count++
		}
	}
	return count
}

func (n *node) inForce() uint64 {
	if c := n.Snapshot().Config; c != nil {
		return c.Revision
	}
	return 0
}

// memberState returns a function that returns the state of a member in the node's
// snapshot, or gone if it is not there.
func (n *node) memberState(addr netip.AddrPort) func() member.State {
	return func() member.State {
		s := n.Snapshot()
		for _, m := range append(s.Balancers, s.Agents...) {
			if m.Control == addr {
				return m.State
			}
		}
		return member.StateGone
	}
}

// goneAddrs returns the addresses of the gone agents in the node's snapshot.
func (n *node) goneAddrs() (addrs []netip.AddrPort) {
	for _, m := range n.Snapshot().Gone {
		addrs = append(addrs, m.Control)
	}
	return addrs
}

// eventCount returns the number of the node's events of a kind.
func (n *node) eventCount(kind event.Kind) int {
	count := 0
	for _, e := range n.events.Since(0) {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// instrumentedStore counts one node's calls to the store, and can block them.
type instrumentedStore struct {
	store.Store
	calls  atomic.Int64
	frozen atomic.Pointer[chan struct{}]
}

// freeze blocks all calls until the returned function is called.
func (c *instrumentedStore) freeze() (thaw func()) {
	gate := make(chan struct{})
	c.frozen.Store(&gate)
	return func() {
		c.frozen.Store(nil)
		close(gate)
	}
}

// beforeCall counts a call, and blocks while the store is frozen.
func (c *instrumentedStore) beforeCall() {
	c.calls.Add(1)
	if gate := c.frozen.Load(); gate != nil {
		<-*gate
	}
}

func (c *instrumentedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	c.beforeCall()
	return c.Store.Get(ctx, key)
}

func (c *instrumentedStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	c.beforeCall()
	return c.Store.List(ctx, prefix)
}

func (c *instrumentedStore) Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (store.Entry, error) {
	c.beforeCall()
	return c.Store.Swap(ctx, key, value, expected, lease)
}

func (c *instrumentedStore) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	c.beforeCall()
	return c.Store.Watch(ctx, key, after)
}

func balancerAt(i int) member.Member {
	return member.Member{Control: addrOf(1, i), Role: member.RoleBalancer, DataCentre: "a"}
}

func agentAt(i int, service string) member.Member {
	return member.Member{Control: addrOf(2, i), Role: member.RoleAgent, DataCentre: "a", Service: service, Slots: 5, Weight: 1000}
}

func addrOf(kind byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, kind, byte(i)}), 4100)
}
