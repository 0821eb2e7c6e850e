package packetplatform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Upstream simulates an upstream that uses the platform's packet format.
type Upstream struct {
	ID   string
	host *Host
	app  *net.UDPConn
	out  *net.UDPAddr
	stop chan struct{}
	once sync.Once
	// born is the start time in Unix milliseconds.
	born int64

	mu              sync.Mutex
	flows           map[endpoint]*flowState
	runs            map[string]int
	returnedPackets int
	sequence        int
	draining        bool
	// drainAcknowledged is when the agent acknowledged the drain; openedLate counts flows
	// that were opened more than drainBound later.
	drainAcknowledged time.Time
	openedLate        int
	// opened are the times at which flows were opened.
	opened         []time.Time
	processingTime time.Duration
}

// flowState is the state of a flow at the upstream.
type flowState struct {
	seq  uint32
	open bool
	// nextSeq is the caller's sequence number after the last request that ran; it is valid
	// if ran is true.
	nextSeq uint32
	ran     bool
}

// heartbeatInterval is the time between heartbeats, shorter than the platform's to make
// tests fast.
const heartbeatInterval = 200 * time.Millisecond

// StartUpstream starts an upstream with a random id on an agent's host.
func StartUpstream(h *Host) (*Upstream, error) {
	return StartUpstreamAs(h, fmt.Sprintf("i-%08x", rand.Uint32()))
}

// StartUpstreamAs starts an upstream with the given id, which an earlier upstream may
// have used.
func StartUpstreamAs(h *Host, id string) (*Upstream, error) {
	app, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(h.IP), Port: h.AppPort})
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		ID: id, host: h, app: app, born: time.Now().UnixMilli(),
		out:  &net.UDPAddr{IP: net.ParseIP(h.IP), Port: h.OutboundPort},
		stop: make(chan struct{}), flows: map[endpoint]*flowState{}, runs: map[string]int{},
	}
	go u.receive()
	go u.sendHeartbeats()
	return u, nil
}

// Kill ends the upstream without notifying its agent.
func (u *Upstream) Kill() {
	u.once.Do(func() {
		close(u.stop)
		u.app.Close()
	})
}

// Drain makes the upstream report the state draining.
func (u *Upstream) Drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.sendHeartbeat()
}

// SetWork sets the processing time of a request.
func (u *Upstream) SetWork(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.processingTime = d
}

// Runs returns the number of runs of each request.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		out[id] = n
	}
	return out
}

// drainBound is the time after the acknowledgement of a drain after which no new flow may
// arrive: drainMs of the settings (3 s) plus a margin of 200 ms.
const drainBound = 3200 * time.Millisecond

// OpenedLate returns the number of flows that were opened more than drainBound after the
// acknowledgement of the drain.
func (u *Upstream) OpenedLate() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.openedLate
}

// OpenedBetween returns the number of flows opened between two times.
func (u *Upstream) OpenedBetween(from, to time.Time) (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, at := range u.opened {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// ReturnedPackets returns the number of packets of unknown flows, which were sent back.
func (u *Upstream) ReturnedPackets() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.returnedPackets
}

func (u *Upstream) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := u.app.ReadFromUDP(b)
		if err != nil {
			return
		}
		if p, ok := decode(b[:n]); ok {
			u.handlePacket(&p, append([]byte(nil), b[:n]...))
		}
	}
}

// handlePacket processes one packet of a caller; raw is its encoded form.
func (u *Upstream) handlePacket(p *packet, raw []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[p.from]
	if p.flags&syn != 0 {
		if f == nil {
			f = &flowState{seq: rand.Uint32()}
			u.flows[p.from] = f
			u.opened = append(u.opened, time.Now())
			if !u.drainAcknowledged.IsZero() && time.Since(u.drainAcknowledged) > drainBound {
				u.openedLate++
			}
		}
		u.send(&packet{from: p.to, to: p.from, seq: f.seq, flags: syn | ack})
		return
	}
	if f == nil || (!f.open && p.ack != f.seq+1) {
		u.returnedPackets++
		raw[30] |= returned
		_, _ = u.app.WriteToUDP(raw, u.out)
		return
	}
	f.open = true
	switch {
	case p.flags&rst != 0:
		delete(u.flows, p.from)
	case p.flags&fin != 0:
		u.send(&packet{from: p.to, to: p.from, seq: f.seq + 1, ack: p.seq, flags: ack | fin})
	case len(p.data) > 0:
		u.run(f, p)
	}
}

// run runs a request and answers it. A retransmission, also a delayed one, is not run
// again; that of the last request is answered again.
func (u *Upstream) run(f *flowState, p *packet) {
	answer := &packet{
		from: p.to, to: p.from, seq: f.seq + 1, ack: p.seq + uint32(len(p.data)), flags: ack,
		data: []byte("from " + u.ID + " to " + string(p.data)),
	}
	end := p.seq + uint32(len(p.data))
	if f.ran && int32(end-f.nextSeq) <= 0 {
		if end == f.nextSeq {
			u.send(answer)
		}
		return
	}
	f.nextSeq, f.ran = end, true
	u.runs[string(p.data)]++
	time.AfterFunc(u.processingTime, func() { u.send(answer) })
}

func (u *Upstream) send(p *packet) { _, _ = u.app.WriteToUDP(p.encode(), u.out) }

// sendHeartbeats sends heartbeats to the agent until the upstream is killed.
func (u *Upstream) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		u.sendHeartbeat()
		select {
		case <-u.stop:
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) sendHeartbeat() {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": u.host.Service, "address": "x", "zone": u.host.Zone, "version": "v1",
		"slots": Slots, "state": state, "coldLeftMs": 0, "seq": u.sequence, "born": u.born,
	})
	u.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post(fmt.Sprintf("http://%s:%d/backends/%s/heartbeat", u.host.IP, u.host.ControlPort, u.ID),
		"application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp.Body.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == "draining" && u.drainAcknowledged.IsZero() && resp.StatusCode == http.StatusOK {
		u.drainAcknowledged = time.Now()
	}
}

// Slots is the number of concurrent requests that an upstream reports as its capacity.
const Slots = 4
