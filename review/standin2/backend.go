package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// backend stands in for one lifetime of a backend: it takes flows, runs their requests and
// checks in with the process of the system on its machine.
type backend struct {
	id      string
	service string
	m       *machine
	rec     *record
	app     *net.UDPConn
	// work is how long a request runs.
	work time.Duration
	// client sends the check-ins.
	client *http.Client

	mu       sync.Mutex
	flows    map[netip.AddrPort]*backendFlow
	seq      uint64
	draining bool
	// dark is set once the backend takes and sends nothing any more.
	dark  bool
	acked chan struct{}
	stop  chan struct{}
}

// backendFlow is a flow as its backend sees it.
type backendFlow struct {
	face   netip.AddrPort
	seq    uint32
	open   bool
	closed bool
	// next is the sequence number after the last request; sent is the sequence number of the
	// next byte to the client.
	next, sent uint32
	// answer is the answer to the last request.
	answer packet
}

const (
	slots = 5
	// checkInTimeout is how long a backend waits for a confirmation.
	checkInTimeout = time.Second
	// handshake is how long a backend takes for a SYN.
	handshake = 300 * time.Microsecond
)

// startBackend starts a lifetime of a backend at the machine's address. check-ins are sent
// on connections that dial makes, nil for direct ones.
func startBackend(m *machine, service string, work time.Duration, dial func(ctx context.Context, network, addr string) (net.Conn, error)) (*backend, error) {
	app, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.addr(portApp)))
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, m: m, rec: m.f.rec, app: app, work: work,
		client: &http.Client{Transport: &http.Transport{DialContext: dial}},
		flows:  map[netip.AddrPort]*backendFlow{}, acked: make(chan struct{}), stop: make(chan struct{}),
	}
	b.rec.line("backend %s of service %s starts at %s", b.id, service, m.addr(portApp))
	go b.receive()
	go b.checkIns()
	return b, nil
}

// goDark ends the lifetime without a sign: from now on the backend is silent. Its address
// stays taken, so that packets to it get no answer, until release.
func (b *backend) goDark() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.dark {
		b.dark = true
		close(b.stop)
		b.rec.line("backend %s of service %s falls silent for good", b.id, b.service)
	}
}

// release gives the backend's address free.
func (b *backend) release() { b.app.Close() }

func (b *backend) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := b.app.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		b.handle(append([]byte(nil), buf[:n]...))
	}
}

func (b *backend) handle(raw []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dark {
		return
	}
	p, genuine, err := decode(raw)
	if err != nil || !genuine || raw[30]&flagBounced != 0 {
		b.rec.broken("UNASKED", "backend %s gets a packet that its sender didn't write so: %x", b.id, raw)
		return
	}
	f := b.flows[p.src]
	switch {
	case p.flags&flagSYN != 0:
		b.open(f, &p)
	case f == nil || !f.open && p.ack != f.seq+1:
		raw[30] |= flagBounced
		raw[26], raw[27], raw[28], raw[29] = 0, 0, 0, 0
		b.write(raw)
	default:
		f.open = true
		b.inFlow(f, &p)
	}
}

// open takes a SYN.
func (b *backend) open(f *backendFlow, p *packet) {
	if f == nil {
		f = &backendFlow{face: p.dst, seq: rand.Uint32()}
		f.sent = f.seq + 1
		b.flows[p.src] = f
		b.rec.line("backend %s of service %s takes the SYN of flow %s to %s", b.id, b.service, p.src, p.dst)
	}
	reply := packet{src: p.dst, dst: p.src, seq: f.seq, ack: p.seq + 1, flags: flagSYN | flagACK}
	time.AfterFunc(handshake, func() { b.send(&reply) })
}

// inFlow takes a packet of an open flow.
func (b *backend) inFlow(f *backendFlow, p *packet) {
	reply := packet{src: p.dst, dst: p.src, seq: f.sent, ack: p.seq + uint32(len(p.data)), flags: flagACK}
	switch {
	case p.flags&flagRST != 0:
		delete(b.flows, p.src)
	case p.flags&flagFIN != 0 && f.closed:
		b.write(reply.encode())
	case p.flags&flagFIN != 0:
		f.closed, reply.flags = true, flagACK|flagFIN
		b.write(reply.encode())
	case f.closed && len(p.data) > 0:
		reply.flags = flagRST
		b.write(reply.encode())
	case len(p.data) > 0 && f.next == p.seq+uint32(len(p.data)):
		b.write(f.answer.encode()) // the client repeats its last request
	case len(p.data) > 0 && (f.next == 0 || int32(p.seq-f.next) >= 0):
		f.next = p.seq + uint32(len(p.data))
		b.run(f, p, reply)
	}
}

// run runs a request and answers it.
func (b *backend) run(f *backendFlow, p *packet, reply packet) {
	id := string(p.data)
	b.rec.line("backend %s of service %s runs %s", b.id, b.service, id)
	b.m.f.ran(b, id, p.src, p.dst)
	reply.data = []byte("answer of " + b.id + " to " + id)
	f.sent += uint32(len(reply.data))
	f.answer = reply
	time.AfterFunc(b.work, func() { b.send(&reply) })
}

func (b *backend) send(p *packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.dark {
		b.write(p.encode())
	}
}

// write sends to the outbound address of the machine. mu must be held.
func (b *backend) write(raw []byte) {
	_, _ = b.app.WriteToUDPAddrPort(raw, b.m.addr(portOutbound))
}

// checkIns sends check-ins until the lifetime ends.
func (b *backend) checkIns() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		go b.checkIn()
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
	}
}

// checkIn sends one check-in and waits for its confirmation.
func (b *backend) checkIn() {
	b.mu.Lock()
	b.seq++
	seq, state := b.seq, "ready"
	if b.draining {
		state = "draining"
	}
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.m.addr(portApp).String(), "zone": zone, "version": "v1",
		"slots": slots, "state": state, "coldLeftMs": 0, "seq": seq,
	})
	ctx, cancel := context.WithTimeout(context.Background(), checkInTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.m.addr(portControl).String()+"/backends/"+b.id+"/heartbeat", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	res, err := b.client.Do(req)
	if err != nil {
		b.rec.line("check-in %d of %s (%s): %v", seq, b.id, state, err)
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	b.rec.line("check-in %d of %s (%s): status %d", seq, b.id, state, res.StatusCode)
}

// lives reports whether the lifetime goes on.
func (b *backend) lives() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dark
}
