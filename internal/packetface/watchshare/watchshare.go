// Package watchshare decides whether a balancer watches the platform's store itself
// or listens to one that does. It is pure: requests and news of other balancers, what
// the store has told and the time come in; requests and news go out.
//
// The load it is made for: each call of the store is paid for, and each change ends
// the watch of every balancer. With 60 balancers a release of 45 upstreams costs
// thousands of calls, the largest price of a calm day; the calls of shared watches
// grow with the changes alone.
//
// Nothing is agreed and nobody is elected: any number of watchers is correct, also
// all. A balancer asks the seeds of its settings whether they watch; one that does
// takes it in, one that listens itself names the one it listens to, one that is full
// names one of its listeners, which takes it in. So listeners form a tree, and no host
// serves more than maxListeners. A balancer that others listen to goes on watching.
// Each piece of news tells how long ago the store last answered the root of the tree;
// a listener that has no news younger than StaleAfter watches itself.
//
// A balancer that has just started asks for a source before it reads the store: see
// start.go.
package watchshare

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/store"
)

// Times and limits.
const (
	// StaleAfter is the age of the store's last answer from which on a listener
	// watches itself: with the reading that follows it learns of a change within the
	// 3 s in which a configuration is to be in force, whatever becomes of its source.
	StaleAfter = 2 * time.Second
	// WatchWait is how long a watch waits that others rely on: with the 240 ms of a slow
	// store its answer comes within StaleAfter.
	WatchWait = 1400 * time.Millisecond
	// renewInterval is the time between two requests to the source, each of which is
	// answered with news.
	renewInterval = 450 * time.Millisecond
	// silenceTimeout is the time without news after which a listener asks others, while
	// it still has some time left: two requests without an answer.
	silenceTimeout = 2*renewInterval + 50*time.Millisecond
	// askInterval is the time between requests to others then.
	askInterval = 200 * time.Millisecond
	// searchDelayMin and lookMost bound the time after which a watcher without listeners
	// looks for one to listen to, spread so that not all ask at once.
	searchDelayMin = 300 * time.Millisecond
	searchDelayMax = 1000 * time.Millisecond
	// listenerTimeout is how long a listener that does not ask again counts: three requests.
	listenerTimeout = 1500 * time.Millisecond
	// maxListeners bounds those of one balancer, whatever the size of the fleet: their
	// requests take some 0.1% of a core, and two levels hold 1,056 of them.
	maxListeners = 32
	// maxDepth bounds the levels below a balancer that watches.
	maxDepth = 6
	// gracePerLevel is the time that a listener gives its source to hear the store again
	// before it watches itself, for each level above the source: when the store is away
	// the upper levels alone try it at first. graceMost bounds it.
	gracePerLevel = 200 * time.Millisecond
	graceMax      = 400 * time.Millisecond
	// notifyInterval bounds how often listeners are told that the store has answered.
	notifyInterval = 100 * time.Millisecond
	// maxCandidates bounds the balancers that are remembered beside the seeds, which are asked
	// once the seeds have not answered seedTries times in a row.
	maxCandidates      = 8
	maxUnansweredSeeds = 3
	// minFleetToShare is the number of balancers from which on watches are shared: with
	// fewer, the answers that listeners rely on cost as much as is saved.
	minFleetToShare = 12
)

// Send is a message to the balancer of a host: news, or a request to listen if there
// are none.
type Send struct {
	To     netip.Addr
	News   *inner.News
	Follow inner.Follow
}

// State is that of one balancer. Times are counted by the steady clock from the
// process's start. It is owned by one caller at a time.
type State struct {
	self   netip.Addr
	random *rand.Rand
	seeds  []netip.Addr
	// candidates are other balancers that were heard of lately, in case no seed is left.
	candidates []netip.Addr
	start      start
	// asOf is the position up to which this process knows every change, heard when
	// the store last answered its own calls.
	asOf       store.Position
	lastAnswer time.Duration
	// source is the balancer that this one listens to, invalid while it watches; depth
	// is the number of levels up to the one that watches.
	source netip.Addr
	depth  uint8
	// sourceAsOf is the position that the source has sourceAsOf of, confirmed when the store last
	// answered the root, newsAt when the source's last news came.
	sourceAsOf          store.Position
	confirmed, lastNews time.Duration
	// asked is the balancer that was asked last and has not answered, nextAsk when
	// the next one is asked.
	asked   netip.Addr
	nextAsk time.Duration
	// unanswered counts requests to seeds since one has answered.
	unanswered int
	// listeners are the balancers that rely on this one, or wait until they can, with
	// their last requests; retold is when all were told last.
	listeners    map[netip.Addr]time.Duration
	lastNotified time.Duration
	// fleetSize is the highest number of balancers that was heard of lately.
	fleetSize int
	// leaving tells that the process has been told to stop.
	leaving bool
}

