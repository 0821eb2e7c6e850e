// Package soak runs the processes of a packet face on loopback under load, injects
// overlapping faults of all kinds, and checks what callers and upstreams observe. The plan
// of faults is derived from a seed; the timing of the processes differs from run to run.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned maintenance.
type Kind string

// Kinds of faults.
const (
	KillBalancer    Kind = "kill-balancer"
	StopBalancer    Kind = "stop-balancer" // SIGTERM, then started again
	FreezeBalancer  Kind = "freeze-balancer"
	KillAgent       Kind = "kill-agent"
	StopAgent       Kind = "stop-agent" // SIGTERM, then started again after the duration
	FreezeAgent     Kind = "freeze-agent"
	CrashUpstream   Kind = "crash-upstream" // a new upstream starts afterwards
	DrainUpstream   Kind = "drain-upstream" // it drains and ends; a new upstream starts
	SlowUpstream    Kind = "slow-upstream"
	StoreAway       Kind = "store-away"
	StoreSilent     Kind = "store-silent"
	StoreLapse      Kind = "store-lapse" // unavailable, and all leases end
	StoreForgets    Kind = "store-forgets"
	StoreLosesWrite Kind = "store-loses-answers"
	StoreSlow       Kind = "store-slow"
	StoreCut        Kind = "store-cut" // connections stay open and carry no data
	Configure       Kind = "configure"
	LossyFabric     Kind = "lossy-fabric" // callers' packets are dropped and delayed
	Rush            Kind = "rush"         // many more callers than there is room for

	// Kinds that only plans of PlanReturns contain.
	StoreReturns      Kind = "store-returns" // restored from a copy taken at the start of the fault
	StoreReturnsTwice Kind = "store-returns-twice"
	KillAllAndReturn  Kind = "kill-all-and-return"
	Evacuate          Kind = "evacuate"
)

var returnKinds = []Kind{StoreReturns, StoreReturnsTwice, KillAllAndReturn, Evacuate}

var kinds = []Kind{
	KillBalancer, StopBalancer, FreezeBalancer, KillAgent, FreezeAgent, CrashUpstream, DrainUpstream, SlowUpstream,
	StoreAway, StoreSilent, StoreLapse, StoreForgets, StoreLosesWrite, StoreSlow, StoreCut, Configure, LossyFabric,
}

// Fault is one fault of a plan.
type Fault struct {
	// At is the start of the fault relative to the start of the load, For its
	// duration.
	At, For time.Duration
	Kind    Kind
	// Target selects the node: an index modulo the number of suitable nodes.
	Target int
}

// String describes the fault as it is logged.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %d for %s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.For.Round(time.Millisecond))
}

// Timing of a plan: the mean intervals between faults, and between the faults that only
// PlanReturns adds, and the shortest and longest duration of a fault.
const (
	meanGap       = 700 * time.Millisecond
	meanReturnGap = 2500 * time.Millisecond
	minFor        = 200 * time.Millisecond
	maxFor        = 2500 * time.Millisecond
	// meanRestartGap is the mean interval between planned restarts.
	meanRestartGap = 2 * time.Second
)

// restartKinds are planned restarts of single processes.
var restartKinds = []Kind{StopAgent, StopBalancer}

// PlanReturns returns the faults of a seed and adds restores of the store from copies and
// evacuations.
func PlanReturns(seed uint64, length time.Duration) []Fault {
	all := append(Plan(seed, length), plan(rand.New(rand.NewPCG(seed, ^seed)), returnKinds, meanReturnGap, length)...)
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Plan returns the faults of a seed, all of which end within length. They may overlap.
func Plan(seed uint64, length time.Duration) []Fault {
	all := plan(rand.New(rand.NewPCG(seed, seed)), kinds, meanGap, length)
	all = append(all, planRushes(rand.New(rand.NewPCG(^seed, seed)), length)...)
	all = append(all, plan(rand.New(rand.NewPCG(seed, seed+1)), restartKinds, meanRestartGap, length)...)
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// plan generates random faults of the kinds.
func plan(random *rand.Rand, kinds []Kind, gap, length time.Duration) (out []Fault) {
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(gap))
		fault := Fault{
			At: at, For: minFor + time.Duration(random.Int64N(int64(maxFor-minFor))),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16),
		}
		if at+fault.For > length {
			return out
		}
		out = append(out, fault)
	}
}
