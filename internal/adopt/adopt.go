// Package adopt decides which configuration revision a process adopts and whether
// it may serve it. It does no I/O and reads no clock: the owner of a State passes in
// answers of peers, readings of the store and the time, and carries out the decision.
//
// The rules:
//
//  1. A process only adopts a revision higher than its own.
//  2. A process that has begun to serve continues to serve, even if it cannot reach
//     its peers or the store.
//  3. A process starts without a stored configuration. It begins to serve when its
//     revision has been confirmed, either by a reading of the store or by answers of
//     enough distinct peers that are themselves serving. The reading must have been made
//     after the process started, be at most Rules.MaxReadingAge old, and show no
//     higher revision; a reading made before the start may be older than a revision
//     that was in force everywhere at the start. The process never begins to serve
//     while a peer that is not gone has a higher revision.
//  4. Only balancers that serve can confirm a revision. Otherwise, processes that
//     joined through the same lagging peer could confirm its revision to each other.
//     Agents cannot confirm it, because they receive a revision after the balancers.
//
// Limits: rule 3 cannot detect a revision that no reachable process has. During a
// network partition, a new process therefore begins with the revision in force on its
// side of the partition, and adopts the higher one when the partition heals.
package adopt

import (
	"net/netip"
	"time"
)

// Rules are the parameters of the adoption rules.
type Rules struct {
	// MaxReadingAge is the maximum age of a store reading that confirms a
	// revision without peers.
	MaxReadingAge time.Duration
	// Quorum is the maximum number of peers that must confirm a revision.
	Quorum int
	// AnswerTTL is how long a peer's answer counts if no later answer replaces
	// it.
	AnswerTTL time.Duration
}

// DefaultRules returns the parameters that the daemon uses.
func DefaultRules() Rules {
	const (
		maxReadingAge = 10 * time.Second
		quorum        = 5
		answerTTL     = 30 * time.Second
	)
	return Rules{MaxReadingAge: maxReadingAge, Quorum: quorum, AnswerTTL: answerTTL}
}

// Reading is the result of a read of the store, and its age.
type Reading struct {
	// Revision is the revision read; 0 means that the key did not exist.
	Revision uint64
	// Age is the time since the read was sent. A process that forwards the
	// reading adds the time since it recorded the reading; the receiver adds the
	// whole round trip of the call that brought the reading.
	Age time.Duration
}

// Answer is what a peer stated about its configuration.
type Answer struct {
	Peer netip.AddrPort
	// Revision is the revision that the peer has adopted.
	Revision uint64
	// Serving is set if the peer is a balancer and serves the revision.
	Serving bool
	// Balancers is the number of live balancers known to the peer, without the
	// process that receives the answer.
	Balancers int
	// Reading is the newest reading of the store known to the peer, nil for none.
	Reading *Reading
}

