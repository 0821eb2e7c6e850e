package main

import (
	"net"
	"sync"
)

// proxy forwards channels to an address, and can stand for an outage of what is there.
type proxy struct {
	listener net.Listener
	target   string
	rec      *record

	mu       sync.Mutex
	channels map[*channel]bool
	// down is set while the target answers nobody.
	down bool
}

// channel is an open channel through the proxy.
type channel struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

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
		c.silent = p.down
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

// outage makes the target answer nobody until restore: open channels and those that are opened
// meanwhile stay silent.
func (p *proxy) outage() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	p.rec.line("the store answers nobody")
	for c := range p.channels {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// restore ends an outage: new channels work.
func (p *proxy) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	p.rec.line("the store answers again, on new channels")
}
