package apply

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
)

// Request is a configuration change that an operator submits.
type Request struct {
	// File is the file name to show in findings.
	File     string
	Text     []byte
	Operator string
	// Base is the revision that the file is based on. If it is nil, the store's current
	// revision is used.
	Base *uint64
	// DryRun validates and compares the file without writing it.
	DryRun bool
}

// Env holds the dependencies of Run.
type Env struct {
	Store store.Store
	Now   func() time.Time
	NewID func() record.ChangeID
	// Pause waits before the nth retry, counted from 1. If it returns an error, the run ends.
	Pause func(ctx context.Context, n int) error
	// Progress is called with short messages to show to the operator.
	Progress func(note string)
}

// Result is the outcome of a request.
type Result struct {
	Verdict Verdict
	// Base is the revision that the change was based on.
	Base uint64
	// Revision is the revision of the change in the store.
	Revision uint64
	// Winner is the record that the store holds instead of the change, if known.
	Winner   *StoredRecord
	Findings config.Findings
	Diff     []config.Difference
	// Err is the last error of a store call, such as the reason for the verdict Unavailable.
	Err error
}

// ErrUnreadable means that the store's value is not a valid configuration record.
var ErrUnreadable = errors.New("the value in the store is not a valid configuration record")

// Run validates the file against the configuration in the store and writes it. It returns an
// error only for failures that allow no verdict: an unreadable record in the store, or a
// record that can't be encoded.
func Run(ctx context.Context, req Request, env Env) (Result, error) {
	parsed, findings := config.Parse(req.Text, 0)
	if len(findings) > 0 {
		return Result{Verdict: Refused, Findings: findings.WithFile(req.File)}, nil
	}
	stored, err := Current(ctx, env.Store)
	if errors.Is(err, ErrUnreadable) {
		return Result{}, err
	}
	if err != nil {
		return Result{Verdict: Unavailable, Err: err}, nil
	}
	res, ready := prepare(req, stored, env.Now())
	if !ready || req.DryRun {
		return res, nil
	}
	draft := record.Draft{ID: env.NewID(), Operator: req.Operator, Time: env.Now(), Text: req.Text, Config: parsed}
	value, err := nextRecord(stored, draft).Encode()
	if err != nil {
		return Result{}, err
	}
	return write(ctx, env, NewAttempt(draft.ID, res.Base), value, res), nil
}

// nextRecord returns the record of the draft as the successor of the stored record, if any.
func nextRecord(stored *StoredRecord, d record.Draft) record.Record {
	if stored == nil {
		return record.First(d)
	}
	return stored.Record.Next(stored.Revision, d)
}

// Current reads the configuration record from the store. It returns nil if there is none.
func Current(ctx context.Context, s store.Store) (*StoredRecord, error) {
	entry, err := s.Get(ctx, record.Key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	rec, err := record.Decode(entry.Value)
	if err != nil {
		return nil, errors.Wrap(ErrUnreadable, err.Error())
	}
	return &StoredRecord{Revision: entry.Revision, Record: rec}, nil
}

// prepare compares the file with the stored record. ready is false if the verdict is already
// known without a write.
func prepare(req Request, stored *StoredRecord, now time.Time) (res Result, ready bool) {
	var current *config.Config
	var heldFaces []config.HeldFace
	if stored != nil {
		res.Base, current = stored.Revision, stored.Record.Config
		heldFaces = stored.Record.HeldFaces(now)
	}
	if req.Base != nil && *req.Base != res.Base {
		return Result{Verdict: Conflict, Base: *req.Base, Winner: stored}, false
	}
	next, findings := config.ParseNext(req.Text, 0, current, heldFaces...)
	if len(findings) > 0 {
		res.Verdict, res.Findings = Refused, findings.WithFile(req.File)
		return res, false
	}
	res.Diff = config.Diff(current, next)
	if stored != nil && stored.Record.Text == string(req.Text) {
		res.Verdict, res.Revision = Unchanged, stored.Revision
		return res, false
	}
	return res, true
}

// write performs the attempt's actions until it has a verdict or Pause returns an error.
func write(ctx context.Context, env Env, a *Attempt, value []byte, res Result) Result {
	action := Write
	for n := 0; action != Done; n++ {
		if n > 0 && env.Pause(ctx, n) != nil {
			a.Abandon()
			break
		}
		var err error
		action, err = step(ctx, env, a, action, value)
		if err != nil {
			res.Err = err
			env.Progress(err.Error())
		}
	}
	res.Verdict, res.Revision, res.Winner = a.Verdict, a.Revision, a.Winner
	return res
}

// step performs one action and returns the next one.
func step(ctx context.Context, env Env, a *Attempt, action Action, value []byte) (Action, error) {
	if action == Write {
		entry, err := env.Store.Swap(ctx, record.Key, value, a.base, 0)
		if errors.Is(err, store.ErrConflict) {
			return a.HandleWrite(0, err), nil
		}
		return a.HandleWrite(entry.Revision, err), err
	}
	stored, err := Current(ctx, env.Store)
	return a.HandleRead(stored, err), err
}
