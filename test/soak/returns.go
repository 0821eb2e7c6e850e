package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/report"
	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/packetfleet"
)

// Returns of the store from copies, and what must hold through them.

// Bounds and times.
const (
	// inForceBound is the time after its acknowledgement within which a configuration is
	// in force on all balancers.
	inForceBound = 3 * time.Second
	// evacuateBound is the time after a request from which on no flow is opened there.
	evacuateBound = 5 * time.Second
	// evacuateFor is how long one lasts.
	evacuateFor = 9 * time.Second
	// awayFor is how long the store is away before it comes back, rewriteWithin the time
	// within which operators write again what it lost.
	awayFor       = 200 * time.Millisecond
	rewriteWithin = 3 * time.Second
	// annexPart is the part of the agents that are in the annex, as one in so many.
	annexPart = 3
)

// dataCentre returns that of the i-th agent.
func dataCentre(i int) string {
	if i%annexPart == annexPart-1 {
		return theAnnex
	}
	return "hall"
}

// returns lets the store come back from a copy.
func (r *run) returns(ctx context.Context, f Fault) {
	s := r.fleet.Store
	old := s.Copy()
	_ = wait.For(ctx, f.For) // it comes back in any case
	s.Fail(http.StatusServiceUnavailable)
	var restarts sync.WaitGroup
	if f.Kind == KillAllAndReturn {
		r.killAll(ctx, &restarts)
	}
	_ = wait.For(ctx, awayFor) // the same
	lost := s.Return(old)
	if f.Kind == StoreReturnsTwice {
		s.Return(old)
	}
	s.Fail(0)
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	if f.Target%2 == 0 {
		_ = wait.For(ctx, rand.N(rewriteWithin)) // they write in any case
	}
	for _, item := range lost {
		s.RepeatWrite(old, item)
	}
	if f.Kind == KillAllAndReturn {
		r.want(time.Now()) // nobody knew of an evacuation that the copy lacks
	}
	restarts.Wait()
}

// killAll kills all processes that are under no other fault and starts them again.
func (r *run) killAll(ctx context.Context, restarts *sync.WaitGroup) {
	for _, n := range r.fleet.Nodes() {
		if !r.take(n) {
			continue
		}
		if n.Upstream != nil {
			r.judge.disturb(n.Upstream.ID, time.Hour)
		}
		n.Process.Kill()
		restarts.Go(func() {
			defer r.free(n)
			r.restart(ctx, n)
			if n.Upstream != nil {
				r.judge.disturb(n.Upstream.ID, 0)
			}
		})
	}
}

// want notes since when the annex is to be empty.
func (r *run) want(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = since
}

// evacuate asks for the annex to be emptied, takes that back later, and judges what was
// opened there.
func (r *run) evacuate(ctx context.Context) {
	r.fleet.Store.Put(platform.EvacuationKey(theAnnex), []byte("{}"))
	r.want(time.Now())
	_ = wait.For(ctx, evacuateFor) // it is taken back in any case
	r.mu.Lock()
	since := r.wanted.Add(evacuateBound)
	r.mu.Unlock()
	now := time.Now()
	r.fleet.Store.Remove(platform.EvacuationKey(theAnnex))
	for i, n := range r.fleet.Agents {
		if dataCentre(i) == theAnnex {
			r.judge.evacuated(n, since, now)
		}
	}
}

// evacuated checks what was opened at an agent while its data centre was to be empty.
func (j *judge) evacuated(n *packetfleet.Node, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.lives[n.Upstream.ID]
	if l == nil || l.disturbed.After(from) {
		return // its process has begun anew meanwhile
	}
	if late := n.Upstream.OpenedBetween(from, to); late > 0 {
		j.findLate("%s in an evacuated data centre got %d flows", n.Host.Name, late)
	}
}

// expectInForce lets the store come back once more, and expects the next configuration
// in force on all balancers within the bound.
func (r *run) expectInForce(ctx context.Context) {
	old := r.fleet.Store.Copy()
	r.configure()
	_ = wait.For(ctx, time.Second) // what follows sees the end of ctx
	r.fleet.Store.Return(old)
	r.configure()
	began := time.Now()
	for ctx.Err() == nil {
		behind := r.behind(ctx)
		if behind == "" {
			return
		}
		if time.Since(began) > inForceBound {
			r.judge.mu.Lock()
			r.judge.findLate("version %d is not in force %s after its acknowledgement: %s", r.version, inForceBound, behind)
			r.judge.mu.Unlock()
			return
		}
		_ = wait.For(ctx, readyTick) // the loop sees the end of ctx
	}
}

// behind names a balancer that lacks the newest configuration, empty for none.
func (r *run) behind(ctx context.Context) string {
	for _, b := range r.fleet.Balancers {
		believed, err := report.Fetch(ctx, b.Host.Control())
		if err != nil || believed.Version != uint64(r.version) {
			return fmt.Sprintf("%s has %d (%v)", b.Host.Name, believed.Version, err)
		}
	}
	return ""
}
