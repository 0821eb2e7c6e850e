package apply

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
)

// Request is what an operator submits.
type Request struct {
	// File names the source in findings.
	File     string
	Text     []byte
	Operator string
	// Base is the revision on which the file was based; nil takes the one that
	// the store holds.
	Base *uint64
	// DryRun stops before the write.
	DryRun bool
}

// Env is what a run needs of its surroundings.
type Env struct {
	Store store.Store
	Now   func() time.Time
	NewID func() record.ChangeID
	// Pause waits before the nth retry, from 1; its error ends the run.
	Pause func(ctx context.Context, n int) error
	// Progress takes short notes for the operator.
	Progress func(note string)
}

// Result is what became of a request.
type Result struct {
	Verdict Verdict
	// Base is the revision that the change was written over.
	Base uint64
	// Revision is the revision that the change got.
	Revision uint64
	// Winner is what the store holds instead of the change, where known.
	Winner   *Held
	Findings config.Findings
	Diff     []config.Difference
	// Err is the store's error where the verdict is Unavailable.
	Err error
}

// ErrUnreadable says that the store's value is no configuration record.
var ErrUnreadable = errors.New("the store's value can't be read")

// Run validates the file against the configuration in the store and writes it.
// The error tells of faults that leave no verdict.
func Run(ctx context.Context, req Request, env Env) (Result, error) {
	parsed, findings := config.Parse(req.Text, 0)
	if len(findings) > 0 {
		return Result{Verdict: Refused, Findings: findings.In(req.File)}, nil
	}
	held, err := Current(ctx, env.Store)
	if errors.Is(err, ErrUnreadable) {
		return Result{}, err
	}
	if err != nil {
		return Result{Verdict: Unavailable, Err: err}, nil
	}
	res, ready := prepare(req, held, env.Now())
	if !ready || req.DryRun {
		return res, nil
	}
	draft := record.Draft{ID: env.NewID(), Operator: req.Operator, Time: env.Now(), Text: req.Text, Config: parsed}
	value, err := follow(held, draft).Encode()
	if err != nil {
		return Result{}, err
	}
	return write(ctx, env, NewAttempt(draft.ID, res.Base), value, res), nil
}

// follow returns the record of the change after what the store holds.
func follow(held *Held, d record.Draft) record.Record {
	if held == nil {
		return record.First(d)
	}
	return held.Record.Next(held.Revision, d)
}

// Current reads the configuration in the store, nil where there is none.
func Current(ctx context.Context, s store.Store) (*Held, error) {
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
	return &Held{Revision: entry.Revision, Record: rec}, nil
}

// prepare compares the file with what the store holds. ready is false where
// the verdict is already known.
func prepare(req Request, held *Held, now time.Time) (res Result, ready bool) {
	var current *config.Config
	var former []config.Former
	if held != nil {
		res.Base, current = held.Revision, held.Record.Config
		former = held.Record.Resting(now)
	}
	if req.Base != nil && *req.Base != res.Base {
		return Result{Verdict: Conflict, Base: *req.Base, Winner: held}, false
	}
	next, findings := config.ParseNext(req.Text, 0, current, former...)
	if len(findings) > 0 {
		res.Verdict, res.Findings = Refused, findings.In(req.File)
		return res, false
	}
	res.Diff = config.Diff(current, next)
	if held != nil && held.Record.Text == string(req.Text) {
		res.Verdict, res.Revision = Unchanged, held.Revision
		return res, false
	}
	return res, true
}

// write drives the attempt to its verdict or to the end of ctx.
func write(ctx context.Context, env Env, a *Attempt, value []byte, res Result) Result {
	action := Write
	for n := 0; action != Done; n++ {
		if n > 0 && env.Pause(ctx, n) != nil {
			a.GiveUp()
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

// step performs one action and returns the next.
func step(ctx context.Context, env Env, a *Attempt, action Action, value []byte) (Action, error) {
	if action == Write {
		entry, err := env.Store.Swap(ctx, record.Key, value, a.base, 0)
		if errors.Is(err, store.ErrConflict) {
			return a.Wrote(0, err), nil
		}
		return a.Wrote(entry.Revision, err), err
	}
	held, err := Current(ctx, env.Store)
	return a.ReadBack(held, err), err
}
