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

// Network carries the control traffic of balancers, and their calls to the
// store, through relays of its own. A cut holds back what crosses it and closes
// no connection.
type Network struct {
	fleet *Fleet
	store *relay

	mu     sync.Mutex // guards what follows
	relays []*relay
	// island are the processes on the far side of the cut, none while there is
	// no cut; healed is closed at its end.
	island []*Process
	healed chan struct{}
}

// relay takes connections in front of one process. The owner is nil in front of
// the store.
type relay struct {
	network  *Network
	listener net.Listener
	ready    chan struct{} // closed when target is known
	target   netip.AddrPort
	owner    *Process
}

// NewNetwork returns a network without a cut.
func (f *Fleet) NewNetwork() (*Network, error) {
	n := &Network{fleet: f}
	var err error
	if n.store, err = n.listen(); err == nil {
		n.store.open(nil, f.Store.Address("address"))
	}
	return n, err
}

// AddBalancer is Fleet.AddBalancer for a balancer whose control traffic and
// calls to the store the network carries.
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
	return p, n.fleet.Spray(ctx, p)
}

// Cut holds back all that the processes send to other balancers and to the
// store, and all that other balancers send to them.
func (n *Network) Cut(island ...*Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.island, n.healed = island, make(chan struct{})
}

// Heal ends the cut; what was held back goes on.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.island != nil {
		n.island = nil
		close(n.healed)
	}
}

// Close ends the relays' listeners. Connections end with their processes.
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
		return nil, errors.Wrap(err, "listen for a relay")
	}
	r := &relay{network: n, listener: listener, ready: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays = append(n.relays, r)
	go r.accept()
	return r, nil
}

// pass waits while a cut lies between the caller and the owner of a relay.
func (n *Network) pass(from func() *Process, to *Process) {
	n.mu.Lock()
	island, healed := n.island, n.healed
	n.mu.Unlock()
	if island == nil {
		return
	}
	// Agents and tools reach both sides.
	if p := from(); p != nil && slices.Contains(island, p) != slices.Contains(island, to) {
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
	// Found out late: a balancer that starts is not among the live ones yet.
	from := sync.OnceValue(func() *Process { return r.network.caller(conn) })
	r.network.pass(from, r.owner)
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
			r.network.pass(from, r.owner)
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

// caller returns the live balancer that made the connection, or nil.
func (n *Network) caller(conn net.Conn) *Process {
	link := "socket:[" + inode(conn) + "]"
	for _, p := range n.fleet.Balancers() {
		dir := fmt.Sprintf("/proc/%d/fd/", p.cmd.Process.Pid)
		files, _ := os.ReadDir(dir) // none of a process that has ended
		for _, file := range files {
			if target, err := os.Readlink(dir + file.Name()); err == nil && target == link {
				return p
			}
		}
	}
	return nil
}

// inode returns the number of the socket at the other end of a connection over
// loopback, as the kernel lists it.
func inode(conn net.Conn) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close()
	const local, remote, number = 1, 2, 9 // columns
	ends := [2]string{listed(conn.RemoteAddr()), listed(conn.LocalAddr())}
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) > number && columns[local] == ends[0] && columns[remote] == ends[1] {
			return columns[number]
		}
	}
	return ""
}

// listed returns a loopback address as the kernel's table shows it.
func listed(addr net.Addr) string {
	a := addr.(*net.TCPAddr).AddrPort()
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}
