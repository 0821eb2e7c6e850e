// Package adopt decides which configuration revision a process takes over and
// whether it may serve on it. It is pure: answers and the time come in, a
// decision comes out.
//
// The rules:
//
//  1. A process only ever adopts a higher revision than its own.
//  2. A process that has once served goes on serving, whatever it can reach.
//  3. A process without memory serves once its revision is vouched for: either
//     a reading of the store that was made after the process started, and is
//     younger than Rules.Fresh, shows no higher one; or enough distinct peers
//     that serve themselves answered. It never begins while a peer that is not
//     gone claims a higher revision. A reading from before the start may be
//     older than a revision that was in force everywhere at the start.
//  4. Only balancers that serve vouch. Newcomers that asked one lagging peer
//     would else vouch for each other, and agents learn a revision after the
//     balancers.
//
// Limits: rule 3 cannot know a revision that nobody whom the process can reach
// knows. During a cut a newcomer therefore begins on what its own side has in
// force, and rises when the cut heals.
package adopt

import (
	"net/netip"
	"time"
)

// Rules are the parameters of the decision.
type Rules struct {
	// MaxReadingAge is how old a reading of the store may be to vouch alone.
	MaxReadingAge time.Duration
	// Quorum caps the number of peers that have to answer.
	Quorum int
	// AnswerTTL is how long an answer counts without being repeated.
	AnswerTTL time.Duration
}

// DefaultRules return the parameters that the daemon uses.
func DefaultRules() Rules {
	const (
		maxReadingAge = 10 * time.Second
		quorum        = 5
		answerTTL     = 30 * time.Second
	)
	return Rules{MaxReadingAge: maxReadingAge, Quorum: quorum, AnswerTTL: answerTTL}
}

// Reading tells what a read of the store showed and how old it is.
type Reading struct {
	// Revision is the revision read; 0 means that the key did not exist.
	Revision uint64
	// Age is the time since the read was sent. A relay adds the time it held
	// the reading, and the whole round trip over which it learned it.
	Age time.Duration
}

// Answer is what a peer said about its configuration.
type Answer struct {
	Peer netip.AddrPort
	// Revision is the one that the peer has adopted.
	Revision uint64
	// Serving tells that the peer is a balancer and serves on it.
	Serving bool
	// Balancers is the number of live balancers that the peer knows, without
	// the process that asks.
	Balancers int
	// Reading is the newest reading of the store that the peer knows, nil
	// where it knows none.
	Reading *Reading
}

// Decision is what a process should do now.
type Decision struct {
	// Fetch is the revision to ask From for; 0 means none. Adopt it with
	// State.Adopt once its text was fetched, checked and parsed.
	Fetch uint64
	From  netip.AddrPort
	// Serve tells whether the process may serve on the revision it adopted.
	Serve bool
	// Reason tells what Serve rests on, or what is missing.
	Reason Reason
}

// Reason explains a decision to operators.
type Reason string

// Reasons for serving or not.
const (
	ReasonNoRevision     Reason = "no configuration is known"
	ReasonHigher         Reason = "a peer has a higher revision"
	ReasonUnconfirmed    Reason = "too few peers that serve have answered, and no fresh reading of the store is known"
	ReasonAlreadyServing Reason = "served before"
	ReasonStore          Reason = "a fresh reading of the store"
	ReasonPeers          Reason = "enough peers that serve"
)

// State is what a process knows about the configuration. The zero value is not
// usable; New makes one. One goroutine owns it.
type State struct {
	started      time.Time
	rules        Rules
	adopted      uint64
	served       bool
	balancers    int
	answers      map[netip.AddrPort]timedAnswer
	storeReading storedReading
}

// timedAnswer is an answer with the time at which it came.
type timedAnswer struct {
	Answer
	at time.Time
}

// storedReading is the newest known read of the store by the time it was sent.
type storedReading struct {
	known    bool
	revision uint64
	sent     time.Time
}

// New returns the state of a process without memory that starts now.
func New(rules Rules, now time.Time) *State {
	return &State{rules: rules, started: now, answers: map[netip.AddrPort]timedAnswer{}}
}

// Revision returns the adopted revision, 0 for none.
func (s *State) Revision() uint64 { return s.adopted }

// RecordReading notes a reading of the store, the process's own or a relayed one.
func (s *State) RecordReading(r Reading, now time.Time) {
	sent := now.Add(-r.Age)
	if s.storeReading.known && !sent.After(s.storeReading.sent) {
		return
	}
	s.storeReading = storedReading{known: true, revision: r.Revision, sent: sent}
}

