package survey

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/wait"
)

// membersRefreshRounds is the number of rounds after which the list of balancers is read
// again, since balancers may have joined or left.
const membersRefreshRounds = 8

// Rollout is the progress of the roll-out of a configuration revision.
type Rollout struct {
	// Balancers is the number of live balancers, Done the number of those that have the
	// revision or a later one in force.
	Balancers, Done int
	// Late holds the control addresses of the other live balancers.
	Late []netip.AddrPort
}

// Complete reports whether there are live balancers and the revision is in force on all of
// them.
func (f Rollout) Complete() bool { return f.Balancers > 0 && len(f.Late) == 0 }

// Await polls the balancers at the interval until all have the revision in force or ctx
// ends, and returns the last state. It calls progress with the first state and after each
// change. Balancers that have the revision in force are not queried again.
func (c Client) Await(ctx context.Context, peers []netip.AddrPort, revision uint64, interval time.Duration, progress func(Rollout)) Rollout {
	done := make(map[netip.AddrPort]bool)
	var state Rollout
	var known []netip.AddrPort
	for round := 0; ; round++ {
		if round%membersRefreshRounds == 0 || len(known) == 0 {
			known = c.liveBalancers(ctx, peers, known)
		}
		c.pollLate(ctx, known, done, revision)
		if next := rolloutState(known, done); round == 0 || !equal(next, state) {
			state = next
			progress(state)
		}
		if state.Complete() || wait.For(ctx, interval) != nil {
			return state
		}
	}
}

// liveBalancers reads the list of balancers. If no process answers, it returns the last
// list.
func (c Client) liveBalancers(ctx context.Context, peers, last []netip.AddrPort) []netip.AddrPort {
	members, err := c.Members(ctx, slices.Concat(peers, last))
	if err != nil {
		return last
	}
	known := make(map[netip.AddrPort]member.Member)
	mergeNewest(known, members)
	return balancers(known)
}

// pollLate queries the balancers that are not done and marks in done those that now have
// the revision in force.
func (c Client) pollLate(ctx context.Context, known []netip.AddrPort, done map[netip.AddrPort]bool, revision uint64) {
	answers := make([]bool, len(known))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i, addr := range known {
		if done[addr] {
			continue
		}
		group.Go(func() error {
			answers[i] = c.hasInForce(ctx, addr, revision)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for i, inForce := range answers {
		done[known[i]] = done[known[i]] || inForce
	}
}

// hasInForce reports whether the balancer answered that it has the revision or a later
// one in force.
func (c Client) hasInForce(ctx context.Context, addr netip.AddrPort, revision uint64) bool {
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var status control.Status
	err := c.Caller.Call(limited, addr, methodStatus, control.StatusArgs{}, &status)
	return err == nil && status.InForce >= revision
}

func rolloutState(known []netip.AddrPort, done map[netip.AddrPort]bool) Rollout {
	f := Rollout{Balancers: len(known)}
	for _, addr := range known {
		if done[addr] {
			f.Done++
			continue
		}
		f.Late = append(f.Late, addr)
	}
	return f
}

func equal(a, b Rollout) bool {
	return a.Balancers == b.Balancers && slices.Equal(a.Late, b.Late)
}
