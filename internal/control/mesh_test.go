package control_test

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/member"
)

// mesh connects nodes of one test process by net/rpc over in-memory pipes, and
// can cut them from each other.
type mesh struct {
	mu      sync.Mutex
	servers map[netip.AddrPort]*rpc.Server
	clients map[[2]netip.AddrPort]*rpc.Client
	cut     func(a, b netip.AddrPort) bool
}

func newMesh() *mesh {
	return &mesh{servers: map[netip.AddrPort]*rpc.Server{}, clients: map[[2]netip.AddrPort]*rpc.Client{}}
}

// setCut makes calls fail for which cut holds, in both directions.
func (m *mesh) setCut(cut func(a, b netip.AddrPort) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// port is one node's end of the mesh.
type port struct {
	mesh *mesh
	addr netip.AddrPort
}

func (m *mesh) open(addr netip.AddrPort) *port {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers[addr] = rpc.NewServer()
	m.drop(addr)
	return &port{m, addr}
}

// drop forgets the connections from and to addr.
func (m *mesh) drop(addr netip.AddrPort) {
	for key, c := range m.clients {
		if key[0] == addr || key[1] == addr {
			c.Close()
			delete(m.clients, key)
		}
	}
}

// crash takes a node off the mesh.
func (m *mesh) crash(addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.servers, addr)
	m.drop(addr)
}

func (p *port) Register(name string, receiver any) error {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	return p.mesh.servers[p.addr].RegisterName(name, receiver)
}

func (p *port) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
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

func (m *mesh) client(from, to netip.AddrPort) (*rpc.Client, error) {
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

func balancerAt(i int) member.Member {
	return member.Member{Control: addrOf(1, i), Role: member.RoleBalancer, DataCentre: "a"}
}

func agentAt(i int, service string) member.Member {
	return member.Member{Control: addrOf(2, i), Role: member.RoleAgent, DataCentre: "a", Service: service, Slots: 5, Weight: 1000}
}

func addrOf(kind byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, kind, byte(i)}), 4100)
}

// patience bounds every wait; a wait that succeeds is short.
const patience = time.Minute
