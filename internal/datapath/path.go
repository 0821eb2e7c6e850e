package datapath

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/net/ipv4"
	"golang.org/x/time/rate"
)

// Path is a balancer's data path. Each socket has one goroutine that receives,
// classifies and routes, and one that sends.
type Path struct {
	data     *net.UDPConn
	self     netip.AddrPort
	snapshot atomic.Pointer[Snapshot]
	forward  *forwardCounters
	reply    *replyCounters
	// toAgents goes out through data.
	toAgents *queue
	// resets limits the resets of all faces.
	resets *rate.Limiter
	closed chan struct{}
	once   sync.Once
}

// Start returns a running path that exchanges encapsulated datagrams with
// agents through data. self is the address of data as agents reach it; first
// is the first snapshot.
func Start(data *net.UDPConn, self netip.AddrPort, first *Snapshot) *Path {
	p := &Path{
		data: data, self: self, forward: newForwardCounters(), reply: newReplyCounters(),
		resets: newResetLimit(), closed: make(chan struct{}),
	}
	p.toAgents = newQueue(ipv4.NewPacketConn(data), dataBatch, p.forward.refused)
	p.Publish(first)
	go p.toAgents.run()
	go p.serveReplies()
	go p.askGone()
	return p
}

// Publish puts a snapshot in force and starts its sockets that do not run yet.
func (p *Path) Publish(s *Snapshot) {
	for _, f := range s.Faces {
		f.Socket.start.Do(func() { p.startFace(f.Socket) })
	}
	p.snapshot.Store(s)
}

func (p *Path) startFace(s *Socket) {
	s.replies = newQueue(ipv4.NewPacketConn(s.conn), faceBatch, p.reply.refused)
	go s.replies.run()
	go p.serveFace(s)
}

// Close closes the data socket and all face sockets of the snapshot in force.
func (p *Path) Close() {
	p.once.Do(func() { close(p.closed) })
	_ = p.data.Close()
	p.toAgents.close()
	for _, f := range p.snapshot.Load().Faces {
		_ = f.Socket.Close()
	}
}
