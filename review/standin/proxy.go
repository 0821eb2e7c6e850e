package main

import (
	"net"
	"sync"
)

// proxy forwards channels to a server. It can make the channels that are open go silent:
// they stay open, carry nothing further in either direction and are not reset, while new
// channels work.
type proxy struct {
	listener net.Listener
	server   string
	mu       sync.Mutex
	open     map[*channel]bool
}

type channel struct {
	mu     sync.Mutex
	silent bool
}

func (c *channel) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func newProxy(host, server string) (*proxy, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, server: server, open: map[*channel]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		a, err := p.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp4", p.server)
		if err != nil {
			a.Close()
			continue
		}
		c := &channel{}
		p.mu.Lock()
		p.open[c] = true
		p.mu.Unlock()
		go p.copy(c, a, b)
		go p.copy(c, b, a)
	}
}

// copy forwards one direction until an end closes; a silent channel carries nothing, not
// even the close.
func (p *proxy) copy(c *channel, from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if c.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			p.mu.Lock()
			delete(p.open, c)
			p.mu.Unlock()
			to.Close()
			return
		}
		to.Write(buf[:n])
	}
}

// silence makes all open channels silent and returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open)
	for c := range p.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		delete(p.open, c)
	}
	return n
}

// count returns the number of open channels.
func (p *proxy) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}
