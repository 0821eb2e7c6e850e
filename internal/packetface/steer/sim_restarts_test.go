package steer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/platform"
)

// Starts and restarts of the simulated agents and upstreams.

// newInstance starts another instance of the upstream: with another id, or with the same id
// and another start time, which is earlier if the host's clock was set back.
func (s *simAgent) newInstance(random *rand.Rand) {
	instance := s.instances[len(s.instances)-1]
	switch random.IntN(4) {
	case 0:
		instance.StartedMS -= 1 + random.Int64N(5000)
	case 1, 2:
		instance.StartedMS += 1 + random.Int64N(5000)
	case 3:
		instance.ID = fmt.Sprintf("%s-%d", s.addr, len(s.instances))
	}
	s.instances = append(s.instances, instance)
}

func (w *simFleet) startAgent(s *simAgent) {
	s.incarnation++
	s.started, s.downFrom, s.downUntil = w.now, 0, 0
	s.listedAt = w.now + time.Duration(w.random.Int64N(int64(50*time.Millisecond)))
	s.gate = gate.New(gate.Settings{
		Service: service, CallerPort: callerPort, Incarnation: s.incarnation,
		Times: gate.Times{DrainTimeout: 3 * time.Second, FlowMaxAge: time.Minute, HeartbeatInterval: 1200 * time.Millisecond},
	})
}

// stopMinimum is the least time for which an agent process that was asked to stop runs on.
const stopMinimum = 200 * time.Millisecond

// stopAgent asks an agent process to stop, as in a planned restart. The next one starts the
// given time after it has ended.
func (w *simFleet) stopAgent(s *simAgent, away time.Duration) {
	w.logEvent("agent %s is asked to stop", s.addr)
	w.fromAgent(s, s.gate.Stop(w.now))
	s.downFrom = w.now + stopMinimum
	s.downUntil = s.downFrom + away
}

// isDown reports whether no agent process runs.
func (s *simAgent) isDown(now time.Duration) bool {
	return s.downUntil != 0 && now >= s.downFrom
}

// restartDue starts the next process of an agent that was stopped.
func (w *simFleet) restartDue(s *simAgent) {
	if s.downUntil != 0 && w.now >= s.downUntil {
		w.startAgent(s)
		s.sequence = max(s.sequence, 1)
		w.heartbeat(s)
	}
}

func (w *simFleet) heartbeat(s *simAgent) {
	s.sequence++
	if s.isDown(w.now) {
		return
	}
	r, _ := s.gate.Heartbeat(w.now, platform.Heartbeat{Instance: s.instances[s.instance], Slots: 2, Sequence: s.sequence, WarmupLeft: s.warmupLeft(w.now), Age: s.age(w.now)})
	s.acknowledged = w.now
	w.fromAgent(s, r)
}

// age returns how long ago the upstream started by its host's clock.
func (s *simAgent) age(now time.Duration) time.Duration {
	return max(0, now-s.upstreamStarted+s.clockOffset)
}

// stepClock sets a host's clock back or ahead, by up to 2 s or up to 10 s.
func (w *simFleet) stepClock(s *simAgent) {
	maxStep := []time.Duration{2 * time.Second, 10 * time.Second}[w.random.IntN(2)]
	s.clockOffset += time.Duration(w.random.Int64N(int64(2*maxStep))) - maxStep
}

// warmupLeft returns how long the upstream reports that it stays cold, 0 if it reports
// nothing. A real upstream reports at once when it starts, repeats that until a report is
// acknowledged, and reports again after a heartbeat's interval. A simulated upstream that
// has not kept to these times reports nothing.
func (s *simAgent) warmupLeft(now time.Duration) time.Duration {
	unheard := s.acknowledged == 0 && now-max(s.upstreamStarted, s.started) <= retryTime
	regular := s.acknowledged != 0 && now-s.acknowledged >= 1200*time.Millisecond
	if !unheard && !regular {
		return 0
	}
	return max(0, warmup-(now-s.upstreamStarted))
}

// restartAgents restarts all agents at once, as after a fault of all hosts that their
// upstreams survive.
func (w *simFleet) restartAgents() {
	for _, s := range w.agents {
		w.startAgent(s)
		s.sequence = max(s.sequence, 1)
	}
}

// losePower restarts everything at once, so that all flows are dead. Some upstreams
// report at once, others late.
func (w *simFleet) losePower() {
	for _, s := range w.agents {
		w.replaceUpstream(s, true)
		s.sequence = w.random.Uint64N(3) // some reports were sent before the agent had started
	}
	w.now += time.Duration(w.random.IntN(60)) * time.Millisecond
	for _, s := range w.agents {
		w.startAgent(s)
		if w.random.IntN(8) != 0 {
			w.heartbeat(s)
		}
	}
	for _, b := range w.balancers {
		if !b.refused {
			w.startBalancer(b)
		}
	}
}

// lateHeartbeat delivers a delayed heartbeat of an earlier instance of the upstream.
func (w *simFleet) lateHeartbeat(s *simAgent) {
	if s.instance == 0 || s.sequence == 0 || s.isDown(w.now) {
		return // there is no earlier instance, or the present one has not reported yet
	}
	r, _ := s.gate.Heartbeat(w.now, platform.Heartbeat{Instance: s.instances[w.random.IntN(s.instance)], Slots: 2, Sequence: 2 + w.random.Uint64N(20)})
	w.fromAgent(s, r)
}

// replaceUpstream ends the upstream and starts a new instance, which reports at once
// unless late is set.
func (w *simFleet) replaceUpstream(s *simAgent, late bool) {
	s.newInstance(w.random)
	s.instance++
	s.sequence, s.upstreamStarted, s.acknowledged, s.clockOffset = 0, w.now, 0, 0
	s.held = map[platform.Flow]bool{}
	if !late {
		w.heartbeat(s)
	}
}
