package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Timing of clients, from PROTOCOL.md.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openingEnd = 1400 * time.Millisecond
)

// router forwards packets of clients to a front node by a hash over the four addresses and
// ports of a flow (hash "mod") over the nodes in rotation.
type router struct {
	nodes []*machine
	mu    sync.Mutex
	miss  map[*machine]int
}

func newRouter(nodes []*machine) *router {
	r := &router{nodes: nodes, miss: map[*machine]int{}}
	for _, n := range nodes {
		r.miss[n] = 2
		go r.probe(n)
	}
	return r
}

// remove takes nodes that have left out of the router.
func (r *router) remove(left []*machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = slices.DeleteFunc(slices.Clone(r.nodes), func(n *machine) bool { return slices.Contains(left, n) })
}

// probe checks the readiness of a node twice a second; two misses take it out of rotation.
func (r *router) probe(n *machine) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(500 * time.Millisecond) {
		resp, err := client.Get("http://" + n.at(n.fleet.ports.ready) + "/ready")
		good := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		r.mu.Lock()
		r.miss[n]++
		if good {
			r.miss[n] = 0
		}
		r.mu.Unlock()
	}
}

// inRotation returns the nodes in rotation, or all nodes if fewer than half of them are.
func (r *router) inRotation() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*machine
	for _, n := range r.nodes {
		if r.miss[n] < 2 {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(r.nodes) {
		return r.nodes
	}
	return in
}

// choose returns the node that gets the packets of a flow now.
func (r *router) choose(id flowID) *machine {
	nodes := r.inRotation()
	h := fnv.New32a()
	fmt.Fprint(h, id)
	return nodes[int(h.Sum32()%uint32(len(nodes)))]
}

// client is a client with its own address.
type client struct {
	addr   netip.Addr
	conn   *net.UDPConn
	router *router
	rec    *recorder

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
}

// clientFlow is one flow of a client.
type clientFlow struct {
	client     *client
	id         flowID
	seq, ack   uint32
	in         chan packet
	openedAt   time.Time
	sentAt     time.Time // when the opening packet was first sent
	firstNode  string    // the node that got the opening packet
	finalError string
}

func newClient(f *fleet, r *router, rec *recorder) (*client, error) {
	addr := f.nextAddr()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, uint16(f.ports.packets))))
	if err != nil {
		return nil, err
	}
	c := &client{addr: addr, conn: conn, router: r, rec: rec, port: uint16(20000 + rand.IntN(10000)), flows: map[uint16]*clientFlow{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		reset := ok && p.flags == flagRST && p.sum == 0 && len(p.data) == 0
		if !ok || !reset && !p.intact() {
			c.rec.fault("MIXED: client %s gets a packet that no backend wrote", c.addr)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dport]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

func (f *clientFlow) send(p *packet) *machine {
	p.src, p.sport, p.dst, p.dport = f.id.client.addr, f.id.client.port, f.id.route.addr, f.id.route.port
	node := f.client.router.choose(f.id)
	f.client.conn.WriteToUDPAddrPort(p.encode(), netip.MustParseAddrPort(node.at(node.fleet.ports.packets)))
	return node
}

// open opens a flow to a route. The flow is returned in any case; ok is false if it did
// not open, and finalError then says why.
func (c *client) open(route end) (f *clientFlow, ok bool) {
	c.mu.Lock()
	c.port++
	f = &clientFlow{client: c, id: flowID{end{c.addr, c.port}, route}, seq: rand.Uint32(), in: make(chan packet, 64)}
	c.flows[c.port] = f
	c.mu.Unlock()
	f.sentAt = time.Now()
	f.firstNode = f.send(&packet{seq: f.seq, flags: flagSYN}).name
	copies := []time.Duration{firstCopy, secondCopy, openingEnd}
	for i, at := range copies {
		timer := time.After(time.Until(f.sentAt.Add(at)))
	waiting:
		for {
			select {
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					f.finalError = "reset while opening"
					return f, false
				}
				if p.flags&flagSYN != 0 && p.ack == f.seq+1 {
					f.seq++
					f.ack = p.seq + 1
					f.openedAt = time.Now()
					f.send(&packet{seq: f.seq, ack: f.ack, flags: flagACK})
					return f, true
				}
			case <-timer:
				break waiting
			}
		}
		if i < len(copies)-1 {
			f.send(&packet{seq: f.seq, ack: uint32(i + 1), flags: flagSYN})
		}
	}
	f.finalError = "not opened within 1.4 s"
	return f, false
}

// request sends a request on an open flow and waits for its answer until the time budget
// ends. It returns the answer's status line and the id of the backend that signed it.
func (f *clientFlow) request(attempt string, budget time.Duration) (signer string, ok bool) {
	data := []byte("POST /work HTTP/1.1\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n")
	p := &packet{seq: f.seq, ack: f.ack, flags: flagACK, data: data}
	want := f.seq + uint32(len(data))
	deadline := time.After(budget)
	wait := resendFirst
	f.send(p)
	resend := time.After(wait)
	acked := false
	for {
		select {
		case in := <-f.in:
			if in.flags&flagRST != 0 {
				f.finalError = "reset"
				return "", false
			}
			if in.flags&flagSYN != 0 {
				continue
			}
			acked = acked || in.ack == want
			if len(in.data) == 0 || in.seq != f.ack {
				continue
			}
			f.ack += uint32(len(in.data))
			f.seq = want
			f.send(&packet{seq: f.seq, ack: f.ack, flags: flagACK})
			text := string(in.data)
			if !strings.Contains(text, "answer to "+attempt+" ") {
				f.client.rec.fault("MIXED: request %s gets the answer %q", attempt, text)
			}
			return headerOf(text, "Response-Signature"), true
		case <-resend:
			if !acked {
				f.send(p)
			}
			wait = min(2*wait, resendMost)
			resend = time.After(wait)
		case <-deadline:
			f.finalError = "time budget ends"
			return "", false
		}
	}
}

// close ends the client's side of a flow.
func (f *clientFlow) close() {
	f.send(&packet{seq: f.seq, ack: f.ack, flags: flagACK | flagFIN})
	time.AfterFunc(2*time.Second, func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		delete(f.client.flows, f.id.client.port)
	})
}
