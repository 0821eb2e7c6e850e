// Package fabric simulates the platform's packet fabric. It listens on the public addresses
// (faces), sends each datagram of a caller to a random registered balancer, and relays
// datagrams from all balancers to the callers. It can drop, delay and reorder datagrams,
// and cut off a balancer in one direction or both.
package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	maxDatagram   = 2048
	maxFlows      = 8192
	maxDelayed    = 65536
	socketBuffer  = 1 << 20
	flowIdleLimit = 2 * time.Minute
)

// Faults are the faults that the fabric applies to the datagrams of one balancer.
type Faults struct {
	// Drop and Reorder are fractions of the datagrams, 0 to 1. A reordered datagram is
	// delayed by ReorderBy.
	Drop      float64
	Reorder   float64
	ReorderBy time.Duration
	// Delay is the delay of every datagram.
	Delay time.Duration
	// CutTo drops all datagrams to the balancer, CutFrom all from it.
	CutTo   bool
	CutFrom bool
}

// Counts are numbers of datagrams.
type Counts struct {
	ToBalancers uint64
	ToCallers   uint64
	Dropped     uint64
	// Unrouted counts datagrams received while no balancer served the face.
	Unrouted uint64
}

type balancer struct {
	name   string
	faces  map[netip.AddrPort]netip.AddrPort // public -> local
	faults Faults
}

// table is an immutable set of balancers, which the relays read without locks.
type table struct {
	live    []*balancer
	byLocal map[netip.AddrPort]*balancer
}

// Fabric relays datagrams between callers and balancers until Close.
type Fabric struct {
	mu    sync.Mutex // serialises changes of the table and of faces
	faces []*face
	table atomic.Pointer[table]

	delayed     atomic.Int64
	toBalancers atomic.Uint64
	toCallers   atomic.Uint64
	dropped     atomic.Uint64
	unrouted    atomic.Uint64
}

// New returns a fabric without faces and balancers.
func New() *Fabric {
	f := &Fabric{}
	f.table.Store(&table{})
	return f
}

// Close closes all sockets.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, face := range f.faces {
		face.close()
	}
}

// OpenFace opens a public face on a port assigned by the kernel.
func (f *Fabric) OpenFace() (netip.AddrPort, error) {
	conn, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	face := &face{
		fabric: f,
		conn:   conn,
		public: localAddr(conn),
		flows:  make(map[netip.AddrPort]*flow),
	}
	f.mu.Lock()
	f.faces = append(f.faces, face)
	f.mu.Unlock()
	go face.run()
	return face.public, nil
}

// SetBalancer adds a balancer to those that receive callers' datagrams, or replaces its
// addresses. faces maps each public face address to the one that the balancer listens on.
func (f *Fabric) SetBalancer(name string, faces map[netip.AddrPort]netip.AddrPort) {
	f.change(func(live []*balancer) []*balancer {
		return append(without(live, name), &balancer{name: name, faces: faces})
	})
}

// RemoveBalancer removes a balancer from those that receive callers' datagrams. Datagrams
// that it still sends are relayed.
func (f *Fabric) RemoveBalancer(name string) {
	f.change(func(live []*balancer) []*balancer { return without(live, name) })
}

// SetFaults replaces the faults of one balancer.
func (f *Fabric) SetFaults(name string, faults Faults) {
	f.change(func(live []*balancer) []*balancer {
		next := make([]*balancer, 0, len(live))
		for _, b := range live {
			if b.name == name {
				b = &balancer{name: b.name, faces: b.faces, faults: faults}
			}
			next = append(next, b)
		}
		return next
	})
}

// Counts returns the counts so far.
func (f *Fabric) Counts() Counts {
	return Counts{
		ToBalancers: f.toBalancers.Load(),
		ToCallers:   f.toCallers.Load(),
		Dropped:     f.dropped.Load(),
		Unrouted:    f.unrouted.Load(),
	}
}

func (f *Fabric) change(edit func([]*balancer) []*balancer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &table{live: edit(f.table.Load().live), byLocal: make(map[netip.AddrPort]*balancer)}
	for _, b := range next.live {
		for _, local := range b.faces {
			next.byLocal[local] = b
		}
	}
	f.table.Store(next)
}

// pick returns a random balancer that serves the face, nil if there is none.
func (t *table) pick(public netip.AddrPort) (*balancer, netip.AddrPort) {
	if len(t.live) == 0 {
		return nil, netip.AddrPort{}
	}
	start := rand.IntN(len(t.live))
	for i := range t.live {
		b := t.live[(start+i)%len(t.live)]
		if local, ok := b.faces[public]; ok {
			return b, local
		}
	}
	return nil, netip.AddrPort{}
}

// applyFaults applies the faults to a datagram and calls send unless it is dropped. For a
// delayed datagram, send is called later with a copy.
func (f *Fabric) applyFaults(faults Faults, cut bool, datagram []byte, send func([]byte)) {
	if cut || (faults.Drop > 0 && rand.Float64() < faults.Drop) {
		f.dropped.Add(1)
		return
	}
	delay := faults.Delay
	if faults.Reorder > 0 && rand.Float64() < faults.Reorder {
		delay += faults.ReorderBy
	}
	if delay == 0 {
		send(datagram)
		return
	}
	if f.delayed.Add(1) > maxDelayed {
		f.delayed.Add(-1)
		f.dropped.Add(1)
		return
	}
	delayed := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() {
		f.delayed.Add(-1)
		send(delayed)
	})
}

func without(live []*balancer, name string) []*balancer {
	next := make([]*balancer, 0, len(live)+1)
	for _, b := range live {
		if b.name != name {
			next = append(next, b)
		}
	}
	return next
}

func listen() (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "open fabric socket")
	}
	_ = conn.SetReadBuffer(socketBuffer) // the kernel's limit may be lower
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}
