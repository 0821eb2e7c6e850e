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

// Subjects of the faults that don't affect a single node.
const (
	storeSubject  = "store"
	fabricSubject = "fabric"
	annexSubject  = "annex" // a data centre with every third agent
	rushSubject   = "rush"
)

// Parameters of the faults.
const (
	fabricLoss     = 0.1
	fabricMaxDelay = 20 * time.Millisecond
	// usualWork and slowWork are the processing times of upstreams.
	usualWork  = 40 * time.Millisecond
	slowWork   = 150 * time.Millisecond
	lostWrites = 3
	slowStore  = 600 * time.Millisecond
	// drainTime is how long an upstream continues to serve after the start of its drain.
	drainTime = 3500 * time.Millisecond
)

// acquire reserves the subject of a fault and reports whether it was free.
func (r *run) acquire(what any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[what] {
		return false
	}
	r.busy[what] = true
	return true
}

func (r *run) release(what any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, what)
}

// subject returns what the fault affects: a node, or the name of another subject.
func (r *run) subject(f Fault) any {
	switch f.Kind {
	case KillBalancer, StopBalancer, FreezeBalancer:
		return r.fleet.Balancers[f.Target%len(r.fleet.Balancers)]
	case KillAgent, StopAgent, FreezeAgent, CrashUpstream, DrainUpstream, SlowUpstream:
		return r.fleet.Agents[f.Target%len(r.fleet.Agents)]
	case LossyFabric:
		return fabricSubject
	case Evacuate:
		return annexSubject
	case Rush:
		return rushSubject
	case Configure:
		return f // unique to the fault, so never reserved by another
	}
	return storeSubject
}

// inject starts a fault and ends it after its duration. It skips a fault whose subject is
// under another fault.
func (r *run) inject(ctx context.Context, f Fault) {
	what := r.subject(f)
	if !r.acquire(what) {
		return
	}
	defer r.release(what)
	fmt.Fprintln(r.Log, f)
	switch node, _ := what.(*packetfleet.Node); f.Kind {
	case KillBalancer, FreezeBalancer, KillAgent, FreezeAgent:
		r.injectProcess(ctx, f, node)
	case StopBalancer, StopAgent:
		r.restartAsPlanned(ctx, f, node)
	case CrashUpstream, DrainUpstream, SlowUpstream:
		r.injectUpstream(ctx, f, node)
	case LossyFabric:
		r.eachCaller(func(c *packetplatform.Caller) { c.SetFabric(fabricLoss, fabricMaxDelay) })
		_ = wait.For(ctx, f.For) // the fault ends also if ctx is cancelled
		r.eachCaller(func(c *packetplatform.Caller) { c.SetFabric(0, 0) })
	case Rush:
		r.rush(ctx, f)
	case Configure:
		r.configure()
	case Evacuate:
		r.evacuate(ctx)
	case StoreReturns, StoreReturnsTwice, KillAllAndReturn:
		r.restoreStore(ctx, f)
	default:
		r.injectStore(ctx, f)
	}
}

// injectProcess injects a fault of a node's process.
func (r *run) injectProcess(ctx context.Context, f Fault, n *packetfleet.Node) {
	if n.Upstream != nil {
		r.checker.disturb(n.Upstream.ID, time.Hour)
		defer r.checker.disturb(n.Upstream.ID, 0)
	}
	switch f.Kind {
	case FreezeBalancer, FreezeAgent:
		if n.Process.Freeze() == nil {
			_ = wait.For(ctx, f.For) // the fault ends also if ctx is cancelled
			n.Process.Thaw()
		}
		return
	default:
		n.Process.Kill()
		_ = wait.For(ctx, f.For/4) // the process is restarted also if ctx is cancelled
	}
	r.restart(ctx, n)
}

// restartAsPlanned stops a node's process by a signal and starts the next one after the
// duration of the fault. No flow of a running upstream may be reset because of it.
func (r *run) restartAsPlanned(ctx context.Context, f Fault, n *packetfleet.Node) {
	n.Process.Signal(syscall.SIGTERM)
	<-n.Process.Done()
	_ = wait.For(ctx, f.For) // the process is restarted also if ctx is cancelled
	if r.fleet.Start(ctx, n) == nil {
		return
	}
	if n.Upstream != nil { // the process was killed, as it did not become ready in time
		r.checker.disturb(n.Upstream.ID, time.Hour)
		defer r.checker.disturb(n.Upstream.ID, 0)
	}
	r.restart(ctx, n)
}

// restart starts a node's process and repeats that until the process becomes ready in
// time, which it may not do while the store is unavailable.
func (r *run) restart(ctx context.Context, n *packetfleet.Node) {
	for ctx.Err() == nil {
		if r.fleet.Start(ctx, n) == nil {
			return
		}
	}
}

// injectUpstream injects a fault of a node's upstream.
func (r *run) injectUpstream(ctx context.Context, f Fault, n *packetfleet.Node) {
	u := n.Upstream
	switch f.Kind {
	case SlowUpstream:
		u.SetWork(slowWork)
		_ = wait.For(ctx, f.For) // the fault ends also if ctx is cancelled
		u.SetWork(usualWork)
		return
	case DrainUpstream:
		u.Drain()
		_ = wait.For(ctx, drainTime) // the upstream ends also if ctx is cancelled
	}
	r.checker.end(u.ID)
	u.Kill()
	_ = wait.For(ctx, f.For/4) // a new upstream starts also if ctx is cancelled
	if err := n.StartUpstream(); err != nil {
		r.checker.mu.Lock()
		r.checker.addFinding("can't start a new upstream on host %s: %s", n.Host.Name, err)
		r.checker.mu.Unlock()
		return
	}
	r.checker.begin(n.Upstream, n.Host.Service)
}

// injectStore injects a fault of the store or of the link to it.
func (r *run) injectStore(ctx context.Context, f Fault) {
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
		r.injectLink(ctx, f, func() error { return r.storeLink.Slow(slowStore) }, func() error { return r.storeLink.Slow(0) })
		return
	case StoreCut:
		r.injectLink(ctx, f, r.storeLink.Cut, r.storeLink.Heal)
		return
	case StoreLapse:
		s.Fail(http.StatusTooManyRequests)
		s.Lapse()
	}
	_ = wait.For(ctx, f.For) // the fault ends also if ctx is cancelled
	s.Fail(0)
}

// injectLink injects a fault of the link to the store: it calls begin, waits, and calls
// end.
func (r *run) injectLink(ctx context.Context, f Fault, begin, end func() error) {
	err := begin()
	_ = wait.For(ctx, f.For) // the fault ends also if ctx is cancelled
	if err == nil {
		err = end()
	}
	if err != nil {
		r.checker.mu.Lock()
		defer r.checker.mu.Unlock()
		r.checker.addFinding("can't change the link to the store: %s", err)
	}
}
