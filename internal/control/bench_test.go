package control

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/store"
)

// The benchmarked fleets have the proportions of the largest expected fleet.
const (
	targetBalancers = 780
	targetMembers   = 6880
	exchangeBatch   = 256
	renewals        = 200
)

// BenchmarkCapacityStep measures the cost of a renewal on the goroutine that owns
// the state of a balancer, including the step that follows each message. Calls to
// other processes are stubbed out.
func BenchmarkCapacityStep(b *testing.B) {
	for _, members := range []int{700, 2100, 6900} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			fleet := newMembers(members)
			n := newBenchNode(b, fleet)
			s := &Service{node: n}
			renewal := gossip.Announce{Self: fleet[members-1], Epoch: n.Snapshot().Self.Incarnation, Cursor: uint64(members)}
			for b.Loop() {
				for range renewals {
					if err := s.Announce(renewal, &gossip.AnnounceReply{}); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*renewals), "ns/renewal")
		})
	}
}

// newMembers returns the members of a fleet, balancers first.
func newMembers(members int) []member.Member {
	balancers := members * targetBalancers / targetMembers
	var out []member.Member
	for i := range members {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 4100)
		m := member.Member{Control: addr, Role: member.RoleBalancer, DataCentre: "cardiff-1", Incarnation: 1, State: member.StateReady}
		if i >= balancers {
			m.Role, m.Service = member.RoleAgent, fmt.Sprintf("service-%d", i/7)
		}
		out = append(out, m)
	}
	return out
}

// newBenchNode returns a node that runs as the first balancer of the fleet and
// has all members in its table.
func newBenchNode(b *testing.B, fleet []member.Member) *Node {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	n, err := Start(ctx, Options{Self: fleet[0], Peer: idlePeer{}, Store: occupiedStore{}, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cancel()
		<-n.stopped
	})
	for batch := range slices.Chunk(fleet[1:], exchangeBatch) {
		if err := (&Service{node: n}).Exchange(gossip.Exchange{From: fleet[1].Control, Members: batch}, &gossip.Exchange{}); err != nil {
			b.Fatal(err)
		}
	}
	return n
}

// idlePeer answers every call with an empty reply, and every digest with "equal".
type idlePeer struct{}

func (idlePeer) Register(string, any) error { return nil }

func (idlePeer) Call(_ context.Context, _ netip.AddrPort, _ string, _, reply any) error {
	if digest, ok := reply.(*gossip.DigestReply); ok {
		digest.Equal = true
	}
	return nil
}

// occupiedStore is a store in which other processes hold all seed slots.
type occupiedStore struct{ store.Store }

func (occupiedStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrNotFound
}

func (occupiedStore) Swap(context.Context, string, []byte, uint64, time.Duration) (store.Entry, error) {
	return store.Entry{}, store.ErrConflict
}
