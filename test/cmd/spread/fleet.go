package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/test/harness"
)

const (
	service = "results"
	// balancerShare is the ratio of processes to balancers.
	balancerShare = 4
	minBalancers  = 2
	pollInterval  = 20 * time.Millisecond
	knownTimeout  = time.Minute
)

// fleet is a running fleet. All its agents share one upstream.
type fleet struct {
	*harness.Fleet
	size      int
	balancers []*harness.Process
	first     *harness.Pair
	agents    int
}

func startFleet(ctx context.Context, bin, dir string, size int) (*fleet, error) {
	h, err := harness.New(ctx, bin, dir, service)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: h, size: size}
	if err := f.populate(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) populate(ctx context.Context) error {
	if err := f.Apply(ctx, harness.DefaultValues()); err != nil {
		return err
	}
	for range max(minBalancers, f.size/balancerShare) {
		b, err := f.AddBalancer(ctx)
		if err != nil {
			return err
		}
		f.balancers = append(f.balancers, b)
	}
	var err error
	if f.first, err = f.AddPair(ctx, service); err != nil {
		return err
	}
	f.agents = 1
	for len(f.balancers)+f.agents < f.size {
		if _, err := f.addAgent(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) addAgent(ctx context.Context) (*harness.Process, error) {
	pair := *f.first
	if err := f.AddAgent(ctx, &pair); err != nil {
		return nil, err
	}
	f.agents++
	return pair.Agent, nil
}

// measureChanges adds and removes an agent in each of the ways to end it, and prints how long
// the balancers take to detect each change. The time for a new agent starts when the agent
// reports that it is ready.
func (f *fleet) measureChanges(ctx context.Context) error {
	for _, end := range []struct {
		name string
		do   func(*harness.Process) error
	}{
		{"Killed", func(p *harness.Process) error { p.Kill(); return nil }},
		{"Stopped", func(p *harness.Process) error {
			go func() { _, _ = p.Stop(knownTimeout) }()
			return nil
		}},
		{"Silent", (*harness.Process).Freeze},
	} {
		agent, err := f.addAgent(ctx)
		if err != nil {
			return err
		}
		if err := f.awaitKnown(ctx, "New", time.Now()); err != nil {
			return err
		}
		start := time.Now()
		if err := end.do(agent); err != nil {
			return err
		}
		f.agents--
		if err := f.awaitKnown(ctx, end.name, start); err != nil {
			return err
		}
		if end.name == "Silent" {
			agent.Kill()
		}
	}
	return nil
}

// awaitKnown waits until each balancer counts the actual number of agents, and prints the
// time since start.
func (f *fleet) awaitKnown(ctx context.Context, name string, start time.Time) error {
	for _, b := range f.balancers {
		for {
			n, err := b.Metric(ctx, `saltbend_control_members{role="agent"}`)
			if err != nil {
				return err
			}
			if int(n) == f.agents {
				break
			}
			if time.Since(start) > knownTimeout {
				return errors.Errorf("%s agent: balancer %s counts %v agents, want %d", name, b.Name, n, f.agents)
			}
			time.Sleep(pollInterval)
		}
	}
	fmt.Printf("BenchmarkKnown%s/processes=%d 1 %.3f s\n", name, f.size, time.Since(start).Seconds())
	return nil
}
