package event_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/event"
)

func TestSinceReturnsTheNewestEventsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		added := rapid.Uint64Range(0, 30).Draw(t, "added")
		since := rapid.Uint64Range(0, 40).Draw(t, "since")
		ring := event.NewRing(size, time.Now)
		for range added {
			ring.Add("part", "kind", "")
		}
		first := max(since, added-min(added, uint64(size)))
		got := ring.Since(since)
		if want := added - min(added, first); uint64(len(got)) != want {
			t.Fatalf("%d events, want %d", len(got), want)
		}
		for i, e := range got {
			if e.Seq != first+uint64(i) {
				t.Fatalf("event %d at index %d, want %d", e.Seq, i, first+uint64(i))
			}
		}
	})
}
