// Package mesh simulates the network between product processes that run as parts of one
// test: their net/rpc calls use in-memory pipes.
package mesh

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Mesh connects simulated processes by net/rpc over in-memory pipes, and can partition
// them. It is safe for concurrent use.
type Mesh struct {
	mu      sync.Mutex
	servers map[netip.AddrPort]*rpc.Server
	clients map[[2]netip.AddrPort]*rpc.Client
	cut     func(a, b netip.AddrPort) bool
}

// New returns a mesh without processes.
func New() *Mesh {
	return &Mesh{servers: map[netip.AddrPort]*rpc.Server{}, clients: map[[2]netip.AddrPort]*rpc.Client{}}
}

// SetCut makes calls between a and b fail, in both directions, if cut returns true for them
// in either order.
func (m *Mesh) SetCut(cut func(a, b netip.AddrPort) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// Port is the connection of one process to the mesh. It implements peer.Caller and
// peer.Registry.
type Port struct {
	mesh *Mesh
	addr netip.AddrPort
}

// Open returns the port of a process that starts at addr, and disconnects an earlier process
// at that address.
func (m *Mesh) Open(addr netip.AddrPort) *Port {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers[addr] = rpc.NewServer()
	m.drop(addr)
	return &Port{m, addr}
}

// drop closes the connections from and to addr.
func (m *Mesh) drop(addr netip.AddrPort) {
	for key, c := range m.clients {
		if key[0] == addr || key[1] == addr {
			c.Close()
			delete(m.clients, key)
		}
	}
}

// Crash disconnects the process at addr from the mesh.
func (m *Mesh) Crash(addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.servers, addr)
	m.drop(addr)
}

// Register makes the receiver's methods available to the other processes.
func (p *Port) Register(name string, receiver any) error {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	return p.mesh.servers[p.addr].RegisterName(name, receiver)
}

// Call calls a method of the process at the address to. It fails if there is no process, or
// if the processes are cut off from each other.
func (p *Port) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	client, err := p.mesh.client(p.addr, to)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Mesh) client(from, to netip.AddrPort) (*rpc.Client, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut != nil && (m.cut(from, to) || m.cut(to, from)) {
		return nil, errors.New("cut")
	}
	server := m.servers[to]
	if server == nil || m.servers[from] == nil {
		return nil, syscall.ECONNREFUSED
	}
	key := [2]netip.AddrPort{from, to}
	if m.clients[key] == nil {
		near, far := net.Pipe()
		go server.ServeConn(far)
		m.clients[key] = rpc.NewClient(near)
	}
	return m.clients[key], nil
}
