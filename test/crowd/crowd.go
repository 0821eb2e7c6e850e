// Package crowd stands in for the other members of a large fleet towards one
// balancer: it tells it of all of them, renews for those that it watches, and
// answers where it renews and pushes to. All others have no socket.
package crowd

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
)

// The crowd has the shape of the largest fleet expected.
const (
	targetBalancers  = 780
	targetMembers    = 6880
	agentsPerService = 7
	dataCentres      = 4
)

const (
	exchangeBatch = 2048
	callTimeout   = 2 * time.Second
	// pushedTo bounds the balancers to which one balancer pushes.
	pushedTo = 5
	// portFrom is the address of which the kernel chooses the port; the same
	// port is then free at the other loopback addresses, which nobody else uses.
	portFrom = "127.1.0.1:0"
)

// Crowd is the members besides one balancer.
type Crowd struct {
	ring     *keyring.Ring
	balancer netip.AddrPort
	members  []member.Member
	live     []*stand
}

// Surround makes the balancer at the address one of a fleet of so many members.
func Surround(ctx context.Context, secrets string, balancer netip.AddrPort, size int) (*Crowd, error) {
	ring, err := keyring.Parse(secrets)
	if err != nil {
		return nil, err
	}
	c := &Crowd{ring: ring, balancer: balancer}
	if err := c.populate(size - 1); err != nil {
		return nil, err
	}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// populate makes the records, the balancers first.
func (c *Crowd) populate(count int) error {
	probe, err := peer.Listen(netip.MustParseAddrPort(portFrom), c.ring)
	if err != nil {
		return err
	}
	port := probe.Addr().Port()
	if err := probe.Close(); err != nil {
		return err
	}
	balancers := count * targetBalancers / targetMembers
	for i := range count {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}).Next(), port)
		m := member.Member{
			Control: addr, Data: addr, Ops: addr, Role: member.RoleBalancer,
			DataCentre:  fmt.Sprintf("elsewhere-%d", i%dataCentres), // the balancer stays a seed of its own
			Incarnation: uint64(time.Now().UnixNano()), Version: 1, State: member.StateReady,
		}
		if i >= balancers {
			m.Role, m.Service = member.RoleAgent, fmt.Sprintf("crowd-%d", i/agentsPerService)
			m.Slots, m.Weight = 5, 1000
		}
		c.members = append(c.members, m)
	}
	return nil
}

// start opens the sockets that the balancer will call and tells it of all.
func (c *Crowd) start(ctx context.Context) error {
	for _, m := range c.touched() {
		s, err := newStand(c, m)
		if err != nil {
			return err
		}
		c.live = append(c.live, s)
	}
	teller := c.live[0]
	for batch := range slices.Chunk(c.members, exchangeBatch) {
		x := gossip.Exchange{From: teller.self.Control, Members: batch}
		if err := teller.call(ctx, "Exchange", &x, &gossip.Exchange{}); err != nil {
			return errors.Wrap(err, "tell of the members")
		}
	}
	for _, s := range c.live {
		go s.renew()
	}
	return nil
}

// touched returns the members that the balancer watches or calls.
func (c *Crowd) touched() []member.Member {
	all := []member.Member{{Control: c.balancer}}
	for _, m := range c.members {
		if m.Role == member.RoleBalancer {
			all = append(all, m)
		}
	}
	candidates := member.NewCandidates(all)
	called := append(candidates.Choose(c.balancer, member.Witnesses, nil), candidates.Neighbours(c.balancer, pushedTo)...)
	var out []member.Member
	for _, m := range c.members {
		watched := candidates.IsChosen(m.Control, member.Witnesses, c.balancer)
		if watched || slices.Contains(called, m.Control) {
			out = append(out, m)
		}
	}
	return out
}

// Touched returns the number of members that the balancer is in touch with.
func (c *Crowd) Touched() int { return len(c.live) }

// Close ends the crowd without a word.
func (c *Crowd) Close() {
	var group errgroup.Group
	for _, s := range c.live {
		group.Go(s.close)
	}
	_ = group.Wait() // the sockets end with the process at the latest
}
