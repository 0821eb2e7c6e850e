// Package report is what a balancer of the packet face tells operators of what
// it believes: its configuration, its list of agents, and each agent.
package report

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/packetface/peercall"
)

// Balancer is what one balancer believes.
type Balancer struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping,omitempty"`
	// Version is that of the configuration in force, Routes the number of its
	// routes.
	Version uint64 `json:"version"`
	Routes  int    `json:"routes"`
	// Era counts how often the store came back from a copy, as far as this balancer
	// knows. Settling tells that operators may still write again what it lost.
	Era      uint64 `json:"era"`
	Settling bool   `json:"settling,omitempty"`
	// ListAsOf is the store's position up to which the list of agents is known,
	// ListHeard the highest of an entry that agents have told of, each as era and
	// revision, such as "2/48". ListOutdated tells that the latter is higher.
	ListAsOf     string `json:"list_as_of"`
	ListHeard    string `json:"list_heard"`
	ListOutdated bool   `json:"list_outdated,omitempty"`
	// StoreAgeMS is the time since the store last answered, -1 for never.
	StoreAgeMS int64 `json:"store_age_ms"`
	// ListensTo is the host of the balancer whose watch of the store is shared, empty
	// for one that watches itself; Listeners counts those that rely on this one's.
	ListensTo string  `json:"listens_to,omitempty"`
	Listeners int     `json:"listeners,omitempty"`
	Flows     int     `json:"flows"`
	Searches  int     `json:"searches"`
	Agents    []Agent `json:"agents"`
	// Evacuations are the data centres that operators want empty.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Seeds are the control addresses of other balancers.
	Seeds []netip.AddrPort `json:"seeds"`
}

// Agent is what a balancer believes of an agent.
type Agent struct {
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	// Service is its name, or its id where no route names it.
	Service string `json:"service"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	Flows   int    `json:"flows"`
	// HeardAgeMS is the time since its last datagram, -1 for never.
	HeardAgeMS int64 `json:"heard_age_ms"`
	Suspected  bool  `json:"suspected,omitempty"`
	Unlisted   bool  `json:"unlisted,omitempty"`
	// Evacuated tells that it gets no new flows: its data centre is to be emptied.
	Evacuated bool `json:"evacuated,omitempty"`
}

// Evacuation is a request to empty a data centre, as a balancer knows it.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// At is the store's position of the request, as era and revision. One of an earlier
	// era is to be written again.
	At string `json:"at"`
	// KnownForMS is the time since the balancer heard of it.
	KnownForMS int64 `json:"known_for_ms"`
}

const (
	path = "/packet/status"
	// maxBytes bounds an answer: 7,000 agents at some 200 bytes, with room.
	maxBytes = 8 << 20
	// Never stands for an age of what has not happened.
	Never = -1
)

// AgeMS returns the time since at in ms, Never where at is 0.
func AgeMS(now, at time.Duration) int64 {
	if at == 0 {
		return Never
	}
	return (now - at).Milliseconds()
}

// Handle serves what take returns.
func Handle(mux *http.ServeMux, take func() Balancer) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(take()) // an error means that the other has gone
	})
}

// Fetch asks the balancer at a control address.
func Fetch(ctx context.Context, control netip.AddrPort) (b Balancer, err error) {
	err = peercall.Get(ctx, http.DefaultClient, control, path, maxBytes, &b)
	return b, errors.Wrap(err, "report: ask a balancer")
}
