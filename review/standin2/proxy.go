package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards channels to an address. Its open channels can go silent for good, without a
// reset, while new ones work.
type proxy struct {
	listener net.Listener
	target   string
	rec      *record

	mu       sync.Mutex
	channels map[*channel]bool
}

// channel is an open channel through the proxy.
type channel struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
	// wrote is set once the near end has sent bytes into the silence.
	wrote bool
}

// keepAliveEnd is when the near end's own TCP keep-alive would end a channel that has gone
// silent: the probes begin after 1 s and three of them, 1 s apart, are left unanswered. A
// channel with unacknowledged bytes sends no probes.
const keepAliveEnd = 4 * time.Second

func newProxy(addr, target string, rec *record) (*proxy, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, rec: rec, channels: map[*channel]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", p.target)
		if err != nil {
			near.Close()
			continue
		}
		c := &channel{near: near, far: far}
		p.mu.Lock()
		p.channels[c] = true
		p.mu.Unlock()
		go p.copy(c, near, far, true)
		go p.copy(c, far, near, false)
	}
}

// copy forwards one direction of a channel until it ends.
func (p *proxy) copy(c *channel, from, to net.Conn, fromNear bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.wrote = c.wrote || silent && fromNear && n > 0
		c.mu.Unlock()
		if silent && (err == nil || !fromNear) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 && !silent {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			c.near.Close()
			c.far.Close()
			p.mu.Lock()
			delete(p.channels, c)
			p.mu.Unlock()
			return
		}
	}
}

// silence makes all open channels silent for good.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.line("%d open channels to the store go silent", len(p.channels))
	for c := range p.channels {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		time.AfterFunc(keepAliveEnd, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !c.wrote {
				_ = c.near.(*net.TCPConn).SetLinger(0)
				c.near.Close()
			}
		})
	}
}
