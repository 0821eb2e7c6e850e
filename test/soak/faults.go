package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/test/packetfleet"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// What faults that are not of one node occupy.
const (
	theStore  = "store"
	theFabric = "fabric"
	theAnnex  = "annex" // a data centre with some of the agents
)

// Sizes of the faults.
const (
	fabricLoss = 0.1
	fabricLate = 20 * time.Millisecond
	slowWork   = 150 * time.Millisecond
	lostWrites = 3
	slowStore  = 600 * time.Millisecond
	// drainTime is how long an upstream that leaves serves on after its drain.
	drainTime = 3500 * time.Millisecond
)

// take occupies what a fault works on; it reports whether it was free.
func (r *run) take(what any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[what] {
		return false
	}
	r.busy[what] = true
	return true
}

func (r *run) free(what any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, what)
}

// subject returns what a fault works on.
func (r *run) subject(f Fault) any {
	switch f.Kind {
	case KillBalancer, StopBalancer, FreezeBalancer:
		return r.fleet.Balancers[f.Target%len(r.fleet.Balancers)]
	case KillAgent, FreezeAgent, CrashUpstream, DrainUpstream, SlowUpstream:
		return r.fleet.Agents[f.Target%len(r.fleet.Agents)]
	case LossyFabric:
		return theFabric
	case Evacuate:
		return theAnnex
	case Configure:
		return f // never occupied
	}
	return theStore
}

// bring brings about a fault and ends it. One whose subject is under another
// fault is left out.
func (r *run) bring(ctx context.Context, f Fault) {
	what := r.subject(f)
	if !r.take(what) {
		return
	}
	defer r.free(what)
	fmt.Fprintln(r.Log, f)
	switch node, _ := what.(*packetfleet.Node); f.Kind {
	case KillBalancer, StopBalancer, FreezeBalancer, KillAgent, FreezeAgent:
		r.process(ctx, f, node)
	case CrashUpstream, DrainUpstream, SlowUpstream:
		r.upstream(ctx, f, node)
	case LossyFabric:
		r.caller.SetFabric(fabricLoss, fabricLate)
		_ = wait.For(ctx, f.For) // the fault ends in any case
		r.caller.SetFabric(0, 0)
	case Configure:
		r.configure()
	case Evacuate:
		r.evacuate(ctx)
	case StoreReturns, StoreReturnsTwice, KillAllAndReturn:
		r.returns(ctx, f)
	default:
		r.store(ctx, f)
	}
}

// process brings about a fault of a node's process.
func (r *run) process(ctx context.Context, f Fault, n *packetfleet.Node) {
	if n.Upstream != nil {
		r.judge.disturb(n.Upstream.ID, time.Hour)
		defer r.judge.disturb(n.Upstream.ID, 0)
	}
	switch f.Kind {
	case FreezeBalancer, FreezeAgent:
		if n.Process.Freeze() == nil {
			_ = wait.For(ctx, f.For) // the fault ends in any case
			n.Process.Thaw()
		}
		return
	case StopBalancer:
		n.Process.Signal(syscall.SIGTERM)
		<-n.Process.Done()
	default:
		n.Process.Kill()
		_ = wait.For(ctx, f.For/4) // the process is started again in any case
	}
	r.restart(ctx, n)
}

// restart starts a node's process, again and again while it is not ready in time
// as the store is away.
func (r *run) restart(ctx context.Context, n *packetfleet.Node) {
	for ctx.Err() == nil {
		if r.fleet.Start(ctx, n) == nil {
			return
		}
	}
}

// upstream brings about a fault of a node's upstream.
func (r *run) upstream(ctx context.Context, f Fault, n *packetfleet.Node) {
	u := n.Upstream
	switch f.Kind {
	case SlowUpstream:
		u.SetWork(slowWork)
		_ = wait.For(ctx, f.For) // the fault ends in any case
		u.SetWork(0)
		return
	case DrainUpstream:
		u.Drain()
		_ = wait.For(ctx, drainTime) // it leaves in any case
	}
	r.judge.end(u.ID)
	u.Kill()
	_ = wait.For(ctx, f.For/4) // a new life begins in any case
	if err := n.StartUpstream(); err != nil {
		r.judge.mu.Lock()
		r.judge.find("no new upstream at %s: %s", n.Host.Name, err)
		r.judge.mu.Unlock()
		return
	}
	r.judge.begin(n.Upstream, n.Host.Service)
}

// store brings about a fault of the store.
func (r *run) store(ctx context.Context, f Fault) {
	s := r.fleet.Store
	switch f.Kind {
	case StoreForgets:
		s.Compact()
		return
	case StoreLosesWrite:
		s.LoseAnswers(lostWrites)
		return
	case StoreAway:
		s.Fail(http.StatusServiceUnavailable)
	case StoreSilent:
		s.Fail(packetplatform.Silent)
	case StoreSlow:
		r.link(ctx, f, func() error { return r.way.Slow(slowStore) }, func() error { return r.way.Slow(0) })
		return
	case StoreCut:
		r.link(ctx, f, r.way.Cut, r.way.Heal)
		return
	case StoreLapse:
		s.Fail(http.StatusTooManyRequests)
		s.Lapse()
	}
	_ = wait.For(ctx, f.For) // the fault ends in any case
	s.Fail(0)
}

// link brings about a fault of the way to the store.
func (r *run) link(ctx context.Context, f Fault, begin, end func() error) {
	err := begin()
	_ = wait.For(ctx, f.For) // the fault ends in any case
	if err == nil {
		err = end()
	}
	if err != nil {
		r.judge.mu.Lock()
		defer r.judge.mu.Unlock()
		r.judge.find("the way to the store: %s", err)
	}
}
