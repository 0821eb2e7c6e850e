package dispatch_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/dispatch"
)

var start = time.Unix(1_700_000_000, 0)

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

func scheduler(l dispatch.Limits) *dispatch.Scheduler {
	return dispatch.New(l, 1, rand.New(rand.NewPCG(1, 2)), dispatch.Options{})
}

func request(id dispatch.ID, priority int, deadline time.Duration) dispatch.Request {
	return dispatch.Request{ID: id, Priority: priority, Arrived: start, Deadline: start.Add(deadline), Movable: true}
}

// refusal returns the refusal among the actions.
func refusal(t testing.TB, actions []dispatch.Action) dispatch.Refuse {
	t.Helper()
	for _, a := range actions {
		if r, ok := a.(dispatch.Refuse); ok {
			return r
		}
	}
	t.Fatalf("no refusal in %+v", actions)
	return dispatch.Refuse{}
}

func TestRequestExpectedToMissDeadlineIsRefusedOnArrival(t *testing.T) {
	s := scheduler(dispatch.Limits{Slots: 1, Queue: 100})
	s.Arrive(start, request(1, 0, time.Minute))
	for id := range dispatch.ID(50) {
		s.Arrive(start, request(id+2, 0, time.Minute))
	}
	r := refusal(t, s.Arrive(start, request(99, 0, 500*time.Millisecond)))
	if r.Reason != dispatch.ReasonTooLate || r.RetryAfter <= 0 {
		t.Fatalf("refused by %+v", r)
	}
}

func TestQueuedRequestIsRefusedWhenItsDeadlinePasses(t *testing.T) {
	s := scheduler(dispatch.Limits{Slots: 1, Queue: 10})
	s.Arrive(start, request(1, 0, time.Minute))
	s.Arrive(start, request(2, 0, time.Second))
	at, ok := s.NextWake()
	if !ok || !at.Equal(start.Add(time.Second)) {
		t.Fatalf("next wake at %v (%v), want the deadline of request 2", at, ok)
	}
	if r := refusal(t, s.Tick(at)); r.ID != 2 || r.Reason != dispatch.ReasonExpired {
		t.Fatalf("refused by %+v", r)
	}
	if _, wasQueued := s.Remove(at, 2); wasQueued {
		t.Fatal("a refused request was still in the queue")
	}
}

func TestEachOfferIsAnsweredByPushOrDecline(t *testing.T) {
	s := scheduler(dispatch.Limits{Slots: 1, Queue: 10})
	s.SetSiblings(start, []netip.AddrPort{address(2)})
	s.Arrive(start, request(1, 0, time.Minute))
	s.Arrive(start, request(2, 0, time.Minute))
	var pushes, declines int
	for held := range dispatch.Reservation(2) {
		for _, a := range s.SlotOffered(start, address(2), held+1) {
			switch a.(type) {
			case dispatch.Push:
				pushes++
			case dispatch.Decline:
				declines++
			}
		}
	}
	if pushes != 1 || declines != 1 {
		t.Fatalf("%d pushes and %d declines for one request", pushes, declines)
	}
}

func TestReservationExpires(t *testing.T) {
	s := scheduler(dispatch.Limits{Slots: 1, Queue: 10})
	s.SetSiblings(start, []netip.AddrPort{address(2)})
	actions := s.ReceiveStanding(start, address(2), dispatch.Standing{Seq: 5, Queued: 1, Draws: true})
	pulled := slices.ContainsFunc(actions, func(a dispatch.Action) bool { _, ok := a.(dispatch.Pull); return ok })
	at, ok := s.NextWake()
	if !pulled || !ok {
		t.Fatalf("no reservation: %+v", actions)
	}
	s.Tick(at)
	if _, ok := s.NextWake(); ok {
		t.Fatal("the reservation is still pending after its expiry")
	}
}

func TestFlowMovesOnlyBeyondMargin(t *testing.T) {
	s := scheduler(dispatch.Limits{Slots: 1})
	s.SetSiblings(start, []netip.AddrPort{address(2), address(3)})
	if s.FlowTarget().Better(1000) {
		t.Fatal("a sibling that has sent no standing was chosen as flow target")
	}
	s.ReceiveStanding(start, address(2), dispatch.Standing{Seq: 5, Connections: 500, Draws: true})
	s.ReceiveStanding(start, address(3), dispatch.Standing{Seq: 5, Connections: 10})
	for own, want := range map[int]bool{400: false, 540: false, 600: true} {
		if got := s.FlowTarget(); got.To != address(2) || got.Better(own) != want {
			t.Errorf("%d connections: %+v, better %v", own, got, !want)
		}
	}
}

