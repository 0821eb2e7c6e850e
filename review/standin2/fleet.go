package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a site, which are the same on all machines.
const (
	portPackets = iota
	portReady
	portControl
	portOutbound
	portApp
	portInner
	portCount
)

// Settings of the site, those of the installation that the site file names.
const (
	zone      = "hall-taf"
	heartbeat = 1200 * time.Millisecond
)

// The commands of the deploy file.
const (
	program     = "target/saltbendd"
	runBalancer = "packet-balancer --metrics-port 9464"
	runAgent    = "packet-agent --metrics-port 9464"
)

// fleet is a small installation.
type fleet struct {
	rec   *record
	dir   string
	net   [2]byte
	last  byte
	ports [portCount]uint16
	store *kvStore
	// storeAddr is the address of the store in the settings.
	storeAddr string
	seeds     []string
	front     []*machine
	side      []*machine
	r         *routers

	// maxFlowS is the age in seconds from which a flow may be discarded.
	maxFlowS int
	// running is set once the system has started for the first time.
	running bool

	mu sync.Mutex
	// runs counts the runs of each request.
	runs map[string]int
	// owners are the backends that have run requests of a flow.
	owners map[netip.AddrPort]*backend
	// allowed are the services to which any configuration has sent a face.
	allowed map[netip.AddrPort][]string
}

// machine is a machine with a process of the system.
type machine struct {
	f       *fleet
	name    string
	ip      netip.Addr
	service string
	args    string
	cmd     *exec.Cmd
	done    chan struct{}
	// startedBefore is set once the process has run: bootstrap is true only at the first start
	// of the whole system.
	startedBefore bool
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{maxFlowS: 60, rec: rec, dir: dir, net: [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}, runs: map[string]int{}, owners: map[netip.AddrPort]*backend{}, allowed: map[netip.AddrPort][]string{}}
	f.r = &routers{misses: map[*machine]int{}}
	for i := range f.ports {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		defer conn.Close() // open until all ports are taken, so that they differ
		f.ports[i] = uint16(conn.LocalAddr().(*net.UDPAddr).Port)
	}
	f.storeAddr = netip.AddrPortFrom(f.nextIP(), f.ports[portControl]).String()
	f.store, err = newStore(f.storeAddr)
	return f, err
}

// nextIP returns an unused loopback address.
func (f *fleet) nextIP() netip.Addr {
	f.last++
	return netip.AddrFrom4([4]byte{127, f.net[0], f.net[1], f.last})
}

func (m *machine) addr(port int) netip.AddrPort {
	return netip.AddrPortFrom(m.ip, m.f.ports[port])
}

// addFront adds a machine for a balancer. Those that are added before the first process starts
// are the seeds.
func (f *fleet) addFront() *machine {
	m := &machine{f: f, name: fmt.Sprintf("front-%d", len(f.front)+1), ip: f.nextIP(), args: runBalancer, startedBefore: f.running}
	f.front = append(f.front, m)
	f.r.add(m)
	if len(f.seeds) < 3 && !f.running {
		f.seeds = append(f.seeds, m.addr(portControl).String())
	}
	return m
}

// addSide adds a machine beside a backend of a service.
func (f *fleet) addSide(service string) *machine {
	m := &machine{f: f, name: fmt.Sprintf("side-%d", len(f.side)+1), ip: f.nextIP(), service: service, args: runAgent}
	f.side = append(f.side, m)
	return m
}

// settings returns the content of the machine's settings file.
func (m *machine) settings() map[string]any {
	f := m.f
	listen := map[string]any{"datagramAddr": m.addr(portPackets).String(), "readinessAddr": m.addr(portReady).String(), "control": m.addr(portControl).String()}
	out := map[string]any{
		"nodeName": m.name, "role": "balancer", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": m.ip.String(), "zone": zone, "region": "caerdydd", "zones": map[string]string{zone: "caerdydd"},
		"listen": listen, "portRange": []uint16{f.ports[portInner], f.ports[portInner]}, "seeds": f.seeds,
		"bootstrap": !m.startedBefore, "countsAsLoss": false, "dataDir": nil, "discovery": "local", "entry": "announce",
		"limits":      map[string]any{"cpuShare": 0.24, "cores": 1, "memoryMb": 152, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 0},
		"heartbeatMs": heartbeat.Milliseconds(),
		"contracts":   []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "flowStrayMs": 2000, "maxFlowS": f.maxFlowS,
		},
		"hash": "mod", "forwarding": "agent",
		"platform": map[string]any{
			"address": f.storeAddr, "forwarding": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
	if m.service != "" {
		listen["outbound"] = m.addr(portOutbound).String()
		out["role"], out["machineClass"], out["serves"] = "agent", "side", []string{"side"}
		out["app"], out["service"] = m.addr(portApp).String(), m.service
	}
	return out
}

// start starts the machine's process.
func (m *machine) start() error {
	path := filepath.Join(m.f.dir, m.name+".json")
	text, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(program, strings.Fields(m.args)...)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SALTBEND_BOOT=" + path}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.startedBefore = true
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.cmd, m.done)
	m.f.rec.line("process of %s (%s) starts", m.name, m.ip)
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// route is a route of a configuration. If split names a second service, each of the two gets
// half of the new flows.
type route struct {
	face    netip.AddrPort
	service string
	kind    string
	split   string
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int, routes ...route) {
	rows, services := []map[string]any{}, []map[string]any{}
	f.mu.Lock()
	for i, r := range routes {
		row := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": r.face.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.face.Port()), "type": r.kind,
			"timeoutMs": 5000, "targetLatencyMs": 500, "priority": 2, "service": r.service, "maxAttempts": 2,
		}
		if r.split != "" {
			delete(row, "service")
			row["trafficSplit"] = []map[string]any{{"service": r.service, "weight": 50}, {"service": r.split, "weight": 50}}
			f.allowed[r.face] = append(f.allowed[r.face], r.split)
		}
		rows = append(rows, row)
		services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false})
		f.allowed[r.face] = append(f.allowed[r.face], r.service)
	}
	f.mu.Unlock()
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": rows, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.store.put("op/config", text)
	f.rec.line("configuration %d confirmed: %v", version, routes)
}

// ran records the run of a request and checks ROUTE and that no request runs twice.
func (f *fleet) ran(b *backend, id string, src, face netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owners[src] = b
	f.runs[id]++
	if f.runs[id] > 1 {
		f.rec.broken("UNASKED", "request %s has run %d times", id, f.runs[id])
	}
	if !slices.Contains(f.allowed[face], b.service) {
		f.rec.broken("ROUTE", "request %s to %s, a face of %v only, is run by backend %s of service %s", id, face, f.allowed[face], b.id, b.service)
	}
}

// ownerOf returns the backend of a flow, nil if it has run no request.
func (f *fleet) ownerOf(src netip.AddrPort) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[src]
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range append(append([]*machine{}, f.front...), f.side...) {
		if m.cmd != nil {
			m.signal(syscall.SIGKILL)
			<-m.done
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// closeOnSignal ends all processes when this one is asked to end.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	f.close()
	os.Exit(exitNotRun)
}

// waitReady waits until all balancers are in rotation.
func (f *fleet) waitReady(limit time.Duration) bool {
	go f.r.probe()
	time.Sleep(time.Second)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(f.r.inRotation()) == len(f.front) {
			f.running = true
			f.rec.line("all balancers are in rotation")
			return true
		}
	}
	return false
}
