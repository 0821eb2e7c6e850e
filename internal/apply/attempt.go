// Package apply submits a configuration file: it writes by compare-and-swap
// against the revision that the file was based on, and finds out what became
// of a write whose answer was lost. The decisions stand in Attempt, which is
// pure; Run performs them.
package apply

import (
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
)

// Verdict is what became of a change.
type Verdict string

// Verdicts.
const (
	// Accepted: the store holds the change.
	Accepted Verdict = "accepted"
	// Replaced: the change was accepted, and another has replaced it since.
	Replaced Verdict = "replaced"
	// Unchanged: the store held the same file already; nothing was written.
	Unchanged Verdict = "unchanged"
	// Refused: the file has findings; nothing was written.
	Refused Verdict = "refused"
	// Conflict: another change won; this one was not and will not be written.
	Conflict Verdict = "conflict"
	// Unknown: the change may have been or may yet be written.
	Unknown Verdict = "unknown"
	// Unavailable: the store was not reached; nothing was written.
	Unavailable Verdict = "unavailable"
)

// Action is what to do next.
type Action int

// Actions.
const (
	// Write the same value against the same base.
	Write Action = iota
	// Read the key back.
	Read
	// Done: the verdict stands.
	Done
)

// Held is what the store held at a read.
type Held struct {
	Revision uint64
	Record   record.Record
}

// Attempt follows one change from its first write to its verdict. A write with
// no answer may still be on its way to the store, so that reading the old
// revision back proves nothing; writing the same value again does: it either
// takes effect itself, which shuts the earlier one out, or meets a newer
// revision, whose record tells.
type Attempt struct {
	id   record.ChangeID
	base uint64
	// lost tells that a write had no answer.
	lost bool
	// beaten tells that a write met another revision.
	beaten bool
	// Verdict, Revision and Winner are set once the action is Done. Revision
	// is the change's own; Winner is what the store held where that is not it.
	Verdict  Verdict
	Revision uint64
	Winner   *Held
}

// NewAttempt returns the attempt to write the change over the base revision.
// The first action is Write.
func NewAttempt(id record.ChangeID, base uint64) *Attempt {
	return &Attempt{id: id, base: base}
}

// Wrote takes the answer to a write.
func (a *Attempt) Wrote(revision uint64, err error) Action {
	switch {
	case err == nil:
		return a.done(Accepted, revision, nil)
	case errors.Is(err, store.ErrConflict):
		a.beaten = true
		return Read
	case errors.Is(err, store.ErrOutcomeUnknown):
		a.lost = true
		return Read
	case a.lost:
		return Read
	}
	return a.done(Unavailable, 0, nil)
}

// ReadBack takes the answer to a read; held is nil where the key is missing.
func (a *Attempt) ReadBack(held *Held, err error) Action {
	if err != nil {
		return Read
	}
	if held == nil {
		return a.missing()
	}
	if revision, found := held.Record.Find(a.id, held.Revision); found {
		return a.found(revision, held)
	}
	if held.Revision == a.base {
		return Write
	}
	if a.lost && !held.Record.Covers(a.base) {
		return a.done(Unknown, 0, held)
	}
	return a.done(Conflict, 0, held)
}

// missing decides where the key does not exist: before the first change, or
// after someone removed it together with its record of changes.
func (a *Attempt) missing() Action {
	if a.base == store.Create {
		return Write
	}
	if a.lost {
		return a.done(Unknown, 0, nil)
	}
	return a.done(Conflict, 0, nil)
}

func (a *Attempt) found(revision uint64, held *Held) Action {
	if revision == held.Revision {
		return a.done(Accepted, revision, nil)
	}
	return a.done(Replaced, revision, held)
}

// GiveUp ends the attempt when time is up.
func (a *Attempt) GiveUp() {
	switch {
	case a.lost:
		a.done(Unknown, 0, nil)
	case a.beaten:
		a.done(Conflict, 0, nil)
	default:
		a.done(Unavailable, 0, nil)
	}
}

func (a *Attempt) done(v Verdict, revision uint64, winner *Held) Action {
	a.Verdict, a.Revision, a.Winner = v, revision, winner
	return Done
}
