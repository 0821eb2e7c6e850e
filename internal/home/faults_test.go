package home_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/request"
)

const (
	// shortDeadline is the request deadline in tests that wait until it has passed.
	shortDeadline = 1500 * time.Millisecond
	// longDeadline is the request deadline in tests whose outcome must not depend on
	// it.
	longDeadline = 10 * time.Minute
	// observationTime is how long a test checks that something doesn't happen. A longer
	// time finds more faults; a shorter one never makes a correct program fail.
	observationTime = 300 * time.Millisecond
	// newTickets is the number of tickets that a restarted home issues before it
	// receives an old one, so that it has issued the old one's nonce too.
	newTickets = 8
	// maxParallelFleets is the number of fleets, of four processes each, that run in
	// parallel.
	maxParallelFleets = 3
)

var fleetSlots = make(chan struct{}, maxParallelFleets)

// acquireFleetSlot makes the test parallel and limits the number of fleets that run at
// once.
func acquireFleetSlot(t *testing.T) {
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// step is a stage of a request that is forwarded to its home.
type step struct {
	name string
	body string
	// reach sends the request through the first agent and returns when it has
	// reached the step. It calls before to inject the fault.
	reach func(f *fleet, body string, before func()) <-chan reply
}

var steps = []step{
	{"on its way", "victim", func(f *fleet, body string, before func()) <-chan reply {
		before()
		return f.others[0].send(f.ticket, body)
	}},
	{"queued", "victim", func(f *fleet, body string, before func()) <-chan reply {
		ticket := f.result(f.home.send("", "nothing")).Ticket
		f.home.send(ticket, blocker)
		f.running(blocker)
		attempt := f.others[0].send(f.ticket, body)
		f.Eventually(func() string { return f.home.metric("saltbend_ticket_window_entries") }, waitTimeout).Should(Equal("3"))
		before()
		return attempt
	}},
	{"running", hold + "victim", func(f *fleet, body string, before func()) <-chan reply {
		attempt := f.others[0].send(f.ticket, body)
		f.running(body)
		before()
		return attempt
	}},
	{"answered", hold + "victim", func(f *fleet, body string, before func()) <-chan reply {
		attempt := f.others[0].send(f.ticket, body)
		f.running(body)
		f.blackhole("downstream")
		recorded := f.home.metric("saltbend_ticket_window_bytes")
		f.upstream.release(body)
		f.Eventually(func() string { return f.home.metric("saltbend_ticket_window_bytes") }, waitTimeout).ShouldNot(Equal(recorded))
		before()
		return attempt
	}},
	{"recorded", "victim", func(f *fleet, body string, before func()) <-chan reply {
		attempt := f.others[0].send(f.ticket, body)
		f.Expect(f.outcome(attempt)).To(Equal(request.OutcomeComplete))
		before()
		return nil
	}},
}

// fault is a failure of the home and the recovery from it.
type fault struct {
	name     string
	deadline time.Duration
	inject   func(f *fleet)
	// recover ends the fault and returns the agent that gets the caller's last
	// attempt.
	recover func(f *fleet, victim string) *node
}

var faults = []fault{
	{"killed and restarted", longDeadline, func(f *fleet) { f.home.kill() }, func(f *fleet, victim string) *node {
		f.home = startNode(f.t, f.home.Peer) // a new incarnation at the old address
		f.start(f.home, f.control)
		for range newTickets {
			f.result(f.home.send("", "nothing"))
		}
		f.Expect(f.outcome(f.others[1].send(f.ticket, victim))).To(Equal(request.OutcomeUnknown))
		return f.home
	}},
	{"frozen past the deadline", shortDeadline, func(f *fleet) { f.home.freeze() }, func(f *fleet, _ string) *node {
		f.home.signal(syscall.SIGCONT)
		return f.home
	}},
	{"cut off", longDeadline, func(f *fleet) { f.proxy.Stop() }, func(f *fleet, _ string) *node { return f.home }},
	{"cut off in silence", shortDeadline, func(f *fleet) {
		f.blackhole("upstream")
		if f.proxy.Toxics.GetToxic("downstream") == nil {
			f.blackhole("downstream")
		}
	}, func(f *fleet, _ string) *node { return f.home }},
}

// TestNoRequestRunsTwiceWhenHomeFails lets the home fail at each step of a request. The
// caller sends the request again through another agent, and once more after the fault
// has ended. The upstream must run it at most once, and no response may contradict
// that.
func TestNoRequestRunsTwiceWhenHomeFails(t *testing.T) {
	for _, fault := range faults {
		for _, step := range steps {
			t.Run(fault.name+"/"+step.name, func(t *testing.T) {
				acquireFleetSlot(t)
				f := startFleet(t, fault.deadline)
				attempt := step.reach(f, step.body, func() { fault.inject(f) })
				if attempt != nil {
					f.Expect(f.outcome(attempt)).To(Equal(request.OutcomeUnknown))
				}
				f.Expect(f.outcome(f.others[1].send(f.ticket, step.body))).To(Equal(request.OutcomeUnknown))
				agent := fault.recover(f, step.body)
				last := agent.send(f.ticket, step.body)
				f.upstream.release(blocker)
				f.upstream.release(step.body)
				f.Expect(f.outcome(last)).To(BeElementOf(lastOutcomes(fault.name, step.name)), "%+v", f.responses)
				f.waitUntilIdle(f.home)
				f.check(step.body)
			})
		}
	}
}

// lastOutcomes returns the outcomes that are allowed for the last attempt, after the
// fault has ended.
func lastOutcomes(fault, step string) []request.Outcome {
	switch {
	case fault == "killed and restarted":
		return []request.Outcome{request.OutcomeUnknown} // the state of the old incarnation is lost
	case step == "answered" || step == "recorded" || fault == "cut off":
		return []request.Outcome{request.OutcomeComplete}
	case step == "queued":
		return []request.Outcome{request.OutcomeNotRun} // the deadline passed before a slot was free
	default:
		return []request.Outcome{request.OutcomeComplete, request.OutcomeNotRun, request.OutcomeUnknown}
	}
}

func TestOutcomeIsUnknownWhenUpstreamCrashesMidRun(t *testing.T) {
	acquireFleetSlot(t)
	f := startFleet(t, longDeadline)
	body := crash + "victim"
	passed := f.others[0].send(f.ticket, body)
	f.running(body)
	joined := f.home.send(f.ticket, body)
	f.upstream.release(body)
	f.Expect(f.outcome(passed)).To(Equal(request.OutcomeUnknown))
	f.Expect(f.outcome(joined)).To(Equal(request.OutcomeUnknown))
	f.Expect(f.outcome(f.others[1].send(f.ticket, body))).To(Equal(request.OutcomeUnknown))
	f.waitUntilIdle(f.home)
	f.Expect(f.upstream.ran(body)).To(Equal(1))
}

func TestCallersOfOneTicketGetOneAnswer(t *testing.T) {
	acquireFleetSlot(t)
	f := startFleet(t, longDeadline)
	body := hold + "victim"
	first := f.others[0].send(f.ticket, body)
	f.running(body)
	second, third := f.others[1].send(f.ticket, body), f.home.send(f.ticket, body)
	other := f.result(f.others[1].send(f.ticket, "other"))
	f.Expect(other.Outcome).To(Equal(request.OutcomeNotRun))
	f.Expect(other.Status).To(Equal(http.StatusUnprocessableEntity))
	f.upstream.release(body)
	for _, attempt := range []<-chan reply{first, second, third, f.others[1].send(f.ticket, body)} {
		f.Expect(f.outcome(attempt)).To(Equal(request.OutcomeComplete))
	}
	f.check(body)
	f.Expect(f.upstream.ran("other")).To(BeZero())
}

// TestForwardFailsWhenHomeLeavesMemberList checks that a request that was forwarded to
// a home that doesn't answer ends as soon as the home is missing from the member list
// or replaced there, long before the deadline.
func TestForwardFailsWhenHomeLeavesMemberList(t *testing.T) {
	for name, after := range map[string][]member.Member{
		"vanished": nil,
		"replaced": {{Incarnation: ^uint64(0)}},
	} {
		t.Run(name, func(t *testing.T) {
			acquireFleetSlot(t)
			f := startFleet(t, longDeadline)
			f.setMembers(member.Member{Control: f.control, Incarnation: f.incarnation()})
			body := hold + "victim"
			attempt := f.others[0].send(f.ticket, body)
			f.running(body)
			f.home.freeze()
			for i := range after {
				after[i].Control = f.control
			}
			f.setMembers(after...)
			f.Expect(f.outcome(attempt)).To(Equal(request.OutcomeUnknown))
		})
	}
}

// TestOutcomesStayKnownAfterGracefulStop checks that a home that stops gracefully lets
// running requests end and sends its siblings a closing with the tickets that may have
// run. The siblings send it on when they stop, so the outcomes stay known after all
// processes that received it first have ended.
func TestOutcomesStayKnownAfterGracefulStop(t *testing.T) {
	acquireFleetSlot(t)
	f := startFleet(t, longDeadline)
	unused := f.ticket
	recorded := f.result(f.home.send("", "nothing")).Ticket
	f.Expect(f.result(f.others[0].send(recorded, "recorded")).Outcome).To(Equal(request.OutcomeComplete))
	running := f.result(f.home.send("", "nothing")).Ticket
	last := f.others[0].send(running, hold+"last")
	f.running(hold + "last")
	f.home.post(membersPath, f.siblings())

	closed := make(chan struct{})
	go func() {
		defer close(closed)
		f.home.post(closePath, nil)
	}()
	f.Eventually(func() string { return f.result(f.home.send("", "nothing")).Ticket }, waitTimeout).Should(BeEmpty())
	f.Expect(f.result(f.home.send(unused, "victim")).Outcome).To(Equal(request.OutcomeNotRun))
	f.Consistently(closed, observationTime).ShouldNot(BeClosed()) // Close waits for the running request
	f.upstream.release(hold + "last")
	f.Expect(f.result(last).Outcome).To(Equal(request.OutcomeComplete))
	f.Eventually(closed, waitTimeout).Should(BeClosed())
	f.home.kill()

	expectOutcomes := func(n *node) {
		f.Expect(f.result(n.send(unused, "victim")).Outcome).To(Equal(request.OutcomeNotRun))
		f.Expect(f.result(n.send(recorded, "recorded")).Outcome).To(Equal(request.OutcomeUnknown))
		f.Expect(f.result(n.send(running, hold+"last")).Outcome).To(Equal(request.OutcomeUnknown))
	}
	expectOutcomes(f.others[0])
	f.home = startNode(t, f.home.Peer)
	f.start(f.home, f.control)
	f.others[1].post(membersPath, []member.Member{{Control: f.control, Service: testService}})
	f.others[1].post(closePath, nil)
	for _, n := range f.others {
		n.kill()
	}
	expectOutcomes(f.home)
	f.Expect(f.upstream.ran("victim")).To(BeZero())
	f.Expect(f.upstream.ran("recorded")).To(Equal(1))
}

// TestQueuedRequestIsVoidedWhenItsLastCallerLeaves checks that a queued request is
// voided when its caller disconnects and no other attempt waits for it.
func TestQueuedRequestIsVoidedWhenItsLastCallerLeaves(t *testing.T) {
	acquireFleetSlot(t)
	f := startFleet(t, longDeadline)
	ticket := f.result(f.home.send("", "nothing")).Ticket
	f.home.send(ticket, blocker)
	f.running(blocker)
	leave := f.others[0].sendAndLeave(f.ticket, "victim")
	f.Eventually(func() string { return f.home.metric("saltbend_ticket_window_entries") }, waitTimeout).Should(Equal("3"))
	leave()
	f.Eventually(func() string { return f.home.metric("saltbend_ticket_window_entries") }, waitTimeout).Should(Equal("2"))
	f.Expect(f.outcome(f.others[1].send(f.ticket, "victim"))).To(Equal(request.OutcomeNotRun))
	f.upstream.release(blocker)
	f.waitUntilIdle(f.home)
	f.Expect(f.upstream.ran("victim")).To(BeZero())
}
