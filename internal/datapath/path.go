package datapath

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
)

// Path is a balancer's data path. One goroutine for each face carries callers'
// datagrams to agents, one carries replies.
type Path struct {
	data     *net.UDPConn
	io       *ipv4.PacketConn
	self     netip.AddrPort
	snapshot atomic.Pointer[Snapshot]
	forward  *forwardCounters
	reply    *replyCounters
}

// Start returns a running path that exchanges encapsulated datagrams with
// agents through data. self is the address of data as agents reach it; first
// is the first snapshot.
func Start(data *net.UDPConn, self netip.AddrPort, first *Snapshot) *Path {
	p := &Path{
		data:    data,
		io:      ipv4.NewPacketConn(data),
		self:    self,
		forward: newForwardCounters(),
		reply:   newReplyCounters(),
	}
	p.Publish(first)
	go p.serveReplies()
	return p
}

// Publish puts a snapshot in force and starts its sockets that do not run yet.
func (p *Path) Publish(s *Snapshot) {
	p.snapshot.Store(s)
	for _, f := range s.Faces {
		f.Socket.start.Do(func() { go p.serveFace(f.Socket) })
	}
}

// Close closes the data socket and all face sockets of the snapshot in force.
func (p *Path) Close() {
	_ = p.data.Close()
	for _, f := range p.snapshot.Load().Faces {
		_ = f.Socket.Close()
	}
}

// receiveRetry is the pause after an error of a socket that is not closed.
const receiveRetry = 10 * time.Millisecond

// receive fills the inbox and returns the number of datagrams; ok is false
// once the socket is closed.
func receive(conn *ipv4.PacketConn, in *inbox) (n int, ok bool) {
	n, err := conn.ReadBatch(in.messages, 0)
	switch {
	case err == nil:
		return n, true
	case errors.Is(err, net.ErrClosed):
		return 0, false
	}
	time.Sleep(receiveRetry)
	return 0, true
}
