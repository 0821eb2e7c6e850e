// Package routing selects the service of a new flow of the packet face (the part of
// saltbend that forwards packets). A face is an address and port to which callers open
// flows; its route names the services and their weights. A Table is built from one
// version of the configuration and is immutable.
package routing

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// Table holds the routes of one version of the configuration.
type Table struct {
	Version uint64
	routes  map[netip.AddrPort]*Route
	// names are the names of the services of all routes, by id.
	names map[uint64]string
	// cold holds, by service id, the cold rate and warm-up given in the configuration.
	cold map[uint64]inner.Cold
}

// Route is the route of a face: the services to which its new flows are distributed.
type Route struct {
	platform.Route
	// Services are the ids of the services in the order of Shares.
	Services []uint64
	// Terms are the properties of the route's requests that agents need.
	Terms inner.Terms
	total float64
}

// NewTable returns the table of a configuration.
func NewTable(c platform.Configuration) *Table {
	t := &Table{Version: c.Version, routes: make(map[netip.AddrPort]*Route, len(c.Routes)), names: make(map[uint64]string), cold: make(map[uint64]inner.Cold)}
	for _, service := range c.Services {
		t.cold[inner.ServiceID(service.Name)] = coldOf(service)
	}
	for _, configured := range c.Routes {
		route := &Route{Route: configured, Terms: inner.Terms{
			Priority: uint8(min(max(configured.Priority, 0), math.MaxUint8)), TargetLatency: configured.TargetLatency, Timeout: configured.Timeout,
		}}
		for _, share := range configured.Shares {
			id := inner.ServiceID(share.Service)
			route.Services = append(route.Services, id)
			t.names[id] = share.Service
			route.total += share.Weight
		}
		t.routes[configured.Face] = route
	}
	return t
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// ServiceName returns the name of a service, empty if no route has the service.
func (t *Table) ServiceName(id uint64) string { return t.names[id] }

// Cold returns the cold rate and warm-up that the configuration gives for a service.
func (t *Table) Cold(service uint64) inner.Cold { return t.cold[service] }

func coldOf(s platform.Service) inner.Cold {
	cold := inner.Cold{Warmup: s.Warmup}
	if s.ColdRate > 0 {
		cold.Rate = uint16(min(max(s.ColdRate, 1), math.MaxUint16))
	}
	return cold
}

// All returns all routes by their faces; the map must not be modified.
func (t *Table) All() map[netip.AddrPort]*Route { return t.routes }

// At returns the route of a face, nil if there is none.
func (t *Table) At(face netip.AddrPort) *Route { return t.routes[face] }

// Find returns the route of a flow's face, nil if there is none.
func (t *Table) Find(flow platform.Flow) *Route { return t.routes[flow.FaceAddr()] }

// Choose returns the id of the service to which a new flow goes. Services are chosen by
// weight, and the result is the same for every copy of the flow's opening packet at every
// balancer with this version of the configuration. ok is false for a route without a
// service.
func (r *Route) Choose(flow platform.Flow) (service uint64, ok bool) {
	if len(r.Services) == 0 {
		return 0, false
	}
	const scale = 1.0 / (1 << 53)
	point := float64(Hash(flow)>>11) * scale * r.total
	for i, share := range r.Shares {
		if point < share.Weight {
			return r.Services[i], true
		}
		point -= share.Weight
	}
	return r.Services[len(r.Services)-1], true
}

// Hash returns a 64-bit hash of both ends of a flow.
func Hash(flow platform.Flow) uint64 {
	var b [12]byte
	copy(b[:], flow.Caller[:])
	copy(b[4:], flow.Face[:])
	binary.BigEndian.PutUint16(b[8:], flow.CallerPort)
	binary.BigEndian.PutUint16(b[10:], flow.FacePort)
	return xxhash.Sum64(b[:])
}
