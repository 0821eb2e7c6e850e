package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store/httpstore"
	"github.com/saltbend/saltbend/test/storefake"
)

const (
	operators          = 5
	changesPerOperator = 10
)

// revisionLog records the revisions that a balancer or the store has had, with the times
// when they were first observed.
type revisionLog struct {
	mu       sync.Mutex
	observed []observedRevision
}

type observedRevision struct {
	revision uint64
	at       time.Time
}

func (h *revisionLog) add(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observed = append(h.observed, observedRevision{revision, time.Now()})
}

// firstReached returns the time when the revision or a later one was first observed.
func (h *revisionLog) firstReached(revision uint64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.observed, func(s observedRevision) bool { return s.revision >= revision })
	if i < 0 {
		return time.Time{}, false
	}
	return h.observed[i].at, true
}

func (h *revisionLog) nonDecreasing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.IsSortedFunc(h.observed, func(a, b observedRevision) int { return int(a.revision) - int(b.revision) })
}

// observeNode records each revision that the node puts in force, until ctx ends.
func observeNode(ctx context.Context, n *control.Node) *revisionLog {
	h := &revisionLog{}
	go func() {
		for {
			changed := n.Changed()
			if c := n.Snapshot().Config; c != nil {
				h.add(c.Revision)
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return h
}

// observeStore records each revision that the store accepts, until ctx ends.
func observeStore(ctx context.Context, s *httpstore.Client) *revisionLog {
	h := &revisionLog{}
	go func() {
		after := uint64(0)
		for ctx.Err() == nil {
			e, err := s.Watch(ctx, record.Key, after)
			if err == nil {
				after = e.Revision
				h.add(after)
			}
		}
	}()
	return h
}

// Several operators apply changes concurrently while the store loses the answers to 30 % of
// the writes. Each apply must report a revision of its own, each revision must come into
// force on all balancers, and no balancer may go back to an older revision.
func TestConcurrentAppliesComeIntoForceOnAllBalancers(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("SALTBEND_SECRETS", fleetSecret)
	fake, client := startStore(t)
	var first netip.AddrPort
	var nodes []*revisionLog
	for range 5 {
		var join []netip.AddrPort
		if first.IsValid() {
			join = append(join, first)
		}
		p, n := startNode(t, client, join...)
		first = p.Addr()
		nodes = append(nodes, observeNode(t.Context(), n))
	}
	t.Setenv("SALTBEND_PEERS", first.String())
	balancers := func() int { _, out, _ := runTool("status"); return strings.Count(out, "balancer") }
	g.Eventually(balancers, eventuallyTimeout).Should(Equal(len(nodes)))
	accepted := observeStore(t.Context(), client)
	fake.SetFaults(storefake.Faults{LoseAnswer: 0.3})

	revisions := applyConcurrently(t)
	g.Expect(revisions).To(HaveLen(operators * changesPerOperator))
	var times []time.Duration
	for _, revision := range revisions {
		at, ok := accepted.firstReached(revision)
		g.Expect(ok).To(BeTrue())
		for i, n := range nodes {
			in, ok := n.firstReached(revision)
			g.Expect(ok).To(BeTrue(), "balancer %d does not have revision %d", i, revision)
			times = append(times, in.Sub(at))
		}
	}
	for i, n := range nodes {
		g.Expect(n.nonDecreasing()).To(BeTrue(), "balancer %d went back to an older revision", i)
	}
	slices.Sort(times)
	t.Logf("time from acceptance by the store until in force on a balancer: p50 %v, p99 %v, max %v",
		times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
}

// applyConcurrently applies changes by several operators at the same time. It returns the
// revisions that apply reported, and fails the test if two of them are equal.
func applyConcurrently(t *testing.T) []uint64 {
	var mu sync.Mutex
	accepted := map[uint64]string{}
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			for n := range changesPerOperator {
				revision := applyUntilAccepted(t, operator, n)
				mu.Lock()
				if other, duplicate := accepted[revision]; duplicate {
					t.Errorf("apply reported to operators %d and %s the same revision %d", operator, other, revision)
				}
				accepted[revision] = fmt.Sprint(operator)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	var revisions []uint64
	for revision := range accepted {
		revisions = append(revisions, revision)
	}
	return revisions
}

func applyUntilAccepted(t *testing.T, operator, n int) (revision uint64) {
	path := writeConfig(t, fmt.Sprintf("# %d %d\n", operator, n)+fileA)
	for t.Context().Err() == nil {
		code, out, errs := runTool("apply", "--wait", path)
		switch code {
		case exit.OK:
			_, after, _ := strings.Cut(out, "Accepted as revision ")
			if _, err := fmt.Sscanf(after, "%d", &revision); err != nil {
				t.Errorf("apply printed no revision in %q", out)
			}
			return revision
		case exit.Conflict:
		default:
			t.Errorf("exit code %d: %s%s", code, out, errs)
			return 0
		}
	}
	return 0
}
