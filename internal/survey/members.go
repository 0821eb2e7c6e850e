// Package survey queries a running fleet for the operators' tool: which processes there
// are, in which state, and which revision of the configuration each has in force. The
// processes are balancers, which know the whole fleet, and agents, which run beside the
// upstreams and know only the members of their own service.
package survey

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
)

// methodMembers is the net/rpc method that returns the members that a process knows.
const methodMembers = "Control.Members"

// ErrNoAnswer is returned if none of the given processes answered.
var ErrNoAnswer = errors.New("survey: no process answered")

// Client queries processes of the fleet.
type Client struct {
	Caller peer.Caller
	// Timeout limits each call.
	Timeout time.Duration
}

// Members returns the members of the fleet. It queries the given processes one after the
// other until a balancer has answered. If only agents answer, it goes on with the balancers
// that these know, since the list of an agent covers only its own service. If no balancer
// answers at all, it returns the members that the agents know.
func (c Client) Members(ctx context.Context, peers []netip.AddrPort) ([]member.Member, error) {
	known := make(map[netip.AddrPort]member.Member)
	cause := error(ErrNoAnswer)
	if c.queryUntilBalancer(ctx, peers, known, &cause) {
		return sorted(known), nil
	}
	c.queryUntilBalancer(ctx, balancers(known), known, &cause)
	if len(known) == 0 {
		return nil, cause
	}
	return sorted(known), nil
}

// queryUntilBalancer queries the processes one after the other until a balancer has
// answered, and adds the members that they return to known. It reports whether a balancer
// answered, and sets cause to the last error.
func (c Client) queryUntilBalancer(ctx context.Context, addrs []netip.AddrPort, known map[netip.AddrPort]member.Member, cause *error) bool {
	for _, addr := range addrs {
		members, err := c.members(ctx, addr)
		if err != nil {
			*cause = errors.Wrap(ErrNoAnswer, err.Error())
			continue
		}
		mergeNewest(known, members)
		if len(members) > 0 && members[0].Role == member.RoleBalancer {
			return true
		}
	}
	return false
}

func (c Client) members(ctx context.Context, addr netip.AddrPort) ([]member.Member, error) {
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var members []member.Member
	err := c.Caller.Call(limited, addr, methodMembers, control.Empty{}, &members)
	return members, err
}

// balancers returns the control addresses of the balancers that are not gone.
func balancers(known map[netip.AddrPort]member.Member) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range sorted(known) {
		if m.Role == member.RoleBalancer && m.State != member.StateGone {
			out = append(out, m.Control)
		}
	}
	return out
}

// sorted returns the members sorted by role and address.
func sorted(known map[netip.AddrPort]member.Member) []member.Member {
	out := make([]member.Member, 0, len(known))
	for _, m := range known {
		out = append(out, m)
	}
	slices.SortFunc(out, func(x, y member.Member) int {
		if x.Role != y.Role {
			return int(x.Role) - int(y.Role)
		}
		return x.Control.Compare(y.Control)
	})
	return out
}
