// Package policy names the decisions of the packet face (the part of saltbend that
// forwards packets) that can be switched off one at a time, so that the effect of each
// can be measured (docs/design/measures.md). They are switched off for such measurements
// only.
package policy

import (
	"slices"
	"strings"
)

// Name is the name of a decision that can be switched off.
type Name string

// Names of the decisions; the package in brackets explains each.
const (
	// BoundedSearches limits the searches and probes that start between two ticks of a
	// balancer, and lets the balancer send questions in larger batches if its processor
	// is overloaded (steer).
	BoundedSearches Name = "bounded-searches"
	// EarlyOpenings buffers opening packets until a balancer that has just started knows
	// routes and agents (steer).
	EarlyOpenings Name = "early-openings"
	// HeldOpenings holds opening packets at the agent while the upstream has no room, and
	// refuses those that cannot be answered in time (admission, gate).
	HeldOpenings Name = "held-openings"
	// InheritedEntries lets an agent continue with the entry that the previous agent
	// process left in the store (registry).
	InheritedEntries Name = "inherited-entries"
	// LeastSlack runs a request that is already late just in time for its caller's
	// deadline, instead of after all other requests (admission).
	LeastSlack Name = "least-slack"
	// ListedSlots uses the number of slots that balancers report for an upstream that has
	// not reported its number of slots yet (gate).
	ListedSlots Name = "listed-slots"
	// Outcomes judges upstreams by the outcomes of their flows and requests (outcome).
	Outcomes Name = "outcomes"
	// Repetition assumes that flows opened right after a start retry earlier requests,
	// which have less time left than they appear to have (admission).
	Repetition Name = "repetition"
	// ServiceLevel refuses opening packets at the balancer while all agents of a service
	// refuse such packets (steer).
	ServiceLevel Name = "service-level"
	// SharedWatches lets balancers receive changes of the store through the watch of
	// another balancer (watchshare).
	SharedWatches Name = "shared-watches"
	// SlowUpstreams avoids upstreams that take much longer for a request than the average
	// of their service (steer).
	SlowUpstreams Name = "slow-upstreams"
	// ShortestQueue sends a flow that finds all slots taken to the upstream with the
	// fewest waiting requests (steer).
	ShortestQueue Name = "shortest-queue"
)

// names are all decisions that can be switched off.
var names = []Name{
	BoundedSearches, EarlyOpenings, HeldOpenings, InheritedEntries, LeastSlack, ListedSlots, Outcomes, Repetition, ServiceLevel, SharedWatches, ShortestQueue, SlowUpstreams,
}

// Set is a set of decisions that are switched off. The zero value has all decisions
// enabled.
type Set struct{ off []Name }

// On reports whether a decision is enabled.
func (s Set) On(n Name) bool { return !slices.Contains(s.off, n) }

// Off returns the names of the switched-off decisions, separated by commas.
func (s Set) Off() string {
	var all []string
	for _, n := range s.off {
		all = append(all, string(n))
	}
	return strings.Join(all, ",")
}

// Without returns the set in which the named decisions are switched off, and those of the
// names that are unknown.
func Without(off []string) (s Set, unknown []string) {
	for _, text := range off {
		n := Name(strings.TrimSpace(text))
		if !slices.Contains(names, n) {
			unknown = append(unknown, text)
			continue
		}
		s.off = append(s.off, n)
	}
	return s, unknown
}

// Names returns the names of all decisions that can be switched off.
func Names() []string {
	var all []string
	for _, n := range names {
		all = append(all, string(n))
	}
	return all
}
