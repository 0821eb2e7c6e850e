package confdelta

import "github.com/pkg/errors"

// Bounds of the steps that a log keeps. A peer that is further behind takes the
// whole text.
const (
	maxSteps     = 32
	maxStepBytes = 16 << 10
)

// ErrFrom says that an update starts from another revision.
var ErrFrom = errors.New("confdelta: the update starts from another revision")

// Step leads from one revision to a later one. It is passed on as it came, so
// that only who read the store works it out.
type Step struct {
	From, To uint64
	Delta    []byte
}

// Update leads a process to a revision: by steps from the one that it has, or
// by the whole text, compressed. The zero value says that there is none newer.
type Update struct {
	Revision uint64
	Steps    []Step
	Whole    []byte
}

// Log is the text of the newest known revision with the steps that led to it.
// It is immutable; the zero value knows no revision.
type Log struct {
	revision uint64
	text     []byte
	steps    []Step
}

// Revision returns the newest revision, 0 for none.
func (l Log) Revision() uint64 { return l.revision }

// Text returns the text of the newest revision; it must not be changed.
func (l Log) Text() []byte { return l.text }

// Advance returns the log with a later text, which was read from the store.
func (l Log) Advance(revision uint64, text []byte) (Log, error) {
	if l.revision == 0 {
		return Log{revision: revision, text: text}, nil
	}
	delta, err := Encode(l.text, text)
	if err != nil {
		return Log{}, err
	}
	return l.with(Step{From: l.revision, To: revision, Delta: delta}, text), nil
}

// with returns the log after a step. Older steps are dropped at the bounds,
// and all at a step that is too large itself.
func (l Log) with(s Step, text []byte) Log {
	steps := append(append([]Step{}, l.steps...), s)
	bytes := 0
	for _, kept := range steps {
		bytes += len(kept.Delta)
	}
	for len(steps) > 0 && (len(steps) > maxSteps || bytes > maxStepBytes) {
		bytes -= len(steps[0].Delta)
		steps = steps[1:]
	}
	return Log{revision: s.To, text: text, steps: steps}
}

// Since returns what leads a process that has a revision to the newest one.
func (l Log) Since(have uint64) (Update, error) {
	if have >= l.revision {
		return Update{}, nil
	}
	for i, s := range l.steps {
		if s.From == have {
			return Update{Revision: l.revision, Steps: l.steps[i:]}, nil
		}
	}
	whole, err := Encode(nil, l.text)
	return Update{Revision: l.revision, Whole: whole}, err
}

// Follow returns the log after an update. Where it fails, ask for the whole.
// A text may have at most limit bytes.
func (l Log) Follow(u Update, limit int) (Log, error) {
	if u.Whole != nil {
		text, err := Decode(nil, u.Whole, limit)
		return Log{revision: u.Revision, text: text}, err
	}
	for _, s := range u.Steps {
		if s.From != l.revision || s.To <= s.From {
			return Log{}, ErrFrom
		}
		text, err := Decode(l.text, s.Delta, limit)
		if err != nil {
			return Log{}, err
		}
		l = l.with(s, text)
	}
	if l.revision != u.Revision {
		return Log{}, ErrFrom
	}
	return l, nil
}
