// Package evacuation keeps what a process knows of data centres that operators have
// asked to empty: no new flow may reach an upstream there until they take it back.
// It is pure.
//
// Requests and their withdrawals are changes of the platform's store, so the store's
// revisions order them. A process hears of them late, twice, out of order and from
// others that know less; a Record never goes back to what it knew to be over, whatever
// order the news comes in.
package evacuation

import (
	"maps"
	"slices"
)

// Word is what a process knows of one data centre.
type Word struct {
	// Evacuated tells that no new flow may go there.
	Evacuated bool
	// AsOf is the store's revision up to which every change is known, 0 for none.
	AsOf uint64
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
	// Revision is the store's revision of the request.
	Revision uint64 `json:"revision"`
}

// Change is a request, or its withdrawal.
type Change struct {
	Request
	Withdrawn bool
}

// Record is a process's copy of all requests. The zero value knows nothing.
type Record struct {
	// asOf is the revision up to which every change is known; requests may hold later
	// ones, too.
	asOf uint64
	// requests holds the revision of the request for each data centre that is to be
	// empty.
	requests map[string]uint64
}

// Apply takes over changes in the order of the store, after which every change up to
// the revision is known. It reports whether any data centre's state has changed.
func (r *Record) Apply(changes []Change, asOf uint64) (changed bool) {
	for _, c := range changes {
		changed = r.apply(c) || changed
	}
	r.asOf = max(r.asOf, asOf)
	return changed
}

func (r *Record) apply(c Change) (changed bool) {
	at, requested := r.requests[c.DataCentre]
	if c.Revision <= max(r.asOf, at) {
		return false // a change that is known already, told once more
	}
	if c.Withdrawn {
		delete(r.requests, c.DataCentre)
		return requested
	}
	r.set(c.Request)
	return !requested
}

func (r *Record) set(q Request) {
	if r.requests == nil {
		r.requests = make(map[string]uint64)
	}
	r.requests[q.DataCentre] = q.Revision
}

// Replace takes over all requests as they were at a revision, as a reading of the
// store or another process shows them. One that is missing there was withdrawn, unless
// it is newer. It reports whether any data centre's state has changed.
func (r *Record) Replace(all []Request, asOf uint64) (changed bool) {
	if asOf > r.asOf {
		changed = r.withdrawMissing(all, asOf)
	}
	for _, q := range all {
		changed = r.apply(Change{Request: q}) || changed
	}
	r.asOf = max(r.asOf, asOf)
	return changed
}

func (r *Record) withdrawMissing(all []Request, asOf uint64) (changed bool) {
	for dataCentre, revision := range r.requests {
		named := slices.ContainsFunc(all, func(q Request) bool { return q.DataCentre == dataCentre })
		if !named && revision <= asOf {
			delete(r.requests, dataCentre)
			changed = true
		}
	}
	return changed
}

// Word returns what is known of a data centre.
func (r *Record) Word(dataCentre string) Word {
	at, requested := r.requests[dataCentre]
	return Word{Evacuated: requested, AsOf: max(r.asOf, at)}
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
	return Record{asOf: r.asOf, requests: maps.Clone(r.requests)}
}
