package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// bounds are those of the small installation whose sheet and site file claim.txt names.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
	"configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "flowStrayMs": 2000, "maxFlowS": 60,
}

// Bounds used by the checks.
const (
	contact     = 4 * time.Second
	configApply = 3 * time.Second
	reuseAfter  = 2 * time.Second
)

// portsOf are the ports of a day: the same on all machines.
type portsOf struct{ packets, ready, control, outbound, app, inner int }

// fleet is a small deployment on loopback.
type fleet struct {
	dir      string
	net      [2]byte
	last     byte
	ports    portsOf
	store    *metadataStore
	storeAt  string // the store's address in settings
	seeds    []string
	machines []*machine
	commands map[string][]string // by "front" and "side", from the deploy file
	rec      *recorder
}

// machine is a machine with at most one process of the system.
type machine struct {
	fleet               *fleet
	name, zone, service string
	ip                  netip.Addr
	first               bool   // the first start of the whole system
	storeAt             string // the store's address in the settings; the fleet's if empty
	process             *exec.Cmd
	ended               chan struct{}
}

// newFleet returns a fleet with free ports, its store and a temporary folder.
func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "saltbend-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, net: [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}, rec: rec}
	ports := make([]int, 6)
	for i := range ports {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		defer c.Close() // open until all are known, so that they differ
		ports[i] = c.LocalAddr().(*net.UDPAddr).Port
	}
	f.ports = portsOf{ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]}
	if f.store, err = newStore(f.nextAddr().String()); err != nil {
		return nil, err
	}
	f.storeAt = f.store.address()
	f.commands, err = deployCommands("deploy/system.toml")
	return f, err
}

var (
	runLine = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`)
	onLine  = regexp.MustCompile(`(?m)^on\s*=\s*"([^"]+)"`)
)

// deployCommands returns the commands of the deploy file by class of machine.
func deployCommands(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := map[string][]string{}
	for _, role := range strings.Split(string(text), "[roles.")[1:] {
		run, on := runLine.FindStringSubmatch(role), onLine.FindStringSubmatch(role)
		if run == nil || on == nil {
			return nil, fmt.Errorf("%s: a role without run or on", path)
		}
		out[on[1]] = strings.Fields(run[1])
	}
	return out, nil
}

// nextAddr returns a loopback address that nothing else of the fleet uses.
func (f *fleet) nextAddr() netip.Addr {
	f.last++
	return netip.AddrFrom4([4]byte{127, f.net[0], f.net[1], f.last})
}

// add adds a machine; service is empty for a front machine. Machines must be added before
// the first process starts, as settings name the seeds.
func (f *fleet) add(name, zone, service string) *machine {
	m := &machine{fleet: f, name: name, zone: zone, service: service, ip: f.nextAddr(), first: true}
	f.machines = append(f.machines, m)
	if service == "" && len(f.seeds) < 3 {
		f.seeds = append(f.seeds, m.at(f.ports.control))
	}
	return m
}

func (m *machine) at(port int) string { return netip.AddrPortFrom(m.ip, uint16(port)).String() }

// settings returns the settings file of the machine, as DEPLOY.md tells it.
func (m *machine) settings() map[string]any {
	f := m.fleet
	storeAt := f.storeAt
	if m.storeAt != "" {
		storeAt = m.storeAt
	}
	listen := map[string]any{"datagramAddr": m.at(f.ports.packets), "readinessAddr": m.at(f.ports.ready), "control": m.at(f.ports.control)}
	s := map[string]any{
		"nodeName": m.name, "role": "balancer", "machineClass": "front", "serves": []string{"front", "control"}, "ip": m.ip.String(), "zone": m.zone,
		"region": "review", "zones": map[string]string{"hall-a": "review", "hall-b": "review"}, "listen": listen,
		"portRange": []int{f.ports.inner, f.ports.inner}, "seeds": f.seeds, "bootstrap": m.first, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "local", "entry": "announce", "heartbeatMs": heartbeatEvery.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0}, "bounds": bounds, "hash": "mod", "forwarding": "agent",
		"platform": map[string]any{"address": storeAt, "forwarding": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	if m.service != "" {
		listen["outbound"] = m.at(f.ports.outbound)
		s["role"], s["machineClass"], s["serves"], s["app"], s["service"] = "agent", "side", []string{"side"}, m.at(f.ports.app), m.service
	}
	return s
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	f := m.fleet
	path := filepath.Join(f.dir, m.name+".json")
	text, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	class := "front"
	if m.service != "" {
		class = "side"
	}
	args := f.commands[class]
	if args == nil {
		return fmt.Errorf("the deploy file has no role on %s", class)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = []string{"SALTBEND_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.ended, m.first = cmd, make(chan struct{}), false
	go func(ended chan struct{}) {
		cmd.Wait()
		log.Close()
		close(ended)
	}(m.ended)
	f.rec.note("process on %s starts (%s)", m.name, strings.Join(args, " "))
	return nil
}

// running reports whether the machine's process runs.
func (m *machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the machine's process.
func (m *machine) signal(sig syscall.Signal) {
	if m.running() {
		m.process.Process.Signal(sig)
	}
}

// ready reports whether the machine's process answers its readiness check with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.at(m.fleet.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.running() {
			m.process.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// route is a route of a configuration.
type route struct {
	at      end
	service string
	kind    string
}

// configure writes a configuration as the operator and returns when the store confirmed it.
func (f *fleet) configure(version int, services []string, routes ...route) time.Time {
	rows, list := []map[string]any{}, []map[string]any{}
	for i, r := range routes {
		rows = append(rows, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": r.at.addr.String(), "prefix": fmt.Sprintf("/%d/", r.at.port), "type": r.kind,
			"service": r.service, "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1, "maxAttempts": 2,
		})
	}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false})
	}
	text, _ := json.Marshal(map[string]any{"version": version, "routes": rows, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	at := f.store.put("op/config", text)
	f.rec.note("operator writes configuration %d with %d routes; the store confirms it", version, len(routes))
	return at
}
