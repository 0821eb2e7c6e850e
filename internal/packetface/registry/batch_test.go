package registry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/platform"
)

// simulateWrites simulates writes that arrive at the given times, in steps of a
// millisecond, with a store that answers after 4 ms. It returns the number of calls and
// the longest wait of a write.
func simulateWrites(arrivals map[time.Duration]int) (calls int, longest time.Duration) {
	const answer = 4 * time.Millisecond
	var b batch[time.Duration]
	var until time.Duration
	key := 0
	for now := time.Millisecond; now < 10*time.Second; now += time.Millisecond {
		for range arrivals[now] {
			key++
			b.add(pending[time.Duration]{platform.Write{Key: fmt.Sprint(key)}, now})
		}
		if b.busy && now >= until {
			b.done()
		}
		if wait, ok := b.due(now); ok && wait == 0 {
			for _, p := range b.take(now) {
				longest = max(longest, now-p.waiter)
			}
			calls, until = calls+1, now+answer
		}
	}
	return calls, longest
}

func TestSingleWriteIsSentImmediately(t *testing.T) {
	g := NewWithT(t)
	calls, longest := simulateWrites(map[time.Duration]int{time.Second: 1, 2 * time.Second: 1, 3 * time.Second: 1})
	g.Expect(calls).To(Equal(3))
	g.Expect(longest).To(BeZero())
}

// At the first start, 226 agents of 678 write through one of three seeds within the 3 s
// between the heartbeats of their upstreams. Twice as many agents may add only one call for
// each platform.MaxWrites writes.
func TestWritesOfFirstStartAreBatched(t *testing.T) {
	for _, agents := range []int{226, 452} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			g := NewWithT(t)
			arrivals := map[time.Duration]int{}
			for n := range agents {
				arrivals[(1000+time.Duration(n*3000/agents))*time.Millisecond]++
			}
			calls, longest := simulateWrites(arrivals)
			g.Expect(calls).To(BeNumerically("<=", 3000/200+1+agents/platform.MaxWrites))
			g.Expect(longest).To(BeNumerically("<=", 2*batchInterval))
		})
	}
}

// A third of a fleet's entries are lost, and all are written again at the same time.
func TestLostEntriesAreRewrittenWithinTwoSeconds(t *testing.T) {
	for _, agents := range []int{240, 480} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			g := NewWithT(t)
			calls, longest := simulateWrites(map[time.Duration]int{time.Second: agents / 3})
			g.Expect(calls).To(BeNumerically("<=", agents/3/platform.MaxWrites+1))
			g.Expect(longest).To(BeNumerically("<", 2*time.Second))
		})
	}
}

func TestWritesOfSameKeyAreSentInSeparateCalls(t *testing.T) {
	g := NewWithT(t)
	var b batch[int]
	b.add(pending[int]{platform.Write{Key: "a"}, 1})
	b.add(pending[int]{platform.Write{Key: "a"}, 2})
	b.add(pending[int]{platform.Write{Key: "b"}, 3})
	g.Expect(b.take(time.Second)).To(HaveLen(2))
	_, ok := b.due(time.Second)
	g.Expect(ok).To(BeFalse(), "no call is due while another one is running")
	b.done()
	g.Expect(b.take(2 * time.Second)).To(Equal([]pending[int]{{platform.Write{Key: "a"}, 2}}))
}
