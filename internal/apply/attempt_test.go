package apply_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/apply"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
)

// write is a compare-and-swap request.
type write struct {
	record   record.Record
	expected uint64
}

// storeModel models the store as a single key, and records each accepted change.
type storeModel struct {
	stored   *apply.StoredRecord
	accepted map[record.ChangeID]uint64
	// inFlight are delayed writes that the store has not received yet.
	inFlight []write
}

func (s *storeModel) swap(w write) (uint64, error) {
	if s.revision() != w.expected {
		return 0, store.ErrConflict
	}
	if _, duplicate := s.accepted[w.record.ID]; duplicate {
		panic("the store accepted the same change twice")
	}
	s.stored = &apply.StoredRecord{Revision: s.revision() + 2, Record: w.record}
	s.accepted[w.record.ID] = s.stored.Revision
	return s.stored.Revision, nil
}

func (s *storeModel) revision() uint64 {
	if s.stored == nil {
		return store.Create
	}
	return s.stored.Revision
}

func (s *storeModel) next(id record.ChangeID) write {
	d := record.Draft{ID: id, Time: time.Unix(0, 0)}
	if s.stored == nil {
		return write{record: record.First(d)}
	}
	return write{record: s.stored.Record.Next(s.stored.Revision, d), expected: s.stored.Revision}
}

// operator submits one change at a time.
type operator struct {
	id      record.ChangeID
	write   write
	attempt *apply.Attempt
	action  apply.Action
}

// simulation is the state machine of the property test.
type simulation struct {
	store     storeModel
	operators [3]operator
	finished  []operator
	lastID    int
}

func (f *simulation) newID() record.ChangeID {
	f.lastID++
	return record.ChangeID(fmt.Sprint("change-", f.lastID))
}

func (f *simulation) begin(o *operator) {
	o.id = f.newID()
	o.write = f.store.next(o.id)
	o.attempt = apply.NewAttempt(o.id, o.write.expected)
	o.action = apply.Write
}

// step performs the next action of an operator, with a randomly drawn fault.
func (f *simulation) step(t *rapid.T, o *operator) {
	switch {
	case o.attempt == nil:
		f.begin(o)
	case o.action == apply.Write:
		o.action = o.attempt.HandleWrite(f.swap(t, o.write))
	case rapid.Bool().Draw(t, "read fails"):
		o.action = o.attempt.HandleRead(nil, store.ErrUnavailable)
	default:
		o.action = o.attempt.HandleRead(f.store.stored, nil)
	}
	f.collect(o)
}

func (f *simulation) swap(t *rapid.T, w write) (uint64, error) {
	switch rapid.SampledFrom([]string{"answered", "answer lost", "request lost", "delayed", "refused"}).Draw(t, "write") {
	case "answered":
		return f.store.swap(w)
	case "answer lost":
		f.store.swap(w)
	case "delayed":
		f.store.inFlight = append(f.store.inFlight, w)
	case "refused":
		return 0, store.ErrUnavailable
	}
	return 0, store.ErrOutcomeUnknown
}

func (f *simulation) collect(o *operator) {
	if o.action == apply.Done {
		f.finished = append(f.finished, *o)
		*o = operator{}
	}
}

func (f *simulation) abandon(o *operator) {
	if o.attempt == nil {
		return
	}
	o.attempt.Abandon()
	o.action = apply.Done
	f.collect(o)
}

func (f *simulation) arrive(t *rapid.T) {
	if len(f.store.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.store.inFlight)-1).Draw(t, "arrives")
	f.store.swap(f.store.inFlight[i])
	f.store.inFlight = append(f.store.inFlight[:i], f.store.inFlight[i+1:]...)
}

// burst accepts more changes than a record lists.
func (f *simulation) burst() {
	for range record.MaxRecent + 1 {
		f.store.swap(f.store.next(f.newID()))
	}
}

// check compares the operator's verdict with the changes that the store accepted.
func (f *simulation) check(t *rapid.T, o operator) {
	revision, accepted := f.store.accepted[o.id]
	switch o.attempt.Verdict {
	case apply.Accepted:
		if !accepted || revision != o.attempt.Revision {
			t.Fatalf("change %s: verdict accepted at revision %d; store: accepted %v, revision %d", o.id, o.attempt.Revision, accepted, revision)
		}
	case apply.Replaced:
		if !accepted || revision != o.attempt.Revision || o.attempt.Winner.Revision <= revision {
			t.Fatalf("change %s: verdict replaced at revision %d; store: accepted %v, revision %d", o.id, o.attempt.Revision, accepted, revision)
		}
	case apply.Conflict, apply.Unavailable:
		if accepted {
			t.Fatalf("change %s: verdict %s, but the store accepted it as revision %d", o.id, o.attempt.Verdict, revision)
		}
	case apply.Unknown:
	default:
		t.Fatalf("change %s: unexpected verdict %q", o.id, o.attempt.Verdict)
	}
}

// TestVerdictsMatchStoredChanges simulates concurrent operators with lost, delayed and
// refused writes, and checks each verdict after all delayed writes have arrived.
func TestVerdictsMatchStoredChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simulation{store: storeModel{accepted: map[record.ChangeID]uint64{}}}
		pick := func(t *rapid.T) *operator {
			return &f.operators[rapid.IntRange(0, len(f.operators)-1).Draw(t, "operator")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":    func(t *rapid.T) { f.step(t, pick(t)) },
			"step2":   func(t *rapid.T) { f.step(t, pick(t)) },
			"step3":   func(t *rapid.T) { f.step(t, pick(t)) },
			"arrive":  f.arrive,
			"give up": func(t *rapid.T) { f.abandon(pick(t)) },
			"burst":   func(t *rapid.T) { f.burst() },
		})
		for len(f.store.inFlight) > 0 {
			f.arrive(t)
		}
		for _, o := range f.finished {
			f.check(t, o)
		}
	})
}
