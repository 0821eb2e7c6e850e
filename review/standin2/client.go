package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Errors of a client's attempt.
var (
	errNotOpened = errors.New("no SYN+ACK within 1.4 s")
	errReset     = errors.New("reset by the system")
	errOwnReset  = errors.New("reset by the backend")
	errNoAnswer  = errors.New("no answer within the time budget")
)

// routers stand in for the platform's routers: they know which balancers are in rotation.
type routers struct {
	mu    sync.Mutex
	front []*machine
	// misses are the readiness probes in a row that failed, by balancer.
	misses map[*machine]int
}

// probe sends the readiness probes twice a second.
func (r *routers) probe() {
	client := http.Client{Timeout: 400 * time.Millisecond}
	for range time.Tick(500 * time.Millisecond) {
		r.mu.Lock()
		front := slices.Clone(r.front)
		r.mu.Unlock()
		for _, m := range front {
			res, err := client.Get("http://" + m.addr(portReady).String() + "/ready")
			ok := err == nil && res.StatusCode == http.StatusOK
			if err == nil {
				res.Body.Close()
			}
			r.mu.Lock()
			if ok {
				r.misses[m] = 0
			} else {
				r.misses[m]++
			}
			r.mu.Unlock()
		}
	}
}

// add adds a balancer, which is in rotation once it has answered a probe.
func (r *routers) add(m *machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.front = append(r.front, m)
	r.misses[m] = 2
}

// inRotation returns the balancers that are in rotation.
func (r *routers) inRotation() (in []*machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.front {
		if r.misses[m] < 2 {
			in = append(in, m)
		}
	}
	return in
}

// pick returns the address to which the packets of a flow go: a hash of the flow, modulo the
// number of balancers in rotation.
func (r *routers) pick(src, dst netip.AddrPort) (netip.AddrPort, bool) {
	in := r.inRotation()
	if r.mu.Lock(); 2*len(in) < len(r.front) {
		in = slices.Clone(r.front) // with fewer than half in rotation, the routers use all
	}
	r.mu.Unlock()
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New64a()
	fmt.Fprint(h, src, dst)
	mixed := (h.Sum64() ^ h.Sum64()>>33) * 0xff51afd7ed558ccd
	return in[int((mixed>>33)%uint64(len(in)))].addr(portPackets), true
}

// client stands in for a client with its own address.
type client struct {
	ip   netip.Addr
	conn *net.UDPConn
	rec  *record
	r    *routers

	mu    sync.Mutex
	next  uint16
	flows map[uint16]*clientFlow
}

// clientFlow is a flow as its client sees it.
type clientFlow struct {
	c         *client
	src, face netip.AddrPort
	seq, ack  uint32
	in        chan packet
	resets    chan uint32
}

// firstPort is the lowest port of a client's flows; each client begins at a random one.
const firstPort = 10000

func newClient(ip netip.Addr, port uint16, r *routers, rec *record) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	c := &client{ip: ip, conn: conn, rec: rec, r: r, next: firstPort + uint16(rand.N(firstPort)), flows: map[uint16]*clientFlow{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, genuine, err := decode(buf[:n])
		if err != nil {
			c.rec.broken("MIXED", "client %s gets bytes that are no packet: %x", c.ip, buf[:n])
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		switch {
		case f == nil || p.src != f.face:
			c.rec.line("client %s gets a packet of no flow from %s to %s", c.ip, p.src, p.dst)
		case isReset(buf[:n]):
			f.resets <- p.seq
		case !genuine:
			c.rec.broken("MIXED", "client %s gets a packet that its sender didn't write so: %x", c.ip, buf[:n])
		default:
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

func (f *clientFlow) send(p *packet) {
	p.src, p.dst = f.src, f.face
	if to, ok := f.c.r.pick(f.src, f.face); ok {
		if p.flags&flagSYN != 0 {
			f.c.rec.line("SYN %d of flow %s to %s goes to %s", p.ack, f.src, f.face, to.Addr())
		}
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), to)
	}
}

// open opens a flow to a face.
func (c *client) open(face netip.AddrPort) (*clientFlow, error) {
	c.mu.Lock()
	c.next++
	f := &clientFlow{
		c: c, src: netip.AddrPortFrom(c.ip, c.next), face: face, seq: rand.Uint32(),
		in: make(chan packet, 64), resets: make(chan uint32, 64),
	}
	c.flows[c.next] = f
	c.mu.Unlock()
	at := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	began := time.Now()
	for i, due := range at {
		end := time.After(time.Until(began.Add(due)))
	waiting:
		for {
			select {
			case p := <-f.in:
				if p.flags&flagSYN != 0 && p.ack == f.seq+1 {
					f.seq++
					f.ack = p.seq + 1
					return f, nil
				}
			case <-f.resets:
				return f, errReset
			case <-end:
				break waiting
			}
		}
		if i < len(at)-1 {
			f.send(&packet{seq: f.seq, ack: uint32(i), flags: flagSYN})
		}
	}
	return f, errNotOpened
}

// maxResetDistance is how far the seq of a valid reset is from the client's last ack.
const maxResetDistance = 76800

// request sends a request on an open flow and returns its answer.
func (f *clientFlow) request(id string, budget time.Duration) (string, error) {
	data := []byte(id)
	want := f.seq + uint32(len(data))
	end, wait := time.After(budget), 200*time.Millisecond
	for {
		f.send(&packet{seq: f.seq, ack: f.ack, flags: flagACK, data: data})
		repeat := time.After(wait)
		wait = min(2*wait, 1600*time.Millisecond)
	waiting:
		for {
			select {
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					return "", errOwnReset
				}
				if len(p.data) > 0 && p.ack == want {
					f.seq, f.ack = want, p.seq+uint32(len(p.data))
					f.send(&packet{seq: f.seq, ack: f.ack, flags: flagACK})
					return string(p.data), nil
				}
			case seq := <-f.resets:
				if d := int32(seq - f.ack); d > maxResetDistance || d < -maxResetDistance {
					f.c.rec.line("flow %s gets a reset out of its window", f.src)
					continue
				}
				return "", errReset
			case <-repeat:
				break waiting
			case <-end:
				return "", errNoAnswer
			}
		}
	}
}

// close closes the flow.
func (f *clientFlow) close() {
	f.send(&packet{seq: f.seq, ack: f.ack, flags: flagACK | flagFIN})
}
