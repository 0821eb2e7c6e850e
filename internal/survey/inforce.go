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

// membersEvery is the number of rounds after which the list of balancers is
// read again: some may have come or gone.
const membersEvery = 8

// InForce tells how far a revision has spread.
type InForce struct {
	// Balancers is the number of live balancers, Done of those that act on the
	// revision or a later one.
	Balancers, Done int
	// Late are the others.
	Late []netip.AddrPort
}

// Everywhere reports whether the revision is in force on every balancer.
func (f InForce) Everywhere() bool { return f.Balancers > 0 && len(f.Late) == 0 }

// Await asks the balancers, in rounds, until all act on the revision or ctx
// ends; it returns the last state. Each change of the state is passed to
// progress. Only those that are late are asked again.
func (a Asker) Await(ctx context.Context, first []netip.AddrPort, revision uint64, interval time.Duration, progress func(InForce)) InForce {
	done := make(map[netip.AddrPort]bool)
	var state InForce
	var known []netip.AddrPort
	for round := 0; ; round++ {
		if round%membersEvery == 0 || len(known) == 0 {
			known = a.liveBalancers(ctx, first, known)
		}
		a.askLate(ctx, known, done, revision)
		if next := spread(known, done); round == 0 || !equal(next, state) {
			state = next
			progress(state)
		}
		if state.Everywhere() || wait.For(ctx, interval) != nil {
			return state
		}
	}
}

// liveBalancers reads the list of balancers; without an answer the last one
// stands.
func (a Asker) liveBalancers(ctx context.Context, first, last []netip.AddrPort) []netip.AddrPort {
	members, err := a.Members(ctx, slices.Concat(first, last))
	if err != nil {
		return last
	}
	known := make(map[netip.AddrPort]member.Member)
	learn(known, members)
	return balancers(known)
}

// askLate asks the balancers that are not done and notes those that now are.
func (a Asker) askLate(ctx context.Context, known []netip.AddrPort, done map[netip.AddrPort]bool, revision uint64) {
	answers := make([]bool, len(known))
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i, addr := range known {
		if done[addr] {
			continue
		}
		group.Go(func() error {
			answers[i] = a.acts(ctx, addr, revision)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for i, yes := range answers {
		done[known[i]] = done[known[i]] || yes
	}
}

// acts reports whether the balancer acts on the revision or a later one.
func (a Asker) acts(ctx context.Context, addr netip.AddrPort, revision uint64) bool {
	limited, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var status control.Status
	err := a.Caller.Call(limited, addr, methodStatus, control.StatusArgs{}, &status)
	return err == nil && status.InForce >= revision
}

func spread(known []netip.AddrPort, done map[netip.AddrPort]bool) InForce {
	f := InForce{Balancers: len(known)}
	for _, addr := range known {
		if done[addr] {
			f.Done++
			continue
		}
		f.Late = append(f.Late, addr)
	}
	return f
}

func equal(a, b InForce) bool {
	return a.Balancers == b.Balancers && slices.Equal(a.Late, b.Late)
}
