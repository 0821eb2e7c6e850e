package ticket

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// history records what happened under one nonce and which outcomes were reported.
type history struct {
	runs     int
	admitted bool
	body     Digest // of the admitted request
	answer   string
	finish   bool
	unknown  bool // the run ended without an answer
	denied   map[Digest]bool
}

// recent is the number of latest tickets that most steps of a schedule use.
const recent = 2

// schedule applies random steps to a window. After each step it checks the properties
// that hold whatever the bounds make the window evict.
type schedule struct {
	w         *Window
	bounds    Bounds
	now       time.Time
	histories []*history
	deadlines map[uint64]time.Time
}

// nonce draws a nonce. Most times it is one of the latest tickets, so that steps
// concern the same ticket; otherwise it is any nonce, including one that was never
// issued.
func (s *schedule) nonce(t *rapid.T) uint64 {
	first := 0
	if rapid.IntRange(0, 3).Draw(t, "any") > 0 {
		first = max(0, len(s.histories)-recent)
	}
	return uint64(rapid.IntRange(first, len(s.histories)).Draw(t, "nonce"))
}

func (s *schedule) historyOf(n uint64) *history {
	if n < uint64(len(s.histories)) {
		return s.histories[n]
	}
	return &history{denied: map[Digest]bool{}}
}

func (s *schedule) issue(t *rapid.T) {
	n := s.w.Issue()
	if n != uint64(len(s.histories)) {
		t.Fatalf("nonce %d was issued, want %d", n, len(s.histories))
	}
	s.histories = append(s.histories, &history{denied: map[Digest]bool{}})
}

func (s *schedule) admit(t *rapid.T) { s.admitAt(t, s.nonce(t)) }

func (s *schedule) admitAt(t *rapid.T, n uint64) {
	body := Digest{rapid.Byte().Draw(t, "body") % 2}
	deadline := s.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "left")) * time.Second)
	verdict, result := s.w.Admit(n, body, deadline)
	h := s.historyOf(n)
	switch {
	case verdict == Admitted && n >= uint64(len(s.histories)):
		t.Fatalf("admitted a ticket that was never issued")
	case verdict == Admitted && h.admitted:
		t.Fatalf("%d: admitted twice", n)
	case verdict == Admitted:
		h.admitted = true
		s.deadlines[n] = deadline
		h.body = body
	case verdict == Mismatch && h.body == body:
		t.Fatalf("%d: the request that the ticket is bound to was refused as a mismatch", n)
	case verdict == Joined && h.body != body:
		t.Fatalf("%d: a request with another digest joined", n)
	case verdict == Mismatch || verdict == Settled && result.Outcome == NotRun:
		s.deny(t, n, body)
	case verdict == Settled && result.Outcome == Complete:
		if !h.finish || h.body != body || string(result.Answer.Body) != h.answer {
			t.Fatalf("%d: replayed %q, want the recorded %q", n, result.Answer.Body, h.answer)
		}
	}
}

func (s *schedule) deny(t *rapid.T, n uint64, body Digest) {
	h := s.historyOf(n)
	if h.runs > 0 && h.body == body {
		t.Fatalf("%d: reported as not run, but it ran", n)
	}
	h.denied[body] = true
}

func (s *schedule) start(t *rapid.T) { s.startAt(t, s.nonce(t)) }

func (s *schedule) startAt(t *rapid.T, n uint64) {
	if !s.w.Start(n, s.now) {
		return
	}
	h := s.historyOf(n)
	h.runs++
	switch {
	case h.runs > 1:
		t.Fatalf("%d: ran twice", n)
	case h.denied[h.body]:
		t.Fatalf("%d: ran after it was reported as not run", n)
	case !s.now.Before(s.deadlines[n]):
		t.Fatalf("%d: started after its deadline", n)
	}
}

func (s *schedule) void(t *rapid.T) {
	n := s.nonce(t)
	if s.w.Void(n) {
		s.deny(t, n, Digest{0})
		s.deny(t, n, Digest{1})
	}
}

func (s *schedule) finish(t *rapid.T) { s.finishAt(t, s.nonce(t)) }

func (s *schedule) finishAt(t *rapid.T, n uint64) {
	h := s.historyOf(n)
	if h.runs == 0 || h.finish || h.unknown {
		return
	}
	if rapid.Bool().Draw(t, "lost") {
		s.w.Finish(n, Result{Outcome: Unknown})
		h.unknown = true
		return
	}
	h.finish = true
	h.answer = fmt.Sprintf("%d%0*d", n, rapid.IntRange(0, 12).Draw(t, "size"), 0)
	s.w.Finish(n, Result{Outcome: Complete, Answer: Answer{Status: 200, Body: []byte(h.answer)}})
}

// use takes a ticket from its admission to its end in one step, so that the window
// often reaches its bounds.
func (s *schedule) use(t *rapid.T) {
	n := s.nonce(t)
	s.admitAt(t, n)
	s.startAt(t, n)
	s.finishAt(t, n)
}

// useFresh does the same as use with a new ticket.
func (s *schedule) useFresh(t *rapid.T) {
	s.issue(t)
	n := uint64(len(s.histories) - 1)
	s.admitAt(t, n)
	s.startAt(t, n)
	s.finishAt(t, n)
}

func (s *schedule) check(t *rapid.T) {
	u := s.w.Usage()
	if u.Entries > s.bounds.Entries || u.Bytes > s.bounds.Bytes {
		t.Fatalf("window holds %+v, bounds are %+v", u, s.bounds)
	}
}

func TestWindowUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{
			Entries: rapid.IntRange(1, 4).Draw(t, "entries"),
			Bytes:   rapid.IntRange(0, 30).Draw(t, "bytes"),
			Span:    rapid.IntRange(1, 12).Draw(t, "span"),
		}
		w, err := New(bounds)
		if err != nil {
			t.Fatal(err)
		}
		s := &schedule{w: w, bounds: bounds, now: epoch, deadlines: map[uint64]time.Time{}}
		s.issue(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       s.check,
			"issue":  s.issue,
			"admit":  s.admit,
			"start":  s.start,
			"void":   s.void,
			"finish": s.finish,
			"use":    s.use,
			"fresh":  s.useFresh,
			"wait":   func(*rapid.T) { s.now = s.now.Add(time.Second) },
		})
		s.close(t)
	})
}

// close closes the window and checks its closing against the recorded histories, and
// that no request is admitted or started afterwards.
func (s *schedule) close(t *rapid.T) {
	if _, ok := s.w.Closing(); ok {
		t.Fatalf("an open window returned a closing")
	}
	s.w.Close()
	closing, _ := s.w.Closing()
	for n := range uint64(len(s.histories) + 1) {
		if closing.Outcome(n) == NotRun {
			s.deny(t, n, Digest{0})
			s.deny(t, n, Digest{1})
		}
	}
	for n := range uint64(len(s.histories)) {
		if v, _ := s.w.Admit(n, Digest{}, s.now.Add(time.Hour)); v == Admitted {
			t.Fatalf("%d: admitted after the close", n)
		}
		if s.w.Start(n, s.now) {
			t.Fatalf("%d: started after the close", n)
		}
	}
}

func TestClosingIsUnknownOutsideItsRange(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(t, Bounds{Entries: 4, Bytes: 100, Span: 8})
	for range 10 {
		w.Issue()
	}
	ran := run(g, w, "x")
	w.Close()
	lastIssued := w.Issue()
	c, ok := w.Closing()
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Outcome(0)).To(Equal(Unknown))
	g.Expect(c.Outcome(ran)).To(Equal(Unknown))
	g.Expect(c.Outcome(ran - 1)).To(Equal(NotRun))
	g.Expect(c.Outcome(lastIssued)).To(Equal(NotRun))
	g.Expect(c.Outcome(lastIssued + 1)).To(Equal(Unknown))
}

func newWindow(t *testing.T, b Bounds) *Window {
	t.Helper()
	w, err := New(b)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return w
}

// run takes a new ticket to a recorded answer.
func run(g *WithT, w *Window, answer string) uint64 {
	n := w.Issue()
	verdict, _ := w.Admit(n, Digest{}, epoch.Add(time.Second))
	g.Expect(verdict).To(Equal(Admitted))
	g.Expect(w.Start(n, epoch)).To(BeTrue())
	w.Finish(n, Result{Outcome: Complete, Answer: Answer{Body: []byte(answer)}})
	return n
}

func TestWindowReplaysAnswersWithinItsBounds(t *testing.T) {
	for name, bounds := range map[string]Bounds{
		"entries": {Entries: 2, Bytes: 100, Span: 16},
		"bytes":   {Entries: 9, Bytes: 5, Span: 16},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWindow(t, bounds)
			first, second := run(g, w, "aa"), run(g, w, "bb")
			_, result := w.Admit(first, Digest{}, epoch)
			g.Expect(string(result.Answer.Body)).To(Equal("aa"))
			run(g, w, "cc")
			verdict, result := w.Admit(first, Digest{}, epoch.Add(time.Hour))
			g.Expect(verdict).To(Equal(Settled))
			g.Expect(result.Outcome).To(Equal(Unknown))
			_, result = w.Admit(second, Digest{}, epoch)
			g.Expect(string(result.Answer.Body)).To(Equal("bb"))
		})
	}
}

func TestTicketBelowLowWaterMarkIsUnknown(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(t, Bounds{Entries: 4, Bytes: 100, Span: 4})
	old := w.Issue()
	for range 4 {
		w.Issue()
	}
	verdict, result := w.Admit(old, Digest{}, epoch.Add(time.Hour))
	g.Expect(verdict).To(Equal(Settled))
	g.Expect(result.Outcome).To(Equal(Unknown))
	g.Expect(w.Void(old)).To(BeFalse())
}

func TestUnusedAndVoidedTicketsStayDistinctWithinTheSpan(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(t, Bounds{Entries: 1, Bytes: 100, Span: 64})
	unused, voided := w.Issue(), w.Issue()
	g.Expect(w.Void(voided)).To(BeTrue())
	for range 20 {
		run(g, w, "x")
	}
	_, result := w.Admit(voided, Digest{}, epoch.Add(time.Hour))
	g.Expect(result.Outcome).To(Equal(NotRun))
	verdict, _ := w.Admit(unused, Digest{}, epoch.Add(time.Hour))
	g.Expect(verdict).To(Equal(Admitted))
}

func TestStartedTicketCannotBeVoided(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(t, Bounds{Entries: 4, Bytes: 100, Span: 64})
	n := w.Issue()
	w.Admit(n, Digest{}, epoch.Add(time.Hour))
	g.Expect(w.Start(n, epoch)).To(BeTrue())
	g.Expect(w.Void(n)).To(BeFalse())
	w.Finish(n, Result{Outcome: Complete})
	g.Expect(w.Void(n)).To(BeFalse())
}

func TestAdmitIsRefusedWhenAllEntriesAreInUse(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(t, Bounds{Entries: 1, Bytes: 100, Span: 64})
	first, second := w.Issue(), w.Issue()
	w.Admit(first, Digest{}, epoch.Add(time.Hour))
	_, result := w.Admit(second, Digest{}, epoch.Add(time.Hour))
	g.Expect(result.Outcome).To(Equal(NotRun))
	g.Expect(w.Start(second, epoch)).To(BeFalse())
	g.Expect(w.Start(first, epoch)).To(BeTrue())
}
