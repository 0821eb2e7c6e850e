package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/admission"
)

const ms = time.Millisecond

// since returns a request that was made the given time ago, with a target latency of 150 ms
// and a timeout of 2.5 s.
func since(age time.Duration, priority uint8) admission.Request {
	return admission.Request{Priority: priority, Arrived: now - age, Asked: now - age, EarliestAttempt: now - age, TargetLatency: 150 * ms, Timeout: 2500 * ms}
}

const now = 100 * time.Second

var pace = admission.Pace{Slots: 4, Answer: 30 * ms}

func TestNextChoosesByDeadlineAndPriority(t *testing.T) {
	possibleRetry := since(850*ms, 2)
	possibleRetry.EarliestAttempt -= 1500 * ms
	shortTimeout := since(350*ms, 2)
	shortTimeout.Timeout = 2 * time.Second
	shortTimeout.EarliestAttempt -= 1500 * ms
	noTimeout := since(10*time.Second, 2)
	noTimeout.Timeout = 0
	cases := []struct {
		name    string
		waiting map[string]admission.Request
		want    string
	}{
		{"the more urgent route runs first", map[string]admission.Request{"urgent": since(10*ms, 1), "other": since(50*ms, 2)}, "urgent"},
		{"a request that can meet its target latency runs before a late one", map[string]admission.Request{"late": since(500*ms, 2), "in time": since(10*ms, 2)}, "in time"},
		{"a late request runs first once it might miss its deadline", map[string]admission.Request{"late": since(2320*ms, 2), "in time": since(10*ms, 2)}, "late"},
		{"the earlier deadline of two late requests runs first", map[string]admission.Request{"late": since(2330*ms, 2), "later": since(2320*ms, 2)}, "late"},
		{"a request whose caller gives up before the answer runs last", map[string]admission.Request{"hopeless": since(2490*ms, 2), "late": since(500*ms, 2)}, "late"},
		{"a possible retry runs at the deadline of its first attempt", map[string]admission.Request{"suspected": possibleRetry, "in time": since(10*ms, 2)}, "suspected"},
		{"a possible retry with little time left counts as a first try", map[string]admission.Request{"hasty": shortTimeout, "in time": since(10*ms, 2)}, "in time"},
		{"a pressing request runs before an urgent one in time", map[string]admission.Request{"late": since(2320*ms, 2), "urgent": since(10*ms, 1)}, "late"},
		{"the more urgent of two pressing requests runs first", map[string]admission.Request{"late": since(2330*ms, 2), "urgent": since(2320*ms, 1)}, "urgent"},
		{"a pressing request runs before an urgent one that is late", map[string]admission.Request{"late": since(2320*ms, 2), "urgent": since(500*ms, 1)}, "late"},
		{"a request without a timeout is never pressing", map[string]admission.Request{"endless": noTimeout, "in time": since(10*ms, 2)}, "in time"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var q admission.Queue[string]
			for name, r := range c.waiting {
				q.Add(r, name)
			}
			got, why := q.Next(now, pace)
			g.Expect(why).NotTo(Equal(admission.None))
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// The more late requests wait, the earlier they become pressing, because the last of them
// has to wait for all others.
func TestManyLateRequestsArePressingEarlier(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[int]
	q.Add(since(10*ms, 2), -1)
	for n := range 80 { // 80 of 30 ms take 0.6 s in four slots, 0.8 s in three quarters of them
		q.Add(since(1600*ms, 2), n)
	}
	got, why := q.Next(now, pace)
	g.Expect(got).To(Equal(0))
	g.Expect(why).To(Equal(admission.Pressing))
	for n := 40; n < 80; n++ {
		g.Expect(q.Remove(n)).To(BeTrue())
	}
	got, why = q.Next(now, pace)
	g.Expect(got).To(Equal(-1))
	g.Expect(why).To(Equal(admission.InTime))
}

func TestEmptyQueueReturnsNoRequest(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	_, why := q.Next(now, pace)
	g.Expect(why).To(Equal(admission.None))
	_, why = q.Overdue(now)
	g.Expect(why).To(Equal(admission.None))
	g.Expect(q.Remove("none")).To(BeFalse())
}

func TestRequestIsOverdueAfterItsTimeout(t *testing.T) {
	g := NewWithT(t)
	var q admission.Queue[string]
	q.Add(since(2400*ms, 2), "kept")
	_, why := q.Overdue(now)
	g.Expect(why).To(Equal(admission.None))
	unknown := since(admission.MaxHold, 2)
	unknown.Timeout = 0
	q.Add(unknown, "overdue")
	got, why := q.Overdue(now)
	g.Expect(why).To(Equal(admission.Overdue))
	g.Expect(got).To(Equal("overdue"))
}

// BenchmarkCapacityPacketOrder measures the choice of the next request among waiting ones,
// most of them past their target latency as in a burst. The choice is made once for each
// request.
func BenchmarkCapacityPacketOrder(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", size), func(b *testing.B) {
			var q admission.Queue[int]
			for n := range size {
				q.Add(since(time.Duration(n%2000)*ms, 1+uint8(n%2)), n)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Next(now, pace)
			}
		})
	}
}