// New returns the state of a balancer that watches itself.
func New(self netip.Addr, random *rand.Rand) *State {
	return &State{self: self, random: random, listeners: make(map[netip.Addr]time.Duration)}
}

// SetSeeds names the hosts of some balancers; they may be gone.
func (s *State) SetSeeds(hosts []netip.Addr) {
	s.seeds = slices.DeleteFunc(slices.Clone(hosts), func(h netip.Addr) bool { return h == s.self })
}

// Source returns the balancer to listen to; ok is false for one that watches.
func (s *State) Source() (source netip.Addr, ok bool) { return s.source, s.source.IsValid() }

// Confirmed returns when the store last answered the root, 0 for never.
func (s *State) Confirmed() time.Duration { return s.confirmed }

// Behind reports whether the source has told of changes that are not known yet.
func (s *State) Behind() bool { return s.source.IsValid() && s.sourceAsOf > s.asOf }

// Listeners returns how many others rely on this balancer, or wait until they can.
func (s *State) Listeners(now time.Duration) int {
	for host, at := range s.listeners {
		if now-at > listenerTimeout {
			delete(s.listeners, host)
		}
	}
	return len(s.listeners)
}

// Heard notes that the store has answered this process.
func (s *State) Heard(now time.Duration) []Send {
	s.lastAnswer = now
	return s.notifyUnlessRecent(now)
}

// notifyUnlessRecent tells the listeners that the store has answered, unless they were told lately.
func (s *State) notifyUnlessRecent(now time.Duration) []Send {
	if s.asOf == 0 || s.lastNotified != 0 && now-s.lastNotified < notifyInterval || s.Listeners(now) == 0 {
		return nil
	}
	return s.notifyListeners(now)
}

// Known notes up to which position every change is known, and tells the listeners.
func (s *State) Known(now time.Duration, asOf store.Position) []Send {
	if asOf <= s.asOf {
		return nil
	}
	s.asOf = asOf
	if s.Listeners(now) == 0 {
		return nil
	}
	return s.notifyListeners(now)
}

func (s *State) notifyListeners(now time.Duration) []Send {
	s.lastNotified = now
	var out []Send
	for host := range s.listeners {
		out = append(out, s.newsFor(now, host))
	}
	return out
}

// newsFor returns news for a balancer.
func (s *State) newsFor(now time.Duration, to netip.Addr) Send {
	n := s.news(now)
	if other := s.anyListener(); other != to {
		n.Other = other
	}
	return Send{To: to, News: n}
}

// news returns what this process can tell now.
func (s *State) news(now time.Duration) *inner.News {
	n := &inner.News{
		Watches: s.canServe(now), AsOf: s.asOf, Age: now - s.lastAnswer, Source: s.source,
		Depth: s.depth, Balancers: s.balancers(now),
	}
	if s.source.IsValid() {
		n.Age = now - s.confirmed
	}
	return n
}

// balancers returns the size of the fleet, 0 while a process that has only just started
// can't know it.
func (s *State) balancers(now time.Duration) uint16 {
	n := max(s.fleetSize, len(s.listeners)+1)
	if n < minFleetToShare && now < sizeKnownAfter {
		return 0
	}
	return uint16(min(n, math.MaxUint16))
}

// canServe reports whether others may rely on what this process knows.
func (s *State) canServe(now time.Duration) bool {
	switch {
	case s.leaving || s.asOf == 0:
		return false
	case s.source.IsValid():
		return s.depth < maxDepth && now-s.confirmed < StaleAfter
	}
	return s.lastAnswer > 0 && now-s.lastAnswer < StaleAfter
}

