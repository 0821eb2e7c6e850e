package report

import (
	"fmt"

	"github.com/saltbend/saltbend/internal/packetface/admission"
)

// Service is the room of a service as a balancer knows it.
type Service struct {
	Service string `json:"service"`
	// Agents is the number of agents that get new flows, Recent how many of them have
	// reported recently enough for the balancer to refuse flows on their figures.
	Agents int `json:"agents"`
	Recent int `json:"agents_recent"`
	// FreeSlots are the slots without a request, as far as is known.
	Slots     int `json:"slots"`
	FreeSlots int `json:"free_slots"`
	// Short reports that no agent has had a free slot for ShortForMS.
	Short      bool  `json:"short,omitempty"`
	ShortForMS int64 `json:"short_for_ms,omitempty"`
	// Bar is what the balancer refuses without trying an agent.
	Bar *Bar `json:"bar,omitempty"`
	// RefusedShare is the share of the openings of the last seconds that were refused for
	// lack of room.
	RefusedShare float64 `json:"refused_share"`
	// ShortestWaitMS and LongestWaitMS are the waits that agents expect for an opening.
	ShortestWaitMS int64 `json:"shortest_wait_ms"`
	LongestWaitMS  int64 `json:"longest_wait_ms"`
	// NewestAgeMS and OldestAgeMS are the ages of the agents' figures.
	NewestAgeMS int64 `json:"newest_age_ms"`
	OldestAgeMS int64 `json:"oldest_age_ms"`
}

// DataCentre is the room in a data centre as a balancer knows it.
type DataCentre struct {
	DataCentre string `json:"data_centre"`
	// Agents is the number of agents that get new flows.
	Agents    int `json:"agents"`
	Slots     int `json:"slots"`
	FreeSlots int `json:"free_slots"`
	// Utilization is the share of the slots in use over some seconds.
	Utilization float64 `json:"utilization"`
}

// Load is the room that an agent has reported for its upstream.
type Load struct {
	// WaitMS is how long an opening that arrives now is expected to wait.
	WaitMS int64 `json:"wait_ms"`
	// Utilization is the share of the slots in use over some seconds.
	Utilization float64 `json:"utilization"`
	Bar         *Bar    `json:"bar,omitempty"`
	// ServiceTimes are how long the upstream works on requests of the most frequent
	// priorities.
	ServiceTimes []ServiceTime `json:"service_times,omitempty"`
	// AgeMS is the age of these figures.
	AgeMS int64 `json:"age_ms"`
}

// ServiceTime is how long an upstream works on requests of a priority.
type ServiceTime struct {
	Priority uint8   `json:"priority"`
	MeanMS   float64 `json:"mean_ms"`
}

// Bar is what is refused for lack of room: the openings of routes that are less urgent than
// Priority, and of the routes with that priority those of callers whose rank is below Rank.
// Ranks are 0 to 255; those of callers change every few seconds.
type Bar struct {
	Priority uint8 `json:"priority"`
	Rank     uint8 `json:"rank"`
}

// BarOf returns the bar of a standing, nil if nothing is refused.
func BarOf(s admission.Standing) *Bar {
	if s == 0 {
		return nil
	}
	return &Bar{Priority: s.Priority(), Rank: uint8(s)}
}

// ranks is the number of ranks.
const ranks = 256

// String describes the bar as operators read it.
func (b *Bar) String() string {
	if b == nil {
		return "none"
	}
	return fmt.Sprintf("priority %d rank %d (%d%% of priority %d, all below it)", b.Priority, b.Rank, 100*int(b.Rank)/ranks, b.Priority)
}
