package steer

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// This file determines what an agent's silence proves. The silence of an agent whose host
// has failed is not distinguishable from that of an agent process that is being restarted
// as planned, whose upstream and flows go on.

// Time-outs of agents that do not answer.
const (
	// suspectAfter is the time without an answer after which an agent is suspected,
	// provided that suspectMinRequests requests are unanswered. A suspected agent gets no
	// new flows if any other agent can take them.
	suspectAfter = 250 * time.Millisecond
	// suspectMinRequests is the minimum number of unanswered requests of a suspected
	// agent.
	suspectMinRequests = 2
	// DefaultAbsentAfter is the usual value of Settings.AbsentAfter, the time without an
	// answer after which an agent counts as absent.
	DefaultAbsentAfter = time.Second
	// restartAllowance replaces a shorter AbsentAfter for an agent whose process may be
	// restarting: its upstream keeps running, and a new agent process starts within the
	// grace period.
	restartAllowance = 7 * time.Second
	// absentDivisor limits how many agents a search may skip as absent: at most one in
	// absentDivisor. If more are silent, it is the balancer that is cut off.
	absentDivisor = 3
	// removeAfter is the silence after which an agent that the store no longer lists is
	// removed. An agent whose entry expired while the store was unavailable is listed
	// again within 2 s.
	removeAfter = 2 * time.Second
)

func (a *agent) noteRequest(now time.Duration) {
	if a.waitingSince == 0 {
		a.waitingSince, a.lastAnswered = now, a.lastRequest
	}
	a.unanswered++
	a.lastRequest = now
}

// noteReceived resets the wait for an answer when a datagram arrives from the agent; it
// reports whether the agent was suspected.
func (a *agent) noteReceived(now time.Duration) bool {
	was := a.suspected
	a.lastReceived, a.waitingSince, a.unanswered, a.suspected = now, 0, 0, false
	return was
}

// isSuspect reports whether the agent has left requests unanswered for longer than
// suspectAfter.
func (a *agent) isSuspect(now time.Duration) bool {
	return a.waitingSince != 0 && now-a.waitingSince > suspectAfter && a.unanswered >= suspectMinRequests
}

// isAbsent reports whether the agent has left requests unanswered for longer than the
// duration after, so that its flows make no progress. An agent that may be restarting has
// restartAllowance if that is longer than after. If after is not positive, no agent
// counts as absent.
func (a *agent) isAbsent(now, after time.Duration) bool {
	if after <= 0 || !a.isSuspect(now) {
		return false
	}
	return now-a.waitingSince > a.silenceLimit(after)
}

// silenceLimit returns the silence that shows that the agent has left: the duration after,
// or restartAllowance if that is longer and the agent may be restarting.
func (a *agent) silenceLimit(after time.Duration) time.Duration {
	if a.mayBeRestarting() {
		return max(after, restartAllowance)
	}
	return after
}

// mayBeRestarting reports whether the agent's silence may be a planned restart of its
// process, which does not affect its upstream's flows. An agent announces that its process
// is stopping, but only to balancers from which that process has received a datagram
// within inner.BalancerTTL. So the silence of an agent that this balancer has never
// received anything from, or that it had not sent anything for that long, proves nothing.
func (a *agent) mayBeRestarting() bool {
	stopping := a.status.Stopping || a.status.State == inner.StateStopping // an agent of an earlier version reports only the state
	return stopping || a.lastReceived == 0 || a.waitingSince-a.lastAnswered > inner.BalancerTTL
}

// hasLeft reports whether an unlisted agent has left: it has reported its upstream as
// down since it became unlisted, or has been silent for longer than removeAfter, or than
// restartAllowance if it may be restarting.
func (c *Core) hasLeft(a *agent, now time.Duration) bool {
	if a.status.State == inner.StateDown && a.statusAt > a.unlistedSince {
		return true
	}
	limit := a.silenceLimit(removeAfter)
	return now-a.unlistedSince > limit && now-a.lastReceived > limit
}