// lifecycle checks that each request gets one action at a time and ends exactly once.
type lifecycle struct {
	t     *rapid.T
	state map[dispatch.ID]string
	slots int
}

const (
	queued  = "queued"
	running = "running"
	pushed  = "pushed"
	ended   = "ended"
)

func (l *lifecycle) take(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			l.move(a.ID, running)
		case dispatch.Push:
			l.move(a.ID, pushed)
		case dispatch.Refuse:
			l.move(a.ID, ended)
		}
	}
	if n := len(l.in(running)); n > l.slots {
		l.t.Fatalf("%d requests run in %d slots", n, l.slots)
	}
}

func (l *lifecycle) move(id dispatch.ID, to string) {
	if l.state[id] != queued {
		l.t.Fatalf("request %d went from %q to %q", id, l.state[id], to)
	}
	l.state[id] = to
}

func (l *lifecycle) in(state string) (ids []dispatch.ID) {
	for id, s := range l.state {
		if s == state {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestEachRequestEndsOnce applies random sequences of messages to the scheduler, then
// ends everything that is still open and checks that no request is left.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &lifecycle{t: t, state: map[dispatch.ID]string{}, slots: rapid.IntRange(1, 4).Draw(t, "slots")}
		s := scheduler(dispatch.Limits{Slots: l.slots, Queue: rapid.IntRange(0, 5).Draw(t, "queue")})
		siblings := []netip.AddrPort{address(2), address(3)}
		l.take(s.SetSiblings(start, siblings))
		now, next := start, dispatch.ID(0)
		some := func(state string) (dispatch.ID, bool) {
			ids := l.in(state)
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(t, "id"), true
		}
		arrival := func() dispatch.Request {
			next++
			l.state[next] = queued
			return dispatch.Request{
				ID: next, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Arrived: now,
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "left")) * time.Millisecond),
				Movable:  rapid.Bool().Draw(t, "movable"), PreferSibling: rapid.Bool().Draw(t, "elsewhere"),
			}
		}
		seq := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) { l.take(s.Arrive(now, arrival())) },
			"arrive moved": func(t *rapid.T) {
				under := dispatch.Reservation(rapid.IntRange(0, 5).Draw(t, "under"))
				l.take(s.ArriveMoved(now, arrival(), under, rapid.Bool().Draw(t, "admit")))
			},
			"done": func(*rapid.T) {
				if id, ok := some(running); ok {
					l.state[id] = ended
					l.take(s.Done(now, id, time.Millisecond, true))
				}
			},
			"remove": func(*rapid.T) {
				if id, ok := some(queued); ok {
					l.state[id] = ended
					actions, wasQueued := s.Remove(now, id)
					if !wasQueued {
						t.Fatalf("request %d is queued, but Remove did not find it", id)
					}
					l.take(actions)
				}
			},
			"returned": func(*rapid.T) {
				if id, ok := some(pushed); ok {
					l.state[id] = queued
					l.take(s.Returned(now, id))
				}
			},
			"settled": func(*rapid.T) {
				if id, ok := some(pushed); ok {
					l.state[id] = ended
					l.take(s.Settled(now, id))
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				l.take(s.Tick(now))
			},
			"sibling": func(t *rapid.T) {
				seq++
				from := rapid.SampledFrom(siblings).Draw(t, "from")
				l.take(s.ReceiveStanding(now, from, dispatch.Standing{
					Seq: seq, Idle: rapid.IntRange(0, 3).Draw(t, "idle"),
					Queued: rapid.IntRange(0, 3).Draw(t, "queued"), Draws: rapid.Bool().Draw(t, "draws"),
				}))
				l.take(s.SlotOffered(now, from, dispatch.Reservation(seq)))
				l.take(s.ReservationDeclined(now, from, dispatch.Reservation(rapid.IntRange(0, 5).Draw(t, "declined"))))
			},
			"health": func(t *rapid.T) {
				l.take(s.SetHealth(now, rapid.IntRange(0, 4).Draw(t, "earned"), rapid.Bool().Draw(t, "draws")))
			},
			"drain": func(*rapid.T) { l.take(s.Drain(now)) },
		})
		for _, id := range l.in(pushed) {
			l.state[id] = ended
			l.take(s.Settled(now, id))
		}
		for ids := l.in(running); len(ids) > 0; ids = l.in(running) {
			l.state[ids[0]] = ended
			l.take(s.Done(now, ids[0], time.Millisecond, true))
		}
		l.take(s.Tick(now.Add(time.Minute)))
		if left := len(l.in(queued)) + len(l.in(running)); left > 0 {
			t.Fatalf("%d requests neither ended nor were refused", left)
		}
	})
}
