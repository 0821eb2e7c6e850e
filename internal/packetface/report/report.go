// Package report serves and fetches the status report of a packet-face balancer for
// operators: its configuration, its list of agents and the status of each agent.
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

// Balancer is the status of a balancer.
type Balancer struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping,omitempty"`
	// Version is the version of the configuration in force, Routes the number of its
	// routes.
	Version uint64 `json:"version"`
	Routes  int    `json:"routes"`
	// Era is the store's era as far as this balancer knows: the number of times that the
	// store was restored from an older copy. Settling reports that the store was restored
	// recently and that operators may still be repeating the writes that it lost.
	Era      uint64 `json:"era"`
	Settling bool   `json:"settling,omitempty"`
	// ListAsOf is the store position up to which the balancer has every change to the
	// list of agents. ListHeard is the highest store position of an agent entry that
	// agents have reported. Both have the form era/revision, such as "2/48". ListOutdated
	// reports that ListHeard is higher than ListAsOf.
	ListAsOf     string `json:"list_as_of"`
	ListHeard    string `json:"list_heard"`
	ListOutdated bool   `json:"list_outdated,omitempty"`
	// StoreAgeMS is the time since the store last answered, -1 for never.
	StoreAgeMS int64 `json:"store_age_ms"`
	// ListensTo is the host of the balancer from which this one receives store changes,
	// empty if this one watches the store itself. Listeners is the number of balancers
	// that receive store changes from this one.
	ListensTo string  `json:"listens_to,omitempty"`
	Listeners int     `json:"listeners,omitempty"`
	Flows     int     `json:"flows"`
	Searches  int     `json:"searches"`
	Agents    []Agent `json:"agents"`
	// Services and DataCentres are the room for new flows.
	Services    []Service    `json:"services,omitempty"`
	DataCentres []DataCentre `json:"data_centres,omitempty"`
	// Evacuations are the data centres that operators have asked to evacuate.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Seeds are the control addresses of other balancers.
	Seeds []netip.AddrPort `json:"seeds"`
}

// Agent is the status of an agent as a balancer knows it.
type Agent struct {
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	// Service is the name of the agent's service, or the service's ID if no route names
	// it.
	Service string `json:"service"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	Flows   int    `json:"flows"`
	// HeardAgeMS is the time since the balancer last received a datagram from the agent,
	// -1 for never.
	HeardAgeMS int64 `json:"heard_age_ms"`
	Suspected  bool  `json:"suspected,omitempty"`
	Unlisted   bool  `json:"unlisted,omitempty"`
	// Evacuated reports that the agent receives no new flows because its data centre is
	// being evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Load is the room that the agent reports, nil if its build reports none.
	Load *Load `json:"load,omitempty"`
}

// Evacuation is an operator's request to evacuate a data centre, as a balancer knows it.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// At is the store position of the request in the form era/revision. If its era is
	// earlier than the store's, the request must be written again.
	At string `json:"at"`
	// KnownForMS is the time since the balancer learned of the request.
	KnownForMS int64 `json:"known_for_ms"`
}

const (
	path = "/packet/status"
	// maxBytes bounds the size of a report. A report has 300 to 500 bytes for each agent,
	// so that of 7,000 agents is far below the bound.
	maxBytes = 8 << 20
	// Never is the age of an event that has not happened.
	Never = -1
)

// AgeMS returns the milliseconds from an event to now, or Never if the event's time, at,
// is 0.
func AgeMS(now, at time.Duration) int64 {
	if at == 0 {
		return Never
	}
	return (now - at).Milliseconds()
}

// Handle registers the HTTP handler that serves the report returned by take.
func Handle(mux *http.ServeMux, take func() Balancer) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(take()) // an error means that the client has disconnected
	})
}

// Fetch requests the report of the balancer at a control address.
func Fetch(ctx context.Context, control netip.AddrPort) (b Balancer, err error) {
	err = peercall.Get(ctx, http.DefaultClient, control, path, maxBytes, &b)
	return b, errors.Wrap(err, "report: fetch the report of a balancer")
}
