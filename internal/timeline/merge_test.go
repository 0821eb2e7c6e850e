package timeline_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/timeline"
)

// process is a random process of a property test.
type process struct {
	name string
	// ahead is the error of the process's clock.
	ahead time.Duration
	// truth holds the true times of its events.
	truth []time.Time
}

var epoch = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func drawProcess(t *rapid.T, i int) process {
	p := process{
		name:  fmt.Sprintf("p%d", i),
		ahead: time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "ahead")),
	}
	at := epoch
	for range rapid.IntRange(0, 20).Draw(t, "events") {
		at = at.Add(time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "gap")))
		p.truth = append(p.truth, at)
	}
	return p
}

// log returns the log that a collector obtains from p if the delays of the request and of
// the reply differ.
func (p process) log(t *rapid.T) timeline.Log {
	delay := rapid.Int64Range(0, int64(20*time.Millisecond))
	requestDelay, replyDelay := time.Duration(delay.Draw(t, "there")), time.Duration(delay.Draw(t, "back"))
	arrived := epoch.Add(time.Minute).Add(requestDelay)
	log := timeline.Log{Offset: timeline.Sample{
		Sent:     epoch.Add(time.Minute),
		Remote:   arrived.Add(p.ahead),
		Received: arrived.Add(replyDelay),
	}.Offset()}
	for seq, at := range p.truth {
		log.Events = append(log.Events, event.Event{Seq: uint64(seq), Time: at.Add(p.ahead), Process: p.name})
	}
	return log
}

func TestMergedTimesAndOrderAreCorrectWithinTheReportedSkew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := make(map[string][]time.Time)
		var logs []timeline.Log
		total := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "processes") {
			p := drawProcess(t, i)
			truth[p.name] = p.truth
			total += len(p.truth)
			logs = append(logs, p.log(t))
		}
		merged := timeline.Merge(logs)
		if len(merged) != total {
			t.Fatalf("%d entries, want %d", len(merged), total)
		}
		next := make(map[string]uint64)
		for i, e := range merged {
			if e.Seq != next[e.Process] {
				t.Fatalf("%s: event %d, want %d", e.Process, e.Seq, next[e.Process])
			}
			next[e.Process]++
			at := truth[e.Process][e.Seq]
			if off := e.At.Sub(at).Abs(); off > e.Skew {
				t.Fatalf("time is off by %v, reported skew is ±%v", off, e.Skew)
			}
			for _, earlier := range merged[:i] {
				sure := earlier.At.Add(earlier.Skew).Before(e.At.Add(-e.Skew))
				if before := truth[earlier.Process][earlier.Seq]; sure && before.After(at) {
					t.Fatal("entries whose times differ by more than their skews are in the wrong order")
				}
			}
			if i > 0 && !e.Unsure && truth[merged[i-1].Process][merged[i-1].Seq].After(at) {
				t.Fatal("entry is in the wrong order and not marked as unsure")
			}
		}
	})
}

func TestMergeKeepsSequenceOrderIfAClockIsSetBack(t *testing.T) {
	log := timeline.Log{Events: []event.Event{
		{Seq: 7, Time: epoch.Add(time.Second), Process: "p"},
		{Seq: 8, Time: epoch, Process: "p"},
		{Seq: 12, Time: epoch.Add(2 * time.Second), Process: "p"},
	}, Expected: 5}
	merged := timeline.Merge([]timeline.Log{log})
	for i, want := range []struct{ seq, lost uint64 }{{7, 2}, {8, 0}, {12, 3}} {
		if merged[i].Seq != want.seq || merged[i].Lost != want.lost {
			t.Fatalf("entry %d: event %d with %d lost, want %+v", i, merged[i].Seq, merged[i].Lost, want)
		}
	}
}

func TestMergerHoldsBackEventsThatALaterRoundMayPrecede(t *testing.T) {
	m := timeline.NewMerger()
	at := func(seq int) event.Event {
		return event.Event{Seq: uint64(seq), Time: epoch.Add(time.Duration(seq) * time.Second), Process: "p"}
	}
	offset := timeline.Offset{Error: 100 * time.Millisecond}
	m.Add("p", timeline.Log{Events: []event.Event{at(0), at(1), at(2)}, Offset: offset})
	if got := m.Release(epoch.Add(1050 * time.Millisecond)); len(got) != 1 || got[0].Seq != 0 {
		t.Fatalf("released %+v, want event 0 alone", got)
	}
	m.Add("p", timeline.Log{Events: []event.Event{at(5)}, Offset: offset, Expected: 3})
	rest := m.Flush()
	if len(rest) != 3 || rest[0].Seq != 1 || rest[0].Lost != 0 || rest[2].Lost != 2 {
		t.Fatalf("flushed %+v, want events 1, 2 and 5 with 2 lost before it", rest)
	}
	m.Add("p", timeline.Log{Events: []event.Event{at(9)}, Offset: offset, Expected: 8})
	if rest = m.Flush(); len(rest) != 1 || rest[0].Lost != 1 {
		t.Fatalf("flushed %+v, want event 9 with 1 lost before it", rest)
	}
}
