package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/jsonhttp"
	"github.com/saltbend/saltbend/test/storefake"
)

const (
	// balancerShare is the ratio of processes to balancers.
	balancerShare = 4
	// agentsPerService is the number of agents of a service, the same for all fleet sizes.
	agentsPerService = 7
	// maxConcurrentStarts limits the number of agents that start concurrently.
	maxConcurrentStarts = 4
)

// Roles of the measured processes.
const (
	balancer = "balancer"
	agent    = "agent"
)

var roles = []string{balancer, agent}

// fleet is a running fleet.
type fleet struct {
	harness   *harness.Fleet
	processes map[string][]*harness.Process
	// applyCalls are the calls to the store made by one `saltbend apply`.
	applyCalls storefake.Calls
}

func startFleet(ctx context.Context, dir string, size int) (*fleet, error) {
	balancers := (size + balancerShare - 1) / balancerShare
	agents := size - balancers
	var services []string
	for i := 0; i < max(agents, 1); i += agentsPerService {
		services = append(services, fmt.Sprintf("service-%d", i/agentsPerService))
	}
	own, err := os.MkdirTemp(dir, "fleet-")
	if err != nil {
		return nil, err
	}
	h, err := harness.New(ctx, filepath.Join(dir, "bin"), own, services...)
	if err != nil {
		return nil, err
	}
	f := &fleet{harness: h, processes: make(map[string][]*harness.Process)}
	if err := f.populate(ctx, balancers, agents, services); err != nil {
		h.Close()
		return nil, err
	}
	return f, nil
}

// populate applies a configuration and starts the members. The configuration is applied
// first, while the store has no other client, so that the calls to the store are those of
// the command alone.
func (f *fleet) populate(ctx context.Context, balancers, agents int, services []string) error {
	if err := f.harness.Apply(ctx, harness.DefaultValues()); err != nil {
		return err
	}
	var err error
	if f.applyCalls, err = f.storeCalls(ctx); err != nil {
		return err
	}
	for range balancers {
		p, err := f.harness.AddBalancer(ctx)
		if err != nil {
			return err
		}
		f.add(balancer, p)
	}
	for i := 0; i < agents; i += agentsPerService {
		if err := f.addService(ctx, services[i/agentsPerService], min(agentsPerService, agents-i)); err != nil {
			return err
		}
	}
	return nil
}

// addService starts agents of a service. They share one upstream, so that few processes
// other than the measured ones use the machine.
func (f *fleet) addService(ctx context.Context, service string, agents int) error {
	first, err := f.harness.AddPair(ctx, service)
	if err != nil {
		return err
	}
	pairs := []*harness.Pair{first}
	var group errgroup.Group
	group.SetLimit(maxConcurrentStarts)
	for len(pairs) < agents {
		pair := *first
		pairs = append(pairs, &pair)
		group.Go(func() error { return f.harness.AddAgent(ctx, &pair) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, pair := range pairs {
		f.add(agent, pair.Agent)
	}
	return nil
}

// add records a process and prints its pid and address, which are needed to profile it.
func (f *fleet) add(role string, p *harness.Process) {
	f.processes[role] = append(f.processes[role], p)
	fmt.Fprintf(os.Stderr, "%s pid %d ops %s\n", p.Name, p.PID(), p.Address("ops"))
}

func (f *fleet) storeCalls(ctx context.Context) (calls storefake.Calls, err error) {
	err = jsonhttp.Do(ctx, http.MethodGet, f.harness.Store.URL("address")+"/calls", nil, &calls)
	return calls, err
}

// minus returns c less o multiplied by times.
func minus(c, o storefake.Calls, times uint64) storefake.Calls {
	return storefake.Calls{
		Get: c.Get - times*o.Get, List: c.List - times*o.List, Put: c.Put - times*o.Put,
		Delete: c.Delete - times*o.Delete, Watch: c.Watch - times*o.Watch,
	}
}
