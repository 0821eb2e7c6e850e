// Package policy names the decisions of the packet face that can be switched off
// one at a time, so that what each is worth can be measured (docs/design/measures.md).
// Nothing but such a measurement switches one off. It is pure.
package policy

import (
	"slices"
	"strings"
)

// Name is a decision that can be switched off.
type Name string

// Names of the decisions; the package in brackets explains each.
const (
	// BoundedSearches bounds the searches and probes that begin between two ticks of a
	// balancer, and lets it ask in larger batches where its processor is short (steer).
	BoundedSearches Name = "bounded-searches"
	// EarlyOpenings keeps opening packets until a balancer that has just started knows
	// routes and agents (steer).
	EarlyOpenings Name = "early-openings"
	// InheritedEntries lets an agent go on with the entry that the process before it
	// left in the store (registry).
	InheritedEntries Name = "inherited-entries"
	// LeastSlack runs a request that is late already just in time for its caller's
	// deadline, instead of after all others (admission).
	LeastSlack Name = "least-slack"
	// ListedSlots takes the balancers' word for the slots of an upstream that has not
	// reported yet (gate).
	ListedSlots Name = "listed-slots"
	// Outcomes judges upstreams by what becomes of flows and requests (outcome).
	Outcomes Name = "outcomes"
	// Repetition takes flows that begin right after a start for repetitions, which
	// have less time left than they seem to have (admission).
	Repetition Name = "repetition"
	// SharedWatches lets balancers learn of the store's changes from the watch of
	// another one (watchshare).
	SharedWatches Name = "shared-watches"
	// SlowUpstreams keeps flows away from upstreams that take much longer for a request
	// than their siblings do (steer).
	SlowUpstreams Name = "slow-upstreams"
	// ShortestQueue sends a flow that finds all slots taken to the upstream where
	// the fewest requests wait (steer).
	ShortestQueue Name = "shortest-queue"
)

// names are all that can be switched off.
var names = []Name{
	BoundedSearches, EarlyOpenings, InheritedEntries, LeastSlack, ListedSlots, Outcomes, Repetition, SharedWatches, ShortestQueue, SlowUpstreams,
}

// Set holds the decisions that are switched off; the zero value has all on.
type Set struct{ off []Name }

// On reports whether a decision is to be made.
func (s Set) On(n Name) bool { return !slices.Contains(s.off, n) }

// Off returns the names of what is switched off, joined by commas.
func (s Set) Off() string {
	var all []string
	for _, n := range s.off {
		all = append(all, string(n))
	}
	return strings.Join(all, ",")
}

// Without returns the set in which the named decisions are switched off, and the
// names that there are none of.
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

// Names returns all names.
func Names() []string {
	var all []string
	for _, n := range names {
		all = append(all, string(n))
	}
	return all
}
