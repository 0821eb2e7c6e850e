package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Timing of backends, from PROTOCOL.md and the settings.
const (
	heartbeatEvery   = 1200 * time.Millisecond
	heartbeatTimeout = time.Second
	resendFirst      = 200 * time.Millisecond
	resendMost       = 1600 * time.Millisecond
	backendResends   = 8
	backendSlots     = 7
)

// backend is one lifetime of an application backend beside an agent.
type backend struct {
	id, service, zone string
	// control is where it sends its check-ins.
	control string
	rec     *recorder
	conn    *net.UDPConn
	health  net.Listener
	out     *net.UDPAddr
	stopped chan struct{}
	work    time.Duration
	// cut, if set, is the cut of the backend's links: its packets are lost while it lasts.
	cut *cut

	mu       sync.Mutex
	seq      int
	draining bool
	flows    map[flowID]*backendFlow
	runs     int
}

// backendFlow is a flow that the backend holds.
type backendFlow struct {
	mine, next uint32 // own next sequence number; the next one expected of the client
	open, fin  bool
	unacked    *packet
	resends    int
}

// startBackend starts a lifetime at a machine's app address; its first check-in is sent at
// once.
func startBackend(m *machine, service string, control string, links *cut, rec *recorder) (*backend, error) {
	app := netip.MustParseAddrPort(m.at(m.fleet.ports.app))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", app.String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	b := &backend{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: m.zone, control: control, rec: rec, conn: conn, health: health,
		out:     net.UDPAddrFromAddrPort(netip.MustParseAddrPort(m.at(m.fleet.ports.outbound))),
		stopped: make(chan struct{}), work: 20 * time.Millisecond, flows: map[flowID]*backendFlow{}, cut: links,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Backend-Id", b.id) })
	go http.Serve(health, mux)
	go b.receive()
	go b.heartbeats()
	rec.note("backend %s of service %s starts at %s", b.id, service, app)
	return b, nil
}

// crash ends the lifetime without a word.
func (b *backend) crash() {
	close(b.stopped)
	b.conn.Close()
	b.health.Close()
	b.rec.note("backend %s of service %s crashes", b.id, b.service)
}

// ranSoFar returns the number of requests that the backend has run.
func (b *backend) ranSoFar() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

func (b *backend) heartbeats() {
	for {
		b.heartbeat()
		select {
		case <-b.stopped:
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// heartbeat sends one check-in. It waits a second for the answer.
func (b *backend) heartbeat() {
	b.mu.Lock()
	b.seq++
	seq, state := b.seq, "ready"
	if b.draining {
		state = "draining"
	}
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.conn.LocalAddr().String(), "zone": b.zone, "version": "v1",
		"slots": backendSlots, "state": state, "coldLeftMs": 0, "seq": seq,
	})
	client := http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+b.control+"/backends/"+b.id+"/heartbeat", "application/json", bytes.NewReader(body))
	outcome := "no answer"
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		outcome = resp.Status
	}
	b.rec.note("check-in %d of %s (%s, %s): %s", seq, b.id, b.service, state, outcome)
}

func (b *backend) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if b.cut.holds() {
			continue
		}
		p, ok := decode(buf[:n])
		if !ok || !p.intact() || p.flags&flagSYN != 0 && p.flags&flagACK != 0 {
			b.rec.fault("UNASKED: backend %s gets a packet that no client wrote", b.id)
			continue
		}
		b.handle(&p, append([]byte(nil), buf[:n]...))
	}
}

func (b *backend) handle(p *packet, raw []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := flowID{end{p.src, p.sport}, end{p.dst, p.dport}}
	f := b.flows[id]
	if p.flags&flagSYN != 0 {
		if f == nil {
			f = &backendFlow{mine: rand.Uint32(), next: p.seq + 1}
			b.flows[id] = f
		}
		if !f.open {
			b.send(id, &packet{seq: f.mine, ack: f.next, flags: flagSYN | flagACK})
		}
		return
	}
	if f == nil || !f.open && p.ack != f.mine+1 {
		raw[30] |= flagBounced
		b.conn.WriteToUDP(raw, b.out)
		return
	}
	if !f.open {
		f.open = true
		f.mine++
		b.rec.opened(b, id)
	}
	if p.flags&flagRST != 0 {
		delete(b.flows, id)
		return
	}
	if f.unacked != nil && p.ack == f.mine {
		f.unacked = nil
	}
	if len(p.data) > 0 {
		if p.seq != f.next {
			if int32(p.seq-f.next) < 0 { // a repetition
				b.send(id, &packet{seq: f.mine, ack: f.next, flags: flagACK})
			}
			return
		}
		f.next += uint32(len(p.data))
		b.send(id, &packet{seq: f.mine, ack: f.next, flags: flagACK})
		b.run(id, f, string(p.data))
	}
	if p.flags&flagFIN != 0 && !f.fin {
		f.fin = true
		f.next++
		b.send(id, &packet{seq: f.mine, ack: f.next, flags: flagACK | flagFIN})
	}
}

// run starts to work on a request and answers it later. mu is held.
func (b *backend) run(id flowID, f *backendFlow, text string) {
	attempt := headerOf(text, "Attempt-Id")
	b.runs++
	b.rec.ran(b, id, attempt)
	time.AfterFunc(b.work, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		select {
		case <-b.stopped:
			return
		default:
		}
		body := "answer to " + attempt + " from " + b.id
		data := fmt.Sprintf("HTTP/1.1 200 OK\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", b.id, len(body), body)
		p := &packet{seq: f.mine, ack: f.next, flags: flagACK, data: []byte(data)}
		f.mine += uint32(len(data))
		f.unacked, f.resends = p, 0
		b.send(id, p)
		b.resendLater(id, f, p, resendFirst)
	})
}

func (b *backend) resendLater(id flowID, f *backendFlow, p *packet, wait time.Duration) {
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		select {
		case <-b.stopped:
			return
		default:
		}
		if f.unacked != p || f.resends >= backendResends {
			return
		}
		f.resends++
		b.send(id, p)
		b.resendLater(id, f, p, min(2*wait, resendMost))
	})
}

// send sends a packet of a flow to the client by way of outbound. mu is held.
func (b *backend) send(id flowID, p *packet) {
	if b.cut.holds() {
		return
	}
	p.src, p.sport, p.dst, p.dport = id.route.addr, id.route.port, id.client.addr, id.client.port
	b.conn.WriteToUDP(p.encode(), b.out)
}

// headerOf returns the value of a header in the text of a request or an answer.
func headerOf(text, name string) string {
	for _, line := range strings.Split(text, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}
