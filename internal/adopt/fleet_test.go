package adopt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/adopt"
)

const processes = 4

// message is an answer in transit to one incarnation of a process.
type message struct {
	to, incarnation int
	answer          adopt.Answer
}

// process is one balancer and what the test tracks about it.
type process struct {
	state       *adopt.State
	incarnation int
	serving     bool
	// inForce is the revision that was in force when the process started.
	inForce uint64
}

// fleet implements the model in spec/config_adopt.pml, with the real adoption
// rules in each process. It also tracks the revision in the store and the one in
// force, which is the highest that a majority of processes has served.
type fleet struct {
	now      time.Time
	stored   uint64
	inForce  uint64
	all      [processes]process
	inFlight []message
}

func newFleet() *fleet {
	f := &fleet{now: start, stored: 1}
	for i := range f.all {
		f.restart(i)
		f.read(i)
		f.decide(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.all[i] = process{state: adopt.New(adopt.DefaultRules(), f.now), incarnation: f.all[i].incarnation + 1, inForce: f.inForce}
}

func (f *fleet) read(i int) {
	s := f.all[i].state
	s.Adopt(f.stored)
	s.RecordReading(adopt.Reading{Revision: f.stored}, f.now)
}

// send puts an answer of one process to another in transit.
func (f *fleet) send(from, to int) {
	if from == to {
		return
	}
	p := &f.all[from]
	f.inFlight = append(f.inFlight, message{to: to, incarnation: f.all[to].incarnation, answer: adopt.Answer{
		Peer: peer(from), Revision: p.state.Revision(), Serving: p.serving,
		Reading: p.state.Reading(f.now), Balancers: processes - 1,
	}})
}

// deliver delivers a message, unless its receiver has restarted since it was
// sent. The transit time is unknown, so the reading in the message counts as old.
func (f *fleet) deliver(n int) {
	m := f.inFlight[n]
	f.inFlight = append(f.inFlight[:n], f.inFlight[n+1:]...)
	if p := &f.all[m.to]; p.incarnation == m.incarnation {
		if m.answer.Reading != nil {
			m.answer.Reading.Age += time.Hour
		}
		p.state.RecordAnswer(m.answer, f.now)
	}
}

// decide carries out the decision of a process. A fetch returns what the peer has
// now, which may be a lower revision than the peer stated, if the peer has
// restarted. decide reports whether the process begins to serve a lower revision
// than was in force at its start.
func (f *fleet) decide(i int) (reverted bool) {
	p := &f.all[i]
	d := p.state.Decide(f.now)
	if d.Fetch > 0 {
		from := f.all[d.From.Addr().As4()[3]].state.Revision()
		if from <= p.state.Revision() {
			p.state.RemovePeer(d.From)
			return false
		}
		p.state.Adopt(from)
		return false
	}
	begins := d.Serve && !p.serving
	p.serving = d.Serve
	return begins && p.state.Revision() < p.inForce
}

// updateInForce updates the highest revision that a majority has served.
func (f *fleet) updateInForce() {
	for revision := f.inForce + 1; revision <= f.stored; revision++ {
		count := 0
		for i := range f.all {
			if f.all[i].serving && f.all[i].state.Revision() >= revision {
				count++
			}
		}
		if count > processes/2 {
			f.inForce = revision
		}
	}
}

// TestNoProcessRevertsAfterRestarts applies random sequences of delayed answers,
// store readings and restarts. No process may begin to serve a lower revision
// than was in force at its start, and none may return to a lower revision or stop
// serving.
func TestNoProcessRevertsAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.updateInForce()
		drawProcess := func(name string) int { return rapid.IntRange(0, processes-1).Draw(t, name) }
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			before := [processes]uint64{}
			incarnations := [processes]int{}
			served := [processes]bool{}
			for i, p := range f.all {
				before[i], incarnations[i], served[i] = p.state.Revision(), p.incarnation, p.serving
			}
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"send", "send", "deliver", "deliver", "decide", "decide", "change", "read", "late", "restart"}).Draw(t, "step") {
			case "send":
				f.send(drawProcess("from"), drawProcess("to"))
			case "deliver":
				if len(f.inFlight) > 0 {
					f.deliver(rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message"))
				}
			case "decide":
				if i := drawProcess("who"); f.decide(i) {
					t.Fatalf("process %d began to serve revision %d, but %d was in force at its start", i, f.all[i].state.Revision(), f.all[i].inForce)
				}
			case "change":
				f.stored++
			case "read":
				f.read(drawProcess("reader"))
			case "late":
				f.all[drawProcess("late")].state.Adopt(rapid.Uint64Range(1, f.stored).Draw(t, "revision"))
			case "restart":
				f.restart(drawProcess("restarts"))
			}
			f.updateInForce()
			for i, p := range f.all {
				if p.incarnation == incarnations[i] && (p.state.Revision() < before[i] || served[i] && !p.serving) {
					t.Fatalf("process %d reverted from revision %d or stopped serving (was serving: %v)", i, before[i], served[i])
				}
			}
		}
	})
}
