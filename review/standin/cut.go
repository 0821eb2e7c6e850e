package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// cut is a cut of the links between a backend and all machines. Packets are lost while it
// lasts. Bytes on TCP channels are held up: their sender's host sends them again after
// 0.2 s, with doubling pauses, also once the sending process has ended, and they arrive with
// the first repetition after the cut.
type cut struct {
	mu         sync.Mutex
	from, till time.Time
	rec        *recorder
}

// begin cuts the links for some time.
func (c *cut) begin(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.from, c.till = time.Now(), time.Now().Add(d)
}

// holds reports whether the links are cut now.
func (c *cut) holds() bool {
	if c == nil {
		return false
	}
	return c.at(time.Now())
}

func (c *cut) at(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !t.Before(c.from) && t.Before(c.till)
}

// arrival returns when bytes that are sent at t arrive.
func (c *cut) arrival(t time.Time) time.Time {
	for pause := 200 * time.Millisecond; c.at(t); pause *= 2 {
		t = t.Add(pause)
	}
	return t
}

// heldUp forwards the check-ins of a backend to its agent; those that are sent during a cut
// of its links arrive late.
func heldUp(host, control string, c *cut) (address string, err error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go c.forward(from, control)
		}
	}()
	return listener.Addr().String(), nil
}

func (c *cut) forward(from net.Conn, control string) {
	defer from.Close()
	buf := make([]byte, 16<<10)
	n, err := from.Read(buf) // a check-in fits into one segment
	if err != nil {
		return
	}
	sent := time.Now()
	arrives := c.arrival(sent)
	time.Sleep(time.Until(arrives))
	to, err := net.Dial("tcp4", control)
	if err != nil {
		return
	}
	defer to.Close()
	if late := arrives.Sub(sent); late > 0 {
		c.rec.note("a check-in that was held up for %.1f s arrives at %s", late.Seconds(), control)
	}
	if _, err := to.Write(buf[:n]); err != nil {
		return
	}
	io.Copy(from, to) // the sender may have gone
}
