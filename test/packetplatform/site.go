package packetplatform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// Host is a simulated host of the platform on loopback. Each host has its own address; the
// port numbers are the same on all hosts of a site.
type Host struct {
	Name, IP, Zone, Service string
	AppPort                 int
	OutboundPort            int
	ControlPort             int
	// Settings is the path of the settings file.
	Settings string

	site *Site
}

// Site is a simulated deployment of the platform on loopback.
type Site struct {
	Store *Store
	// StoreAddress is the address of the store in the settings of hosts that are added
	// later; if empty, the address of Store is used.
	StoreAddress string
	// FlowMaxS is the age in seconds at which a flow may be discarded.
	FlowMaxS int

	dir   string
	net   [2]byte
	last  byte
	ports []int
	// seeds are the control addresses of the first balancers, which new processes
	// contact; hosts are all hosts that were added.
	seeds []string
	hosts []*Host
}

// flowMaxS is the default of Site.FlowMaxS, the maximum age of a flow in seconds.
const flowMaxS = 60

// maxSeeds is the maximum number of seeds in a settings file.
const maxSeeds = 3

// Indices into Site.ports.
const (
	portPackets = iota
	portReady
	portControl
	portOutbound
	portApp
	portInner
	portFree
	portCount
)

// NewSite returns a site with unused addresses and ports: the network 127.x.y.0 is random,
// the ports are assigned by the kernel. Settings files are written to dir.
func NewSite(dir string) (*Site, error) {
	s := &Site{dir: dir, net: [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}, Store: NewStore(), FlowMaxS: flowMaxS}
	for range portCount {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		defer conn.Close() // kept open until all ports are assigned, so that they differ
		s.ports = append(s.ports, conn.LocalAddr().(*net.UDPAddr).Port)
	}
	return s, nil
}

// nextIP returns an address that no host or caller of the site uses.
func (s *Site) nextIP() string {
	s.last++
	return fmt.Sprintf("127.%d.%d.%d", s.net[0], s.net[1], s.last)
}

// Host adds a host and writes its settings file. service is empty for a balancer's host.
func (s *Site) Host(name, zone, service string) (*Host, error) {
	h := &Host{
		Name: name, IP: s.nextIP(), Zone: zone, Service: service, site: s,
		AppPort: s.ports[portApp], OutboundPort: s.ports[portOutbound], ControlPort: s.ports[portControl],
		Settings: filepath.Join(s.dir, name+".json"),
	}
	s.hosts = append(s.hosts, h)
	if service == "" && len(s.seeds) < maxSeeds {
		s.seeds = append(s.seeds, h.at(portControl))
		return h, s.writeAll()
	}
	return h, h.write()
}

// writeAll writes the settings files of all hosts, since all of them list the seeds.
func (s *Site) writeAll() error {
	for _, h := range s.hosts {
		if err := h.write(); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) write() error {
	text, err := json.Marshal(h.settings())
	if err != nil {
		return err
	}
	return os.WriteFile(h.Settings, text, 0o600)
}

func (h *Host) at(port int) string { return fmt.Sprintf("%s:%d", h.IP, h.site.ports[port]) }

// settings returns the settings of the host in the format of the platform's settings file.
func (h *Host) settings() map[string]any {
	listen := map[string]any{"datagramAddr": h.at(portPackets), "readinessAddr": h.at(portReady), "control": h.at(portControl)}
	out := map[string]any{
		"nodeName": h.Name, "zone": h.Zone, "ip": h.IP, "listen": listen, "bootstrap": true,
		"portRange":   []int{h.site.ports[portInner], h.site.ports[portInner]},
		"heartbeatMs": heartbeatInterval.Milliseconds(),
		"bounds":      map[string]any{"drainMs": 3000, "graceS": 6, "maxFlowS": h.site.FlowMaxS},
		"platform":    map[string]any{"address": h.site.storeAddress(), "ttlMinMs": 1000},
		"seeds":       h.site.seeds,
		"unknown":     "fields that the product does not know are ignored",
	}
	if h.Service != "" {
		listen["outbound"] = h.at(portOutbound)
		out["service"], out["app"] = h.Service, h.at(portApp)
	}
	return out
}

func (s *Site) storeAddress() string {
	if s.StoreAddress != "" {
		return s.StoreAddress
	}
	return s.Store.Address()
}

// Packets returns the address at which the host receives packets.
func (h *Host) Packets() netip.AddrPort { return netip.MustParseAddrPort(h.at(portPackets)) }

// Control returns the control address of the host's process.
func (h *Host) Control() netip.AddrPort { return netip.MustParseAddrPort(h.at(portControl)) }

// Ready reports whether the host's process answers its readiness check with status 200.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.at(portReady) + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// FreePort returns a port that no host of the site uses.
func (s *Site) FreePort() int { return s.ports[portFree] }

// Caller returns a new caller with its own address.
func (s *Site) Caller() (*Caller, error) {
	ip := netip.MustParseAddr(s.nextIP())
	return NewCaller(netip.AddrPortFrom(ip, uint16(s.ports[portPackets])))
}

// Route is one route of a configuration.
type Route struct {
	Face    netip.AddrPort
	Service string
	Safe    bool
	// Priority is the priority of the route, defaultPriority if it is 0.
	Priority int
}

const defaultPriority = 2

// Configure writes a configuration to the store, as an operator does.
func (s *Site) Configure(version int, routes ...Route) {
	var rows []map[string]any
	for i, r := range routes {
		kind := "unsafe"
		if r.Safe {
			kind = "safe"
		}
		rows = append(rows, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": r.Face.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Face.Port()),
			"type": kind, "service": r.Service, "timeoutMs": 4000, "targetLatencyMs": 250, "priority": cmp.Or(r.Priority, defaultPriority),
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": rows, "limits": map[string]any{"idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // a bug in the test
	}
	s.Store.Put("op/config", text)
}