// Decision is what a process should do now.
type Decision struct {
	// Fetch is the revision to fetch from the peer From; 0 means none. Once its
	// text has been fetched, validated and parsed, it is adopted with
	// State.Adopt.
	Fetch uint64
	From  netip.AddrPort
	// Serve is set if the process may serve the revision that it has
	// adopted.
	Serve bool
	// Reason is why the process may serve, or what is missing.
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

// State is what a process knows about the configuration of its peers, and what it
// has adopted. The zero value is not usable; New returns a usable one. It is not
// safe for concurrent use.
type State struct {
	started      time.Time
	rules        Rules
	adopted      uint64
	served       bool
	balancers    int
	answers      map[netip.AddrPort]timedAnswer
	storeReading storedReading
}

// timedAnswer is an answer with the time of its arrival.
type timedAnswer struct {
	Answer
	at time.Time
}

// storedReading is the newest known reading of the store: the one whose read was
// sent last.
type storedReading struct {
	known    bool
	revision uint64
	sent     time.Time
}

// New returns the state of a process that starts now and has not adopted any
// revision.
func New(rules Rules, now time.Time) *State {
	return &State{rules: rules, started: now, answers: map[netip.AddrPort]timedAnswer{}}
}

// Revision returns the adopted revision, 0 for none.
func (s *State) Revision() uint64 { return s.adopted }

// RecordReading records a reading of the store, the process's own or a forwarded
// one. It ignores a reading that is older than the known one.
func (s *State) RecordReading(r Reading, now time.Time) {
	sent := now.Add(-r.Age)
	if s.storeReading.known && !sent.After(s.storeReading.sent) {
		return
	}
	s.storeReading = storedReading{known: true, revision: r.Revision, sent: sent}
}

// Reading returns the newest reading to forward to peers, nil for none. A reading
// is not forwarded while the process has not adopted its revision, because a peer
// that learns of a revision must be able to fetch it from this process.
func (s *State) Reading(now time.Time) *Reading {
	if !s.storeReading.known || s.storeReading.revision > s.adopted {
		return nil
	}
	return &Reading{Revision: s.storeReading.revision, Age: now.Sub(s.storeReading.sent)}
}

// RecordAnswer records a peer's answer. The recorded revision never falls below
// that of an earlier answer, because answers can arrive in a different order than
// they were sent.
func (s *State) RecordAnswer(a Answer, now time.Time) {
	if a.Reading != nil {
		s.RecordReading(*a.Reading, now)
	}
	a.Revision = max(a.Revision, s.answers[a.Peer].Revision)
	s.answers[a.Peer] = timedAnswer{Answer: a, at: now}
}

// RemovePeer removes the answer of a peer that did not deliver the fetched
// revision. The peer's next answer counts again.
func (s *State) RemovePeer(peer netip.AddrPort) { delete(s.answers, peer) }

// SetBalancers sets the number of other live balancers in the process's own
// table. The quorum is a majority of the known balancers, but at most
// Rules.Quorum.
func (s *State) SetBalancers(balancers int) { s.balancers = balancers }

// Adopt adopts a revision whose text has been validated and parsed. It reports
// whether it did: a revision that is not higher than the adopted one is ignored.
func (s *State) Adopt(revision uint64) bool {
	if revision <= s.adopted {
		return false
	}
	s.adopted = revision
	return true
}

// Decide returns what to fetch and whether to serve. Once Decide has allowed
// the process to serve, it allows that for the rest of the process's life.
func (s *State) Decide(now time.Time) Decision {
	s.expire(now)
	d := s.selectFetch()
	d.Serve, d.Reason = s.mayServe(d.Fetch > 0, now)
	s.served = s.served || d.Serve
	return d
}

// expire removes answers older than Rules.AnswerTTL: the peer may have adopted
// another revision since its answer.
func (s *State) expire(now time.Time) {
	for peer, h := range s.answers {
		if now.Sub(h.at) > s.rules.AnswerTTL {
			delete(s.answers, peer)
		}
	}
}

// selectFetch selects the highest revision that a peer has. If several peers have
// it, it selects the peer with the lowest address, so that a simulation with the
// same seed decides the same.
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

// mayServe reports whether the process may serve the adopted revision, and why.
// higher is set if a peer has a higher revision.
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

// hasFreshReading reports whether the newest read of the store was sent after the
// process started and is at most Rules.MaxReadingAge old.
func (s *State) hasFreshReading(now time.Time) bool {
	return s.storeReading.known && !s.storeReading.sent.Before(s.started) && now.Sub(s.storeReading.sent) <= s.rules.MaxReadingAge
}

// readingIsHigher reports whether the store held a higher revision within
// Rules.AnswerTTL. An older reading does not count: the process that read the
// revision may have been lost together with its text, and a quorum of serving
// peers then is the better evidence.
func (s *State) readingIsHigher(now time.Time) bool {
	return s.storeReading.known && s.storeReading.revision > s.adopted && now.Sub(s.storeReading.sent) <= s.rules.AnswerTTL
}

// servingPeers counts the peers that serve a revision. When it is called, no peer
// has a higher revision than this process.
func (s *State) servingPeers() int {
	n := 0
	for _, h := range s.answers {
		if h.Serving {
			n++
		}
	}
	return n
}

// quorum returns the number of peers that must serve: a majority of the known
// balancers, at least 1 and at most Rules.Quorum. A process that has just joined
// knows fewer balancers than its peers do, so the largest number that a peer
// stated counts.
func (s *State) quorum() int {
	known := s.balancers
	for _, h := range s.answers {
		known = max(known, h.Balancers)
	}
	majority := known/2 + 1
	return min(majority, s.rules.Quorum)
}
