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
	racers          = 5
	changesPerRacer = 10
)

// history notes which revision a process has in force since when.
type history struct {
	mu   sync.Mutex
	seen []seenRevision
}

type seenRevision struct {
	revision uint64
	at       time.Time
}

func (h *history) add(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = append(h.seen, seenRevision{revision, time.Now()})
}

// since returns when the process first had the revision or a later one.
func (h *history) since(revision uint64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.seen, func(s seenRevision) bool { return s.revision >= revision })
	if i < 0 {
		return time.Time{}, false
	}
	return h.seen[i].at, true
}

func (h *history) rises() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.IsSortedFunc(h.seen, func(a, b seenRevision) int { return int(a.revision) - int(b.revision) })
}

// follow notes each revision that the node puts in force.
func follow(ctx context.Context, n *control.Node) *history {
	h := &history{}
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

// followStore notes each revision that the store accepts.
func followStore(ctx context.Context, s *httpstore.Client) *history {
	h := &history{}
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

// TestRacingChangesComeIntoForceEverywhere lets operators race with the tool,
// while the store loses answers, and watches all balancers.
func TestRacingChangesComeIntoForceEverywhere(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("SALTBEND_SECRETS", fleetSecret)
	fake, client := startStore(t)
	var first netip.AddrPort
	var nodes []*history
	for range 5 {
		var join []netip.AddrPort
		if first.IsValid() {
			join = append(join, first)
		}
		p, n := startNode(t, client, join...)
		first = p.Addr()
		nodes = append(nodes, follow(t.Context(), n))
	}
	t.Setenv("SALTBEND_PEERS", first.String())
	balancers := func() int { _, out, _ := tool("status"); return strings.Count(out, "balancer") }
	g.Eventually(balancers, patience).Should(Equal(len(nodes)))
	accepted := followStore(t.Context(), client)
	fake.SetFaults(storefake.Faults{LoseAnswer: 0.3})

	revisions := raceWithTool(t)
	g.Expect(revisions).To(HaveLen(racers * changesPerRacer))
	var times []time.Duration
	for _, revision := range revisions {
		at, ok := accepted.since(revision)
		g.Expect(ok).To(BeTrue())
		for i, n := range nodes {
			in, ok := n.since(revision)
			g.Expect(ok).To(BeTrue(), "balancer %d has not revision %d", i, revision)
			times = append(times, in.Sub(at))
		}
	}
	for i, n := range nodes {
		g.Expect(n.rises()).To(BeTrue(), "balancer %d fell back", i)
	}
	slices.Sort(times)
	t.Logf("from the store's acceptance to in force at a balancer: p50 %v, p99 %v, max %v",
		times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
}

// raceWithTool returns the revisions that the operators were told, which are
// all different.
func raceWithTool(t *testing.T) []uint64 {
	var mu sync.Mutex
	told := map[uint64]string{}
	var racing sync.WaitGroup
	for racer := range racers {
		racing.Go(func() {
			for n := range changesPerRacer {
				revision := applyUntilAccepted(t, racer, n)
				mu.Lock()
				if other, twice := told[revision]; twice {
					t.Errorf("operators %d and %s were both told revision %d", racer, other, revision)
				}
				told[revision] = fmt.Sprint(racer)
				mu.Unlock()
			}
		})
	}
	racing.Wait()
	var revisions []uint64
	for revision := range told {
		revisions = append(revisions, revision)
	}
	return revisions
}

func applyUntilAccepted(t *testing.T, racer, n int) (revision uint64) {
	path := write(t, fmt.Sprintf("# %d %d\n", racer, n)+fileA)
	for t.Context().Err() == nil {
		code, out, errs := tool("apply", "--wait", path)
		switch code {
		case exit.OK:
			_, after, _ := strings.Cut(out, "Accepted as revision ")
			if _, err := fmt.Sscanf(after, "%d", &revision); err != nil {
				t.Errorf("no revision in %q", out)
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