// Reading returns the newest reading to pass on to peers, nil for none. One
// whose revision the process has not adopted is not passed on: who hears of a
// revision must be able to fetch it here.
func (s *State) Reading(now time.Time) *Reading {
	if !s.storeReading.known || s.storeReading.revision > s.adopted {
		return nil
	}
	return &Reading{Revision: s.storeReading.revision, Age: now.Sub(s.storeReading.sent)}
}

// RecordAnswer notes a peer's answer. Its revision does not fall below an earlier
// answer's: the two may have overtaken each other on their way.
func (s *State) RecordAnswer(a Answer, now time.Time) {
	if a.Reading != nil {
		s.RecordReading(*a.Reading, now)
	}
	a.Revision = max(a.Revision, s.answers[a.Peer].Revision)
	s.answers[a.Peer] = timedAnswer{Answer: a, at: now}
}

// RemovePeer forgets a peer that membership holds for gone.
func (s *State) RemovePeer(peer netip.AddrPort) { delete(s.answers, peer) }

// SetBalancers sets the number of other balancers that membership knows and that are
// not gone. A quorum is a majority of them, at most Rules.Quorum.
func (s *State) SetBalancers(balancers int) { s.balancers = balancers }

// Adopt takes over a revision whose text is checked and parsed. It refuses one
// that is not higher than the adopted revision.
func (s *State) Adopt(revision uint64) bool {
	if revision <= s.adopted {
		return false
	}
	s.adopted = revision
	return true
}

// Decide returns what to fetch and whether to serve. The first decision to
// serve holds for the life of the process.
func (s *State) Decide(now time.Time) Decision {
	s.expire(now)
	d := s.selectFetch()
	d.Serve, d.Reason = s.mayServe(d.Fetch > 0, now)
	s.served = s.served || d.Serve
	return d
}

// expire drops answers that are too old to tell what their peer knows now.
func (s *State) expire(now time.Time) {
	for peer, h := range s.answers {
		if now.Sub(h.at) > s.rules.AnswerTTL {
			delete(s.answers, peer)
		}
	}
}

// selectFetch picks the highest revision that a peer holds, of equals the peer with
// the lowest address, so that a replay decides the same.
func (s *State) selectFetch() Decision {
	var d Decision
	for peer, h := range s.answers {
		if h.Revision <= s.adopted || h.Revision < d.Fetch {
			continue
		}
		if h.Revision > d.Fetch || peer.Compare(d.From) < 0 {
			d.Fetch, d.From = h.Revision, peer
		}
	}
	return d
}

func (s *State) mayServe(higher bool, now time.Time) (bool, Reason) {
	switch {
	case s.adopted == 0:
		return false, ReasonNoRevision
	case s.served:
		return true, ReasonAlreadyServing
	case higher || s.readingIsHigher(now):
		return false, ReasonHigher
	case s.hasFreshReading(now):
		return true, ReasonStore
	case s.servingPeers() >= s.quorum():
		return true, ReasonPeers
	}
	return false, ReasonUnconfirmed
}

// hasFreshReading reports whether the store was read lately and since the start.
func (s *State) hasFreshReading(now time.Time) bool {
	return s.storeReading.known && !s.storeReading.sent.Before(s.started) && now.Sub(s.storeReading.sent) <= s.rules.MaxReadingAge
}

// readingIsHigher reports whether the store lately held a higher revision. An older
// reading does not count: its text may have been lost with its reader, and a
// quorum of peers that serve then knows better.
func (s *State) readingIsHigher(now time.Time) bool {
	return s.storeReading.known && s.storeReading.revision > s.adopted && now.Sub(s.storeReading.sent) <= s.rules.AnswerTTL
}

// servingPeers counts the peers that serve on a revision. After fetch none of them
// has a higher one than ours.
func (s *State) servingPeers() int {
	n := 0
	for _, h := range s.answers {
		if h.Serving {
			n++
		}
	}
	return n
}

// quorum is a majority of the known balancers, at least one, at most the cap.
// A process that has just joined knows fewer of them than its peers do.
func (s *State) quorum() int {
	known := s.balancers
	for _, h := range s.answers {
		known = max(known, h.Balancers)
	}
	majority := known/2 + 1
	return min(majority, s.rules.Quorum)
}