// Request decides on the request of another balancer to listen to this one.
func (s *State) Request(now time.Duration, from netip.Addr, f inner.Follow) []Send {
	if from == s.self {
		return nil
	}
	_, listens := s.listeners[from]
	if s.source.IsValid() && !f.Below && !listens {
		return s.referToSource(now, from)
	}
	if f.Leads && !s.precedes(from) {
		return s.ask(now, from, false)
	}
	if from == s.asked && s.canServe(now) {
		if s.self.Compare(from) > 0 {
			return nil // both have asked: the lower address goes on watching
		}
		s.asked = netip.Addr{}
	}
	if !listens && s.Listeners(now) >= maxListeners {
		return s.referToListener(now, from)
	}
	if s.leaving {
		return []Send{s.newsFor(now, from)}
	}
	s.listeners[from] = now
	if !listens && len(s.listeners)+1 == minFleetToShare {
		return s.notifyListeners(now) // those that start wait only in a fleet of this size
	}
	return []Send{s.newsFor(now, from)}
}

// referToSource names the source of this balancer to one that asks.
func (s *State) referToSource(now time.Duration, from netip.Addr) []Send {
	if now-s.lastNews > silenceTimeout && !s.leaving {
		s.abandonSource(now) // its source is lost, and others ask for one that watches
	}
	n := s.news(now)
	n.Watches = false
	return []Send{{To: from, News: n}}
}

// referToListener names one of the listeners to a balancer that asks when there is no room.
func (s *State) referToListener(now time.Duration, from netip.Addr) []Send {
	n := s.news(now)
	n.Watches = false
	if s.canServe(now) {
		n.Source, n.Below = s.anyListener(), true
	}
	return []Send{{To: from, News: n}}
}

// anyListener returns a listener at random, the invalid address for none.
func (s *State) anyListener() netip.Addr {
	if len(s.listeners) == 0 {
		return netip.Addr{}
	}
	skip := s.random.IntN(len(s.listeners))
	for host := range s.listeners {
		if skip == 0 {
			return host
		}
		skip--
	}
	return netip.Addr{}
}

// News decides on what another balancer has told.
func (s *State) News(now time.Duration, from netip.Addr, n inner.News) []Send {
	if from != s.source && from != s.asked && !s.awaitsSeed(from) {
		return nil
	}
	s.remember(from)
	s.remember(n.Other)
	s.fleetSize = max(s.fleetSize, int(n.Balancers))
	if slices.Contains(s.seeds, from) {
		s.unanswered = 0
	}
	s.start.smallFleet = n.Balancers > 0 && n.Balancers < minFleetToShare
	if !n.Watches {
		return s.handleRefusal(now, from, n)
	}
	if n.AsOf.Era() < s.asOf.Era() {
		return s.handleRefusal(now, from, inner.News{}) // it has not noticed yet that the store came back older
	}
	if !s.accepts(now, from, n) {
		return nil
	}
	newer := now-n.Age > s.confirmed
	s.source, s.asked, s.depth = from, netip.Addr{}, n.Depth+1
	s.sourceAsOf, s.confirmed, s.lastNews = max(s.sourceAsOf, n.AsOf), max(s.confirmed, now-n.Age), now
	if newer {
		return s.notifyUnlessRecent(now)
	}
	return nil
}

// accepts reports whether this balancer listens to another one from now on, or goes on
// doing so.
func (s *State) accepts(now time.Duration, from netip.Addr, n inner.News) bool {
	switch {
	case s.leaving || n.Age >= StaleAfter || n.Depth >= maxDepth:
		return false
	case from == s.source:
		return true
	case s.fleetSize < minFleetToShare:
		return false
	case s.Listeners(now) == 0 || s.lacksListing():
		return true
	case !s.source.IsValid():
		return s.joinsWatcher(from, n)
	}
	return n.Depth <= s.depth // or it may listen to this process itself
}

// joinsWatcher reports whether a balancer that watches and has listeners listens to another one
// from now on, with them. That one watches, so it relies on none of them; and where two
// watch, one alone joinsWatcher the other: seeds go on watching, else the lower address does.
func (s *State) joinsWatcher(from netip.Addr, n inner.News) bool {
	return n.Depth == 0 && !s.precedes(from)
}

