// Package packetfleet runs the balancers and agents of a packet face (the load balancing
// of packets) as real processes on loopback, with the simulated platform of package
// packetplatform.
package packetfleet

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// Fleet is a simulated site with its processes. Nodes must be added from one goroutine.
type Fleet struct {
	*packetplatform.Site
	Balancers, Agents []*Node

	dir, program string
}

// Node is a host with its process and, for an agent, its upstream.
type Node struct {
	Host     *packetplatform.Host
	Process  *harness.Process
	Upstream *packetplatform.Upstream
	role     string
}

// New returns a fleet without processes. Settings files and logs are written to dir;
// program is the path of the daemon.
func New(dir, program string) (*Fleet, error) {
	site, err := packetplatform.NewSite(dir)
	if err != nil {
		return nil, err
	}
	return &Fleet{Site: site, dir: dir, program: program}, nil
}

// AddAgent adds a host in the data centre "hall" with an upstream of the service and its
// agent.
func (f *Fleet) AddAgent(ctx context.Context, name, service string) (*Node, error) {
	return f.AddAgentIn(ctx, "hall", name, service)
}

// AddAgentIn is AddAgent for a given data centre.
func (f *Fleet) AddAgentIn(ctx context.Context, dataCentre, name, service string) (*Node, error) {
	host, err := f.Host(name, dataCentre, service)
	if err != nil {
		return nil, err
	}
	n := &Node{Host: host, role: "packet-agent"}
	if err := n.StartUpstream(); err != nil {
		return nil, err
	}
	f.Agents = append(f.Agents, n)
	return n, f.Start(ctx, n)
}

// AddBalancer adds a host in the data centre "hall" with a balancer.
func (f *Fleet) AddBalancer(ctx context.Context, name string) (*Node, error) {
	host, err := f.Host(name, "hall", "")
	if err != nil {
		return nil, err
	}
	n := &Node{Host: host, role: "packet-balancer"}
	f.Balancers = append(f.Balancers, n)
	return n, f.Start(ctx, n)
}

// Start starts the node's process and waits until it is ready.
func (f *Fleet) Start(ctx context.Context, n *Node) (err error) {
	n.Process, err = harness.Start(ctx, f.dir, n.Host.Name, f.program, nil, n.role, "--settings", n.Host.Settings)
	return err
}

// StartUpstream starts a new upstream for the node, with a new id.
func (n *Node) StartUpstream() (err error) {
	n.Upstream, err = packetplatform.StartUpstream(n.Host)
	return err
}

// Ready returns the packet addresses of the balancers whose readiness checks succeed. It
// may be called while other goroutines start and end processes.
func (f *Fleet) Ready() (ready []netip.AddrPort) {
	for _, b := range f.Balancers {
		if b.Host.Ready() {
			ready = append(ready, b.Host.Packets())
		}
	}
	return ready
}

// Nodes returns all nodes, balancers first.
func (f *Fleet) Nodes() []*Node { return append(append([]*Node(nil), f.Balancers...), f.Agents...) }

// Log returns the log of the node's process, empty if it was never started.
func (n *Node) Log() (string, error) {
	if n.Process == nil {
		return "", nil
	}
	text, err := os.ReadFile(n.Process.LogPath)
	return string(text), err
}

// Close ends all processes and upstreams of the fleet and closes its store.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		if n.Process != nil {
			n.Process.Kill()
		}
		if n.Upstream != nil {
			n.Upstream.Kill()
		}
	}
	f.Store.Close()
}

// Name returns the name of the i-th host of a kind.
func Name(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }
