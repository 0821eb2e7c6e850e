package confdelta

import "github.com/pkg/errors"

// Limits on the number and the total size of the steps that a log keeps. A process with
// an older revision than the first step starts from gets the full text.
const (
	maxSteps     = 32
	maxStepBytes = 16 << 10
)

// ErrRevision means that an update doesn't start at the log's revision, or doesn't lead to the
// revision that it states.
var ErrRevision = errors.New("confdelta: the update does not match the revision")

// Step is the delta from one revision to a later one. Processes forward a step unchanged, so
// that only the process that read the change from the store has to compute it.
type Step struct {
	From, To uint64
	Delta    []byte
}

// Update brings a process to a revision, either by steps from the revision that it has or by
// the full text, compressed. The zero value means that there is no newer revision.
type Update struct {
	Revision uint64
	Steps    []Step
	Whole    []byte
}

// Log holds the text of the newest known revision and the most recent steps up to it. It is
// immutable. The zero value has no revision.
type Log struct {
	revision uint64
	text     []byte
	steps    []Step
}

// Revision returns the newest revision, or 0 if there is none.
func (l Log) Revision() uint64 { return l.revision }

// Text returns the text of the newest revision. The text must not be modified.
func (l Log) Text() []byte { return l.text }

// Advance returns the log extended by a newer revision that was read from the store.
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

// with returns the log extended by the step s, which leads to text. The oldest steps are dropped until the
// limits hold; a step that exceeds the size limit by itself is dropped with all others.
func (l Log) with(s Step, text []byte) Log {
	steps := append(append([]Step{}, l.steps...), s)
	size := 0
	for _, step := range steps {
		size += len(step.Delta)
	}
	for len(steps) > 0 && (len(steps) > maxSteps || size > maxStepBytes) {
		size -= len(steps[0].Delta)
		steps = steps[1:]
	}
	return Log{revision: s.To, text: text, steps: steps}
}

// Since returns the update from the revision that a process has to the newest one: by steps if
// the log still has all of them, otherwise the full text.
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

// Apply returns the log after applying an update. If that fails, the full text should be
// requested. A text may have at most limit bytes.
func (l Log) Apply(u Update, limit int) (Log, error) {
	if u.Whole != nil {
		text, err := Decode(nil, u.Whole, limit)
		return Log{revision: u.Revision, text: text}, err
	}
	for _, s := range u.Steps {
		if s.From != l.revision || s.To <= s.From {
			return Log{}, ErrRevision
		}
		text, err := Decode(l.text, s.Delta, limit)
		if err != nil {
			return Log{}, err
		}
		l = l.with(s, text)
	}
	if l.revision != u.Revision {
		return Log{}, ErrRevision
	}
	return l, nil
}
