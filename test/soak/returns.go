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

// Parameters of evacuations and of restores of the store from copies.
const (
	// inForceBound is the time after the acknowledgement of a configuration within which
	// it must be in force on all balancers.
	inForceBound = 3 * time.Second
	// evacuateBound is the time after a request for evacuation after which no new flow
	// may be opened in the data centre.
	evacuateBound = 5 * time.Second
	// evacuateFor is the duration of an evacuation.
	evacuateFor = 9 * time.Second
	// unavailableFor is how long the store is unavailable before it is restored,
	// rewriteWithin the time within which operators repeat the lost writes.
	unavailableFor = 200 * time.Millisecond
	rewriteWithin  = 3 * time.Second
	// annexEvery places one of this many agents in the annex.
	annexEvery = 3
)

// dataCentre returns the data centre of the i-th agent.
func dataCentre(i int) string {
	if i%annexEvery == annexEvery-1 {
		return annexSubject
	}
	return "hall"
}

// restoreStore copies the store, restores it from the copy after the fault's duration, and
// repeats the operators' writes that were lost.
func (r *run) restoreStore(ctx context.Context, f Fault) {
	s := r.fleet.Store
	old := s.Copy()
	_ = wait.For(ctx, f.For) // the store is restored also if ctx is cancelled
	s.Fail(http.StatusServiceUnavailable)
	var restarts sync.WaitGroup
	if f.Kind == KillAllAndReturn {
		r.killAll(ctx, &restarts)
	}
	_ = wait.For(ctx, unavailableFor) // the store is restored also if ctx is cancelled
	lost := s.Return(old)
	if f.Kind == StoreReturnsTwice {
		s.Return(old)
	}
	s.Fail(0)
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	if f.Target%2 == 0 {
		_ = wait.For(ctx, rand.N(rewriteWithin)) // the writes are repeated also if ctx is cancelled
	}
	for _, item := range lost {
		s.RepeatWrite(old, item)
	}
	if f.Kind == KillAllAndReturn {
		r.setEvacuateSince(time.Now()) // no process remembered an evacuation that the copy lacks
	}
	restarts.Wait()
}

// killAll kills all processes that are not under another fault and restarts them.
func (r *run) killAll(ctx context.Context, restarts *sync.WaitGroup) {
	for _, n := range r.fleet.Nodes() {
		if !r.acquire(n) {
			continue
		}
		if n.Upstream != nil {
			r.checker.disturb(n.Upstream.ID, time.Hour)
		}
		n.Process.Kill()
		restarts.Go(func() {
			defer r.release(n)
			r.restart(ctx, n)
			if n.Upstream != nil {
				r.checker.disturb(n.Upstream.ID, 0)
			}
		})
	}
}

// setEvacuateSince records the start of the evacuation of the annex.
func (r *run) setEvacuateSince(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuateSince = since
}

// evacuate requests the evacuation of the annex, cancels it after evacuateFor, and checks
// that no flow was opened there after evacuateBound.
func (r *run) evacuate(ctx context.Context) {
	r.fleet.Store.Put(platform.EvacuationKey(annexSubject), []byte("{}"))
	r.setEvacuateSince(time.Now())
	_ = wait.For(ctx, evacuateFor) // the evacuation is cancelled also if ctx is cancelled
	r.mu.Lock()
	since := r.evacuateSince.Add(evacuateBound)
	r.mu.Unlock()
	now := time.Now()
	r.fleet.Store.Remove(platform.EvacuationKey(annexSubject))
	for i, n := range r.fleet.Agents {
		if dataCentre(i) == annexSubject {
			r.checker.checkEvacuated(n, since, now)
		}
	}
}

// checkEvacuated checks that no flow was opened at the upstream of an agent between two times
// of the evacuation of its data centre.
func (j *checker) checkEvacuated(n *packetfleet.Node, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.instances[n.Upstream.ID]
	if l == nil || l.disturbed.After(from) {
		return // the agent's process may have been restarted in between
	}
	if late := n.Upstream.OpenedBetween(from, to); late > 0 {
		j.addLateFinding("upstream on host %s in an evacuated data centre received %d new flows", n.Host.Name, late)
	}
}

// expectInForce restores the store once more and checks that the next configuration is in
// force on all balancers within inForceBound.
func (r *run) expectInForce(ctx context.Context) {
	old := r.fleet.Store.Copy()
	r.configure()
	_ = wait.For(ctx, time.Second) // the code that follows checks ctx
	r.fleet.Store.Return(old)
	r.configure()
	began := time.Now()
	for ctx.Err() == nil {
		behind := r.behind(ctx)
		if behind == "" {
			return
		}
		if time.Since(began) > inForceBound {
			r.checker.mu.Lock()
			r.checker.addLateFinding("configuration version %d is not in force on all balancers %s after its acknowledgement: %s", r.version, inForceBound, behind)
			r.checker.mu.Unlock()
			return
		}
		_ = wait.For(ctx, readyPollInterval) // the loop checks ctx
	}
}

// behind describes a balancer on which the newest configuration is not in force; empty if
// there is none.
func (r *run) behind(ctx context.Context) string {
	for _, b := range r.fleet.Balancers {
		believed, err := report.Fetch(ctx, b.Host.Control())
		if err != nil || believed.Version != uint64(r.version) {
			return fmt.Sprintf("balancer %s has version %d in force (error: %v)", b.Host.Name, believed.Version, err)
		}
	}
	return ""
}
