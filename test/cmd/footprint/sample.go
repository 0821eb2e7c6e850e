package main

import (
	"context"
	"time"

	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/storefake"
)

// usage is the resource usage of a process, since its start or within a window.
type usage struct {
	bytesIn, bytesOut float64
	cpuSeconds        float64
	// resident is the resident memory; anonymous is the part of it that is not backed by
	// a file and thus not shared with other processes.
	resident, anonymous float64
	heap, stack         float64
}

// window is the resource usage of a fleet's processes within a period.
type window struct {
	length time.Duration
	byRole map[string][]usage
	calls  storefake.Calls
}

// measure calls during and returns the fleet's resource usage in that time.
func (f *fleet) measure(ctx context.Context, during func() error) (window, error) {
	before, err := f.sample(ctx)
	if err != nil {
		return window{}, err
	}
	start := time.Now()
	if err := during(); err != nil {
		return window{}, err
	}
	length := time.Since(start)
	after, err := f.sample(ctx)
	after.length = length
	after.calls = minus(after.calls, before.calls, 1)
	for role, all := range after.byRole {
		for i := range all {
			all[i].bytesIn -= before.byRole[role][i].bytesIn
			all[i].bytesOut -= before.byRole[role][i].bytesOut
			all[i].cpuSeconds -= before.byRole[role][i].cpuSeconds
		}
	}
	return after, err
}

// sample reads the resource usage since the start. Reading a process's metrics itself costs
// processor time, which each window includes once.
func (f *fleet) sample(ctx context.Context) (w window, err error) {
	w.byRole = make(map[string][]usage)
	if w.calls, err = f.storeCalls(ctx); err != nil {
		return w, err
	}
	for _, role := range roles {
		for _, p := range f.processes[role] {
			u, err := usageOf(ctx, p)
			if err != nil {
				return w, err
			}
			w.byRole[role] = append(w.byRole[role], u)
		}
	}
	return w, nil
}

func usageOf(ctx context.Context, p *harness.Process) (u usage, err error) {
	if u.cpuSeconds, err = p.CPUSeconds(); err != nil {
		return u, err
	}
	for prefix, to := range map[string]*float64{
		`saltbend_peer_bytes{direction="in"}`:  &u.bytesIn,
		`saltbend_peer_bytes{direction="out"}`: &u.bytesOut,
		"go_memstats_heap_inuse_bytes":         &u.heap,
		"go_memstats_stack_inuse_bytes":        &u.stack,
	} {
		if *to, err = p.Metric(ctx, prefix); err != nil {
			return u, err
		}
	}
	u.resident, u.anonymous, err = p.Memory()
	return u, err
}