// precedes reports whether this balancer goes on watching, and not the other one.
func (s *State) precedes(other netip.Addr) bool {
	if s.start.seed || slices.Contains(s.seeds, other) {
		return s.start.seed
	}
	return s.self.Less(other)
}

// handleRefusal asks the one that another balancer names, or looks further.
func (s *State) handleRefusal(now time.Duration, from netip.Addr, n inner.News) []Send {
	if from == s.asked {
		s.asked = netip.Addr{}
	}
	if from == s.source {
		s.lastNews = min(s.lastNews, now-silenceTimeout-1) // ask others, while the last news holds
		s.nextAsk = now
	}
	if other := n.Source; other.IsValid() && other != s.self && other != from {
		s.remember(other)
		return s.ask(now, other, n.Below)
	}
	return nil
}

func (s *State) ask(now time.Duration, host netip.Addr, below bool) []Send {
	s.asked = host
	s.nextAsk = max(s.nextAsk, now+startRequestInterval)
	leads := !s.source.IsValid() && s.Listeners(now) > 0
	return []Send{{To: host, Follow: inner.Follow{Below: below, Leads: leads}}}
}

// askAny asks a seed, or another balancer that was heard of where no seed answers: all
// may be gone.
func (s *State) askAny(now time.Duration) []Send {
	if len(s.candidates) > 0 && (len(s.seeds) == 0 || s.unanswered >= maxUnansweredSeeds && s.random.IntN(2) == 0) {
		return s.ask(now, s.candidates[s.random.IntN(len(s.candidates))], false)
	}
	if len(s.seeds) == 0 {
		return nil
	}
	s.unanswered++
	return s.ask(now, s.seeds[s.random.IntN(len(s.seeds))], false)
}

// remember keeps a balancer that was heard of.
func (s *State) remember(host netip.Addr) {
	if !host.IsValid() || host == s.self || slices.Contains(s.seeds, host) || slices.Contains(s.candidates, host) {
		return
	}
	if len(s.candidates) < maxCandidates {
		s.candidates = append(s.candidates, host)
		return
	}
	s.candidates[s.random.IntN(maxCandidates)] = host
}

// Tick does what is due by time alone. balancers is the size of the fleet as far as
// is known.
func (s *State) Tick(now time.Duration, balancers int) []Send {
	s.fleetSize = max(s.fleetSize, balancers)
	switch {
	case s.leaving:
		return nil
	case s.source.IsValid():
		return s.tickListening(now)
	case s.lacksListing():
		return s.tickStarting(now)
	case s.fleetSize < minFleetToShare || s.start.seed && s.Listeners(now) > 0:
		return nil
	case now >= s.nextAsk:
		s.scheduleSearch(now)
		if now < sizeKnownAfter {
			s.nextAsk = now + startSearchInterval
		}
		return s.askAny(now)
	}
	return nil
}

// tickListening asks the source for news, others once it is silent, and gives up
// when what is known is too old.
func (s *State) tickListening(now time.Duration) []Send {
	if now-s.confirmed >= StaleAfter+s.grace(now) {
		s.abandonSource(now)
		return nil
	}
	if now < s.nextAsk {
		return nil
	}
	if now-s.lastNews <= silenceTimeout {
		s.nextAsk = now + renewInterval
		return []Send{{To: s.source, Follow: inner.Follow{Below: s.depth > 1}}}
	}
	s.nextAsk = now + askInterval
	return s.askAny(now)
}

// grace returns for how long a source that lives may yet hear the store.
func (s *State) grace(now time.Duration) time.Duration {
	if now-s.lastNews > silenceTimeout {
		return 0
	}
	return min(time.Duration(s.depth-1)*gracePerLevel, graceMax)
}

// abandonSource begins to abandonSource the store itself.
func (s *State) abandonSource(now time.Duration) {
	s.source, s.asked, s.sourceAsOf, s.depth = netip.Addr{}, netip.Addr{}, 0, 0
	s.scheduleSearch(now)
}

func (s *State) scheduleSearch(now time.Duration) {
	s.nextAsk = now + searchDelayMin + time.Duration(s.random.Int64N(int64(searchDelayMax-searchDelayMin)))
}

// Leave notes that the process has been told to stop, and tells its listeners.
func (s *State) Leave(now time.Duration) []Send {
	s.leaving = true
	return s.notifyListeners(now)
}
