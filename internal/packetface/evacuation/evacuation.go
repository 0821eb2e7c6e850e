// Package evacuation keeps what a process knows of data centres that operators have
// asked to empty: no new flow may reach an upstream there until they take it back.
// It is pure.
//
// Requests and their withdrawals are changes of the platform's store, so the store's
// positions order them. A process hears of them late, twice, out of order and from
// others that know less; a Record never goes back to what it knew to be over, whatever
// order the news comes in.
//
// The store may come back from a copy some seconds old, in another era, and operators
// write again what it lost. Until they have had their time for that, a request that is
// missing in the new era proves nothing: one that is known from the era before stands,
// and so does one that another process tells of. A request that the copy has although
// it was withdrawn stands, too, until operators withdraw it again: a few seconds with
// fewer upstreams cost some waiting, a flow into a data centre that loses its power
// breaks what operators were promised.
package evacuation

import (
	"maps"
	"slices"

	"github.com/saltbend/saltbend/internal/store"
)

// Word is what a process knows of one data centre.
type Word struct {
	// Evacuated tells that no new flow may go there.
	Evacuated bool
	// AsOf is the store's position up to which every change is known, 0 for none.
	AsOf store.Position
}

// Newer returns the word that knows more. Of two that know as much it is the one that
// keeps flows away: a withdrawal that is heard later costs a choice, a request that is
// passed over breaks what operators were promised.
func (w Word) Newer(o Word) Word {
	if o.AsOf > w.AsOf || o.AsOf == w.AsOf && o.Evacuated {
		return o
	}
	return w
}

// Request is an operator's request to empty a data centre.
type Request struct {
	DataCentre string `json:"data_centre"`
	// At is the store's position of the request.
	At store.Position `json:"revision"`
}

// Change is a request, or its withdrawal.
type Change struct {
	Request
	Withdrawn bool
}

// Record is a process's copy of all requests. The zero value knows nothing.
type Record struct {
	// asOf is the position up to which every change is known; requests may hold later
	// ones, too.
	asOf store.Position
	// requests holds the position of the request for each data centre that is to be
	// empty.
	requests map[string]store.Position
	// unsettled tells that what is missing in this era may still be written again;
	// withdrawn are the data centres whose requests were withdrawn in it meanwhile.
	unsettled bool
	withdrawn map[string]bool
}

// Apply takes over changes in the order of the store, after which every change up to
// the position is known. It reports whether any data centre's state has changed.
func (r *Record) Apply(changes []Change, asOf store.Position) (changed bool) {
	r.enter(asOf)
	for _, c := range changes {
		changed = r.apply(c) || changed
	}
	r.asOf = max(r.asOf, asOf)
	return changed
}

// enter begins a later era, in which nothing is proved by what is missing. A store that
// counts no eras loses nothing.
func (r *Record) enter(asOf store.Position) {
	if asOf.Era() > r.asOf.Era() {
		r.unsettled, r.withdrawn = true, nil
	}
}

func (r *Record) apply(c Change) (changed bool) {
	at, requested := r.requests[c.DataCentre]
	if c.At <= max(r.asOf, at) {
		return false // a change that is known already, told once more
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

// Replace takes over all requests as they were at a position, as a reading of the
// store or another process shows them. One that is missing there was withdrawn, unless
// it is newer or of an earlier era. It reports whether any data centre's state has
// changed.
func (r *Record) Replace(all []Request, asOf store.Position) (changed bool) {
	r.enter(asOf)
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
		named := slices.ContainsFunc(all, func(q Request) bool { return q.DataCentre == dataCentre })
		if !named && at <= asOf && at.SameEra(asOf) {
			r.withdraw(dataCentre)
			changed = true
		}
	}
	return changed
}

// Inherit keeps from the Record before a reading of the store what that reading does not
// disprove: requests of earlier eras, as long as they may be written again.
func (r *Record) Inherit(before *Record) {
	if before.asOf.SameEra(r.asOf) {
		r.unsettled, r.withdrawn = before.unsettled, maps.Clone(before.withdrawn)
	}
	for dataCentre, at := range before.requests {
		if _, known := r.requests[dataCentre]; !known && r.unsettled && !at.SameEra(r.asOf) {
			r.set(Request{dataCentre, at})
		}
	}
}

// Settle notes that operators have had their time to write again what a return of the
// store lost: requests of earlier eras are over.
func (r *Record) Settle() {
	r.unsettled, r.withdrawn = false, nil
	maps.DeleteFunc(r.requests, func(_ string, at store.Position) bool { return !at.SameEra(r.asOf) })
}

// Word returns what is known of a data centre, nothing where what is missing proves
// nothing.
func (r *Record) Word(dataCentre string) Word {
	at, requested := r.requests[dataCentre]
	switch {
	case requested && !at.SameEra(r.asOf) && r.unsettled:
		return Word{Evacuated: true, AsOf: at}
	case !requested && r.unsettled && !r.withdrawn[dataCentre]:
		return Word{}
	}
	return Word{Evacuated: requested, AsOf: max(r.asOf, at)}
}

// Weigh returns what holds for a data centre, given the word of another process. Within
// an era a request that is missing at a later position was withdrawn.
func (r *Record) Weigh(dataCentre string, heard Word) Word {
	own := r.Word(dataCentre)
	if own.AsOf == 0 && heard.AsOf != 0 && heard.AsOf.SameEra(r.asOf) {
		own.AsOf = r.asOf
	}
	return own.Newer(heard)
}

// Requests returns all requests in the order of the data centres' names.
func (r *Record) Requests() []Request {
	all := make([]Request, 0, len(r.requests))
	for _, dataCentre := range slices.Sorted(maps.Keys(r.requests)) {
		all = append(all, Request{dataCentre, r.requests[dataCentre]})
	}
	return all
}

// Clone returns a copy that does not change with the Record.
func (r *Record) Clone() Record {
	return Record{asOf: r.asOf, requests: maps.Clone(r.requests), unsettled: r.unsettled, withdrawn: maps.Clone(r.withdrawn)}
}
