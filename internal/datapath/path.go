package datapath

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/net/ipv4"
	"golang.org/x/time/rate"
)

// Path is the data path of a balancer. Each socket has one goroutine that
// receives, classifies and routes datagrams, and one that sends them.
type Path struct {
	data     *net.UDPConn
	self     netip.AddrPort
	snapshot atomic.Pointer[Snapshot]
	forward  *forwardCounters
	reply    *replyCounters
	// toAgents is the queue of datagrams to agents, sent through the data socket.
	toAgents *queue
	// resets is the rate limit that all faces share for stateless resets.
	resets    *rate.Limiter
	closed    chan struct{}
	closeOnce sync.Once
}

// Start returns a running path that exchanges encapsulated datagrams with agents
// through the data socket. self is the address at which agents reach that socket;
// first is the first snapshot.
func Start(data *net.UDPConn, self netip.AddrPort, first *Snapshot) *Path {
	p := &Path{
		data: data, self: self, forward: newForwardCounters(), reply: newReplyCounters(),
		resets: newResetLimiter(), closed: make(chan struct{}),
	}
	p.toAgents = newQueue(ipv4.NewPacketConn(data), dataBatch, p.forward.countSendError)
	p.Publish(first)
	go p.toAgents.run()
	go p.serveReplies()
	go p.probeGone()
	return p
}

// Publish makes the path use the snapshot and starts those of its sockets that
// are not running yet.
func (p *Path) Publish(s *Snapshot) {
	for _, f := range s.Faces {
		f.Socket.start.Do(func() { p.startFace(f.Socket) })
	}
	p.snapshot.Store(s)
}

func (p *Path) startFace(s *Socket) {
	s.replies = newQueue(ipv4.NewPacketConn(s.conn), faceBatch, p.reply.countSendError)
	go s.replies.run()
	go p.serveFace(s)
}

// Close closes the data socket and all face sockets of the current snapshot.
func (p *Path) Close() {
	p.closeOnce.Do(func() { close(p.closed) })
	_ = p.data.Close()
	p.toAgents.close()
	for _, f := range p.snapshot.Load().Faces {
		_ = f.Socket.Close()
	}
}
