// Package soak runs a fleet of the packet face as real processes on loopback
// under load while faults of all kinds overlap, and judges what callers and
// upstreams see. A seed gives the plan of faults; the processes' timing differs
// from run to run.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Kinds of faults.
const (
	KillBalancer    Kind = "kill-balancer"
	StopBalancer    Kind = "stop-balancer" // SIGTERM, then started again
	FreezeBalancer  Kind = "freeze-balancer"
	KillAgent       Kind = "kill-agent"
	FreezeAgent     Kind = "freeze-agent"
	CrashUpstream   Kind = "crash-upstream" // another life begins afterwards
	DrainUpstream   Kind = "drain-upstream" // it leaves and another life begins
	SlowUpstream    Kind = "slow-upstream"
	StoreAway       Kind = "store-away"
	StoreSilent     Kind = "store-silent"
	StoreLapse      Kind = "store-lapse" // away, and all leases end
	StoreForgets    Kind = "store-forgets"
	StoreLosesWrite Kind = "store-loses-answers"
	StoreSlow       Kind = "store-slow"
	StoreCut        Kind = "store-cut" // all connections go silent
	Configure       Kind = "configure"
	LossyFabric     Kind = "lossy-fabric" // callers' packets are lost and late

	// Those of plans with returns.
	StoreReturns      Kind = "store-returns" // from a copy that is as old as the fault lasts
	StoreReturnsTwice Kind = "store-returns-twice"
	KillAllAndReturn  Kind = "kill-all-and-return"
	Evacuate          Kind = "evacuate"
)

var returns = []Kind{StoreReturns, StoreReturnsTwice, KillAllAndReturn, Evacuate}

var kinds = []Kind{
	KillBalancer, StopBalancer, FreezeBalancer, KillAgent, FreezeAgent, CrashUpstream, DrainUpstream, SlowUpstream,
	StoreAway, StoreSilent, StoreLapse, StoreForgets, StoreLosesWrite, StoreSlow, StoreCut, Configure, LossyFabric,
}

// Fault is one fault of a plan.
type Fault struct {
	// At is when it begins, counted from the start of the load; For is how long
	// it lasts.
	At, For time.Duration
	Kind    Kind
	// Target picks the node, modulo the number of nodes that fit.
	Target int
}

// String tells of a fault in a report.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %d for %s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.For.Round(time.Millisecond))
}

// Times of a plan.
const (
	meanGap    = 700 * time.Millisecond
	meanReturn = 2500 * time.Millisecond
	leastFor   = 200 * time.Millisecond
	mostFor    = 2500 * time.Millisecond
)

// PlanReturns returns the faults of a seed with returns of the store from copies and
// evacuations among them.
func PlanReturns(seed uint64, length time.Duration) []Fault {
	all := append(Plan(seed, length), plan(rand.New(rand.NewPCG(seed, ^seed)), returns, meanReturn, length)...)
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Plan returns the faults of a seed within a time. They overlap.
func Plan(seed uint64, length time.Duration) (out []Fault) {
	return plan(rand.New(rand.NewPCG(seed, seed)), kinds, meanGap, length)
}

// plan draws faults of some kinds.
func plan(random *rand.Rand, kinds []Kind, gap, length time.Duration) (out []Fault) {
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(gap))
		fault := Fault{
			At: at, For: leastFor + time.Duration(random.Int64N(int64(mostFor-leastFor))),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16),
		}
		if at+fault.For > length {
			return out
		}
		out = append(out, fault)
	}
}
