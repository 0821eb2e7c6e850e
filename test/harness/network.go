package harness

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Network relays the control traffic of balancers and their calls to the store, so that
// tests can partition it. A partition withholds the bytes between its sides and closes no
// connection.
type Network struct {
	fleet *Fleet
	store *relay

	mu     sync.Mutex // guards what follows
	relays []*relay
	// isolated are the processes that a partition separates from all others, nil while
	// there is none; healed is closed when the partition ends.
	isolated []*Process
	healed   chan struct{}
}

// relay accepts connections for one process (owner) and forwards them to target. The
// owner is nil for the relay of the store.
type relay struct {
	network  *Network
	listener net.Listener
	ready    chan struct{} // closed when target is known
	target   netip.AddrPort
	owner    *Process
}

// NewNetwork returns a network without a partition.
func (f *Fleet) NewNetwork() (*Network, error) {
	n := &Network{fleet: f}
	var err error
	if n.store, err = n.listen(); err == nil {
		n.store.open(nil, f.Store.Address("address"))
	}
	return n, err
}

// AddBalancer is Fleet.AddBalancer for a balancer that is reached, and reaches the
// store, through the network's relays.
func (n *Network) AddBalancer(ctx context.Context) (*Process, error) {
	r, err := n.listen()
	if err != nil {
		return nil, err
	}
	p, err := n.fleet.startBalancer(ctx, "http://"+n.store.listener.Addr().String(),
		"--control-advertise", r.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	r.open(p, p.Address("control_bound"))
	return p, n.fleet.AddToFabric(ctx, p)
}

// Cut withholds all bytes between the given processes on one side and the other balancers
// and the store on the other.
func (n *Network) Cut(isolated ...*Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated, n.healed = isolated, make(chan struct{})
}

// Heal ends the partition and forwards the withheld bytes.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated != nil {
		n.isolated = nil
		close(n.healed)
	}
}

// Close closes the relays' listeners. Connections are closed when their processes end.
func (n *Network) Close() {
	n.Heal()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.listener.Close()
	}
}

func (n *Network) listen() (*relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "open the listener of a relay")
	}
	r := &relay{network: n, listener: listener, ready: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays = append(n.relays, r)
	go r.accept()
	return r, nil
}

// awaitHeal blocks while a partition separates the process that connected to a relay from
// the owner of the relay.
func (n *Network) awaitHeal(from func() *Process, to *Process) {
	n.mu.Lock()
	isolated, healed := n.isolated, n.healed
	n.mu.Unlock()
	if isolated == nil {
		return
	}
	// Agents and tools are not partitioned: they reach both sides.
	if p := from(); p != nil && slices.Contains(isolated, p) != slices.Contains(isolated, to) {
		<-healed
	}
}

func (r *relay) open(owner *Process, target netip.AddrPort) {
	r.owner, r.target = owner, target
	close(r.ready)
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(conn net.Conn) {
	defer conn.Close()
	<-r.ready
	// The lookup is deferred until a partition exists: a balancer that is still starting
	// is not listed in Fleet.Balancers yet, so an early lookup would not find it.
	from := sync.OnceValue(func() *Process { return r.network.dialer(conn) })
	r.network.awaitHeal(from, r.owner)
	onward, err := net.Dial("tcp4", r.target.String())
	if err != nil {
		return
	}
	defer onward.Close()
	ended := make(chan struct{}, 1)
	carry := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			count, err := src.Read(buffer)
			r.network.awaitHeal(from, r.owner)
			if _, failed := dst.Write(buffer[:count]); err != nil || failed != nil {
				break
			}
		}
		ended <- struct{}{}
	}
	go carry(onward, conn)
	go carry(conn, onward)
	<-ended
}

// dialer returns the running balancer that opened the connection, nil if none did.
func (n *Network) dialer(conn net.Conn) *Process {
	link := "socket:[" + peerInode(conn) + "]"
	for _, p := range n.fleet.Balancers() {
		dir := fmt.Sprintf("/proc/%d/fd/", p.cmd.Process.Pid)
		files, _ := os.ReadDir(dir) // empty for a process that has ended
		for _, file := range files {
			if target, err := os.Readlink(dir + file.Name()); err == nil && target == link {
				return p
			}
		}
	}
	return nil
}

// peerInode returns the inode of the peer's socket of a loopback connection, as
// /proc/net/tcp lists it, or an empty string.
func peerInode(conn net.Conn) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close()
	const local, remote, number = 1, 2, 9 // columns of /proc/net/tcp
	ends := [2]string{procNetAddr(conn.RemoteAddr()), procNetAddr(conn.LocalAddr())}
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) > number && columns[local] == ends[0] && columns[remote] == ends[1] {
			return columns[number]
		}
	}
	return ""
}

// procNetAddr returns an IPv4 address in the notation of /proc/net/tcp.
func procNetAddr(addr net.Addr) string {
	a := addr.(*net.TCPAddr).AddrPort()
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}
