// Package evacuation holds a process's copy of the evacuations of data centres. An
// evacuation is an operator's request that no new flow reach an upstream in a data centre
// until the request is withdrawn. The package does no I/O.
//
// Requests and withdrawals are written to the platform's store, so the store's positions
// order them. A process may receive them late, twice, out of order, or from other processes
// with older copies. A Record ignores changes that it knows to be superseded, whatever the
// order in which it receives them.
//
// The store may be restored from a copy that is some seconds old; this begins a new era.
// Operators then write the lost changes again. Until they have had time for that, the
// absence of a request in the new era is no proof of its withdrawal: a request that is
// known from an earlier era stays in force, also if only another process knows it. A
// request that the copy contains although it had been withdrawn stays in force, too, until
// operators withdraw it again. A few seconds with fewer upstreams cost some waiting time,
// whereas a flow sent into a data centre that is about to lose power breaks the guarantee
// given to operators.
package evacuation

import (
	"maps"
	"slices"

	"github.com/saltbend/saltbend/internal/store"
)

// State is the evacuation state of one data centre as known to a process.
type State struct {
	// Evacuated is true if no new flow may be sent to the data centre.
	Evacuated bool
	// AsOf is the store's position up to which all changes are included, 0 if none are.
	AsOf store.Position
}

// Newer returns the state with the later position. If the positions are equal, it returns
// the evacuated one: if a withdrawal takes effect late, there are only fewer upstreams to
// choose from, whereas ignoring a request breaks the guarantee given to operators.
func (s State) Newer(o State) State {
	if o.AsOf > s.AsOf || o.AsOf == s.AsOf && o.Evacuated {
		return o
	}
	return s
}

// Request is an operator's request to evacuate a data centre.
type Request struct {
	DataCentre string `json:"data_centre"`
	// At is the store's position at which the request was written.
	At store.Position `json:"revision"`
}

// Change is a request or its withdrawal, as written to the store.
type Change struct {
	Request
	Withdrawn bool
}

// Record is a process's copy of all requests in force. The zero value is empty, with no
// known position.
type Record struct {
	// asOf is the store's position up to which the Record includes all changes. The requests
	// map may include some later changes.
	asOf store.Position
	// requests maps each evacuated data centre to the position of its request.
	requests map[string]store.Position
	// unsettled is true while operators may still write again the requests that the store
	// lost at the beginning of this era.
	unsettled bool
	// withdrawn holds the data centres whose requests have been withdrawn while unsettled
	// is true.
	withdrawn map[string]bool
}

// Apply applies changes in the order of the store; afterwards all changes up to asOf are
// included. It reports whether the state of any data centre has changed.
func (r *Record) Apply(changes []Change, asOf store.Position) (changed bool) {
	r.enterEra(asOf)
	for _, c := range changes {
		changed = r.apply(c) || changed
	}
	r.asOf = max(r.asOf, asOf)
	return changed
}

// enterEra marks the Record as unsettled if asOf is of a later era than the Record: until
// Settle is called, the absence of a request is no proof of its withdrawal. A store that
// reports no eras is assumed to lose no changes, so the Record stays settled.
func (r *Record) enterEra(asOf store.Position) {
	if asOf.Era() > r.asOf.Era() {
		r.unsettled, r.withdrawn = true, nil
	}
}

func (r *Record) apply(c Change) (changed bool) {
	at, requested := r.requests[c.DataCentre]
	if c.At <= max(r.asOf, at) {
		return false // the change is already included
	}
	if c.Withdrawn {
		r.withdraw(c.DataCentre)
		return requested
	}
	r.set(c.Request)
	return !requested
}

func (r *Record) set(q Request) {
	if r.requests == nil {
		r.requests = make(map[string]store.Position)
	}
	r.requests[q.DataCentre] = q.At
	delete(r.withdrawn, q.DataCentre)
}

func (r *Record) withdraw(dataCentre string) {
	delete(r.requests, dataCentre)
	if !r.unsettled {
		return
	}
	if r.withdrawn == nil {
		r.withdrawn = make(map[string]bool)
	}
	r.withdrawn[dataCentre] = true
}

// Replace applies a complete list of the requests at a position, as read from the store or
// received from another process. A request that the list lacks has been withdrawn, unless
// the request is newer than asOf or of an earlier era. Replace reports whether the state of
// any data centre has changed.
func (r *Record) Replace(all []Request, asOf store.Position) (changed bool) {
	r.enterEra(asOf)
	if asOf > r.asOf {
		changed = r.withdrawMissing(all, asOf)
	}
	for _, q := range all {
		changed = r.apply(Change{Request: q}) || changed
	}
	r.asOf = max(r.asOf, asOf)
	return changed
}

func (r *Record) withdrawMissing(all []Request, asOf store.Position) (changed bool) {
	for dataCentre, at := range r.requests {
		listed := slices.ContainsFunc(all, func(q Request) bool { return q.DataCentre == dataCentre })
		if !listed && at <= asOf && at.SameEra(asOf) {
			r.withdraw(dataCentre)
			changed = true
		}
	}
	return changed
}

// CarryOver adds to a Record that was just read from the store what the previous Record
// contains and the read does not disprove: requests of earlier eras, as long as operators
// may still write them again.
func (r *Record) CarryOver(before *Record) {
	if before.asOf.SameEra(r.asOf) {
		r.unsettled, r.withdrawn = before.unsettled, maps.Clone(before.withdrawn)
	}
	for dataCentre, at := range before.requests {
		if _, exists := r.requests[dataCentre]; !exists && r.unsettled && !at.SameEra(r.asOf) {
			r.set(Request{dataCentre, at})
		}
	}
}

// Settle records that operators have had time to write again the changes that the store
// lost: requests that are known only from earlier eras are dropped.
func (r *Record) Settle() {
	r.unsettled, r.withdrawn = false, nil
	maps.DeleteFunc(r.requests, func(_ string, at store.Position) bool { return !at.SameEra(r.asOf) })
}

// State returns the state of a data centre. It returns the zero State if, in an unsettled
// era, neither a request nor a withdrawal is known: the store may have lost a request.
func (r *Record) State(dataCentre string) State {
	at, requested := r.requests[dataCentre]
	switch {
	case requested && !at.SameEra(r.asOf) && r.unsettled:
		return State{Evacuated: true, AsOf: at}
	case !requested && r.unsettled && !r.withdrawn[dataCentre]:
		return State{}
	}
	return State{Evacuated: requested, AsOf: max(r.asOf, at)}
}

// Resolve returns the effective state of a data centre, given the state received from
// another process. If the received state is of the Record's era and the Record lacks the
// request at a later position, the request has been withdrawn.
func (r *Record) Resolve(dataCentre string, received State) State {
	own := r.State(dataCentre)
	if own.AsOf == 0 && received.AsOf != 0 && received.AsOf.SameEra(r.asOf) {
		own.AsOf = r.asOf
	}
	return own.Newer(received)
}

// Requests returns all requests, ordered by the names of the data centres.
func (r *Record) Requests() []Request {
	all := make([]Request, 0, len(r.requests))
	for _, dataCentre := range slices.Sorted(maps.Keys(r.requests)) {
		all = append(all, Request{dataCentre, r.requests[dataCentre]})
	}
	return all
}

// Clone returns an independent copy of the Record.
func (r *Record) Clone() Record {
	return Record{asOf: r.asOf, requests: maps.Clone(r.requests), unsettled: r.unsettled, withdrawn: maps.Clone(r.withdrawn)}
}
