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

// Upstream stands in for a back end that speaks the platform's packets.
type Upstream struct {
	ID   string
	host *Host
	app  *net.UDPConn
	out  *net.UDPAddr
	stop chan struct{}
	once sync.Once
	// born is the Unix millisecond of its start.
	born int64

	mu       sync.Mutex
	flows    map[end]*served
	runs     map[string]int
	strays   int
	sequence int
	draining bool
	// drained is when a drain was acknowledged, late counts flows that were opened
	// later than drainBound after it.
	drained time.Time
	late    int
	// opened is when flows were opened.
	opened []time.Time
	work   time.Duration
}

// served is a flow that the upstream holds.
type served struct {
	seq  uint32
	open bool
	// got is the caller's count after the last request that ran, if any ran.
	got uint32
	ran bool
}

// heartbeatEvery is the time between two heartbeats, shorter than on the
// platform so that tests are quick.
const heartbeatEvery = 200 * time.Millisecond

// StartUpstream starts an upstream on an agent's host.
func StartUpstream(h *Host) (*Upstream, error) {
	return StartUpstreamAs(h, fmt.Sprintf("i-%08x", rand.Uint32()))
}

// StartUpstreamAs starts an upstream under an id, which one before it may have had.
func StartUpstreamAs(h *Host, id string) (*Upstream, error) {
	app, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(h.IP), Port: h.AppPort})
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		ID: id, host: h, app: app, born: time.Now().UnixMilli(),
		out:  &net.UDPAddr{IP: net.ParseIP(h.IP), Port: h.OutboundPort},
		stop: make(chan struct{}), flows: map[end]*served{}, runs: map[string]int{},
	}
	go u.receive()
	go u.report()
	return u, nil
}

// Kill ends the upstream without a word.
func (u *Upstream) Kill() {
	u.once.Do(func() {
		close(u.stop)
		u.app.Close()
	})
}

// Drain lets the upstream report that it leaves.
func (u *Upstream) Drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.beat()
}

// SetWork sets how long a request runs.
func (u *Upstream) SetWork(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = d
}

// Runs returns how often each request has run.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		out[id] = n
	}
	return out
}

// drainBound is the time after the acknowledgement of a drain from which on no
// flow may be opened: that of the settings and a little.
const drainBound = 3200 * time.Millisecond

// OpenedLate returns how many flows were opened after the end of a drain.
func (u *Upstream) OpenedLate() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.late
}

// OpenedBetween returns how many flows were opened within a time.
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

// Strays returns the number of packets that were returned.
func (u *Upstream) Strays() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.strays
}

func (u *Upstream) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := u.app.ReadFromUDP(b)
		if err != nil {
			return
		}
		if p, ok := decode(b[:n]); ok {
			u.take(&p, append([]byte(nil), b[:n]...))
		}
	}
}

// take handles one packet of a caller.
func (u *Upstream) take(p *packet, raw []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[p.from]
	if p.flags&syn != 0 {
		if f == nil {
			f = &served{seq: rand.Uint32()}
			u.flows[p.from] = f
			u.opened = append(u.opened, time.Now())
			if !u.drained.IsZero() && time.Since(u.drained) > drainBound {
				u.late++
			}
		}
		u.send(&packet{from: p.to, to: p.from, seq: f.seq, flags: syn | ack})
		return
	}
	if f == nil || (!f.open && p.ack != f.seq+1) {
		u.strays++
		raw[30] |= bounced
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

// run answers a request once; a repeated packet, also a late one, is no new
// request, and the last one is answered again.
func (u *Upstream) run(f *served, p *packet) {
	answer := &packet{
		from: p.to, to: p.from, seq: f.seq + 1, ack: p.seq + uint32(len(p.data)), flags: ack,
		data: []byte("from " + u.ID + " to " + string(p.data)),
	}
	end := p.seq + uint32(len(p.data))
	if f.ran && int32(end-f.got) <= 0 {
		if end == f.got {
			u.send(answer)
		}
		return
	}
	f.got, f.ran = end, true
	u.runs[string(p.data)]++
	time.AfterFunc(u.work, func() { u.send(answer) })
}

func (u *Upstream) send(p *packet) { _, _ = u.app.WriteToUDP(p.encode(), u.out) }

// report sends heartbeats until the upstream ends.
func (u *Upstream) report() {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		u.beat()
		select {
		case <-u.stop:
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) beat() {
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
	if state == "draining" && u.drained.IsZero() && resp.StatusCode == http.StatusOK {
		u.drained = time.Now()
	}
}

// Slots is the number of requests that an upstream works on at once.
const Slots = 4
