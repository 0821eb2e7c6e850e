// Package crowd simulates the other members of a large fleet for one real balancer. It sends
// the balancer records of all members, renews the records of those that the balancer
// watches, and answers the balancer's renewals and pushes. Only the members that the
// balancer communicates with have a socket.
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

// Composition of the largest expected fleet; smaller crowds have the same proportions.
const (
	targetBalancers  = 780
	targetMembers    = 6880
	agentsPerService = 7
	dataCentres      = 4
)

const (
	exchangeBatch = 2048
	callTimeout   = 2 * time.Second
	// maxPushTargets is the maximum number of balancers to which one balancer pushes.
	maxPushTargets = 5
	// portFrom is the address for which the kernel assigns a port. The same port is then
	// free at the other addresses of 127.1.0.0/16, which no other process uses.
	portFrom = "127.1.0.1:0"
)

// Crowd is the set of simulated members around one balancer.
type Crowd struct {
	ring     *keyring.Ring
	balancer netip.AddrPort
	members  []member.Member
	running  []*contact
}

// Surround starts a crowd that makes the balancer at the address a member of a fleet of size
// members.
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

// populate creates the records of count members, the balancers first.
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
			DataCentre:  fmt.Sprintf("elsewhere-%d", i%dataCentres), // other data centres, so that the real balancer remains a seed in its own
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

// start opens the sockets of the members that the balancer communicates with, sends the
// balancer the records of all members, and starts the renewals.
func (c *Crowd) start(ctx context.Context) error {
	for _, m := range c.contacts() {
		s, err := newContact(c, m)
		if err != nil {
			return err
		}
		c.running = append(c.running, s)
	}
	sender := c.running[0]
	for batch := range slices.Chunk(c.members, exchangeBatch) {
		x := gossip.Exchange{From: sender.self.Control, Members: batch}
		if err := sender.call(ctx, "Exchange", &x, &gossip.Exchange{}); err != nil {
			return errors.Wrap(err, "send the records of the members")
		}
	}
	for _, s := range c.running {
		go s.renew()
	}
	return nil
}

// contacts returns the members that the balancer watches or calls.
func (c *Crowd) contacts() []member.Member {
	all := []member.Member{{Control: c.balancer}}
	for _, m := range c.members {
		if m.Role == member.RoleBalancer {
			all = append(all, m)
		}
	}
	candidates := member.NewCandidates(all)
	called := append(candidates.Choose(c.balancer, member.Witnesses, nil), candidates.Neighbours(c.balancer, maxPushTargets)...)
	var out []member.Member
	for _, m := range c.members {
		watched := candidates.IsChosen(m.Control, member.Witnesses, c.balancer)
		if watched || slices.Contains(called, m.Control) {
			out = append(out, m)
		}
	}
	return out
}

// Contacts returns the number of members that the balancer communicates with.
func (c *Crowd) Contacts() int { return len(c.running) }

// Close closes all sockets without notifying the balancer.
func (c *Crowd) Close() {
	var group errgroup.Group
	for _, s := range c.running {
		group.Go(s.close)
	}
	_ = group.Wait() // sockets that fail to close are closed at the end of the process
}
