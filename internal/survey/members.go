// Package survey asks a running fleet what it knows, for the operators' tool:
// which processes there are and what each has in force.
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

// methodMembers is the method that tells the members a process knows.
const methodMembers = "Control.Members"

// ErrNoAnswer says that none of the given processes answered.
var ErrNoAnswer = errors.New("survey: no process answered")

// Asker asks processes of the fleet.
type Asker struct {
	Caller peer.Caller
	// Timeout bounds each call.
	Timeout time.Duration
}

// Members returns the members that the first processes to answer know. At
// least one balancer is asked where one can be found, since an agent knows
// only its own service.
func (a Asker) Members(ctx context.Context, first []netip.AddrPort) ([]member.Member, error) {
	known := make(map[netip.AddrPort]member.Member)
	cause := error(ErrNoAnswer)
	if a.askUntilBalancer(ctx, first, known, &cause) {
		return sorted(known), nil
	}
	a.askUntilBalancer(ctx, balancers(known), known, &cause)
	if len(known) == 0 {
		return nil, cause
	}
	return sorted(known), nil
}

// askUntilBalancer asks one after the other until a balancer has answered.
func (a Asker) askUntilBalancer(ctx context.Context, addrs []netip.AddrPort, known map[netip.AddrPort]member.Member, cause *error) bool {
	for _, addr := range addrs {
		members, err := a.members(ctx, addr)
		if err != nil {
			*cause = errors.Wrap(ErrNoAnswer, err.Error())
			continue
		}
		learn(known, members)
		if len(members) > 0 && members[0].Role == member.RoleBalancer {
			return true
		}
	}
	return false
}

func (a Asker) members(ctx context.Context, addr netip.AddrPort) ([]member.Member, error) {
	limited, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var members []member.Member
	err := a.Caller.Call(limited, addr, methodMembers, control.Empty{}, &members)
	return members, err
}

func balancers(known map[netip.AddrPort]member.Member) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range sorted(known) {
		if m.Role == member.RoleBalancer && m.State != member.StateGone {
			out = append(out, m.Control)
		}
	}
	return out
}

// sorted returns the members in the order of role and address.
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
