// Package apply submits a configuration file to the store. It writes by compare-and-swap
// against the revision that the file is based on, and determines the outcome of a write
// whose response was lost. Attempt makes the decisions without any input or output; Run
// performs the store calls.
package apply

import (
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
)

// Verdict is the outcome of a submitted change.
type Verdict string

// Verdicts on a submitted change.
const (
	// Accepted means that the store holds the change.
	Accepted Verdict = "accepted"
	// Replaced means that the change was accepted and has since been replaced by another.
	Replaced Verdict = "replaced"
	// Unchanged means that the store already held the same file; nothing was written.
	Unchanged Verdict = "unchanged"
	// Refused means that the file has findings; nothing was written.
	Refused Verdict = "refused"
	// Conflict means that another change was accepted first; the submitted change was not
	// written and will not be.
	Conflict Verdict = "conflict"
	// Unknown means that the change may have been written or may still be written.
	Unknown Verdict = "unknown"
	// Unavailable means that the store could not be reached; nothing was written.
	Unavailable Verdict = "unavailable"
)

// Action is the next step of an attempt.
type Action int

// Actions of an attempt.
const (
	// Write means to write the same value against the same base revision.
	Write Action = iota
	// Read means to read the configuration's key.
	Read
	// Done means that the verdict is final.
	Done
)

// StoredRecord is the configuration record that a read of the store returned.
type StoredRecord struct {
	Revision uint64
	Record   record.Record
}

// Attempt tracks one change from its first write to its verdict. A write without a response
// may still be on its way to the store, so reading the base revision doesn't prove that the
// write has failed. Writing the same value again determines the outcome: either the second
// write succeeds, and the first one will then conflict with it, or the second one conflicts
// with a newer revision, and the record of that revision lists the changes before it.
type Attempt struct {
	id   record.ChangeID
	base uint64
	// responseLost is set when a write got no response.
	responseLost bool
	// conflicted is set when a write failed because the key had another revision.
	conflicted bool
	// Verdict, Revision and Winner are set once the action is Done. Revision is the
	// revision of the change; Winner is the record that the store holds instead of the
	// change, if known.
	Verdict  Verdict
	Revision uint64
	Winner   *StoredRecord
}

// NewAttempt returns an attempt to write the change on top of the base revision. Its first
// action is Write.
func NewAttempt(id record.ChangeID, base uint64) *Attempt {
	return &Attempt{id: id, base: base}
}

// HandleWrite processes the result of a write and returns the next action.
func (a *Attempt) HandleWrite(revision uint64, err error) Action {
	switch {
	case err == nil:
		return a.finish(Accepted, revision, nil)
	case errors.Is(err, store.ErrConflict):
		a.conflicted = true
		return Read
	case errors.Is(err, store.ErrOutcomeUnknown):
		a.responseLost = true
		return Read
	case a.responseLost:
		return Read
	}
	return a.finish(Unavailable, 0, nil)
}

// HandleRead processes the result of a read and returns the next action. stored is nil if the
// key doesn't exist.
func (a *Attempt) HandleRead(stored *StoredRecord, err error) Action {
	if err != nil {
		return Read
	}
	if stored == nil {
		return a.handleMissingKey()
	}
	if revision, found := stored.Record.Find(a.id, stored.Revision); found {
		return a.handleFound(revision, stored)
	}
	if stored.Revision == a.base {
		return Write
	}
	if a.responseLost && !stored.Record.Covers(a.base) {
		return a.finish(Unknown, 0, stored)
	}
	return a.finish(Conflict, 0, stored)
}

// handleMissingKey processes a read that found no key: either there has been no change yet,
// or the key was deleted together with its list of changes.
func (a *Attempt) handleMissingKey() Action {
	if a.base == store.Create {
		return Write
	}
	if a.responseLost {
		return a.finish(Unknown, 0, nil)
	}
	return a.finish(Conflict, 0, nil)
}

func (a *Attempt) handleFound(revision uint64, stored *StoredRecord) Action {
	if revision == stored.Revision {
		return a.finish(Accepted, revision, nil)
	}
	return a.finish(Replaced, revision, stored)
}

// Abandon ends the attempt without further calls, for instance after a time-out, and sets
// the verdict from the results so far.
func (a *Attempt) Abandon() {
	switch {
	case a.responseLost:
		a.finish(Unknown, 0, nil)
	case a.conflicted:
		a.finish(Conflict, 0, nil)
	default:
		a.finish(Unavailable, 0, nil)
	}
}

func (a *Attempt) finish(v Verdict, revision uint64, winner *StoredRecord) Action {
	a.Verdict, a.Revision, a.Winner = v, revision, winner
	return Done
}
