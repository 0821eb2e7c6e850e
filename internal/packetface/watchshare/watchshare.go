// Package watchshare decides whether a balancer watches the platform's store itself or
// listens to another balancer, its source, which announces changes to it. The package makes
// no calls and reads no clock: messages of other balancers, answers of the store and the
// time are its input, and messages are its output. A message is either a watch request
// (inner.WatchRequest), which asks for changes, or a store update (inner.StoreUpdate), the
// state of the sender: whether it accepts listeners, and how recent its copy of the store
// is. The seeds are the balancers that the settings name as the first ones to ask. A
// listing is a balancer's copy of the configuration and the agent list in the store.
//
// Each call of the store is paid for, and each change ends the watch of every balancer.
// If each of 60 balancers watched the store, a release of 45 upstreams would cost
// thousands of calls, which is the highest cost of a normal day. With shared watches the
// number of calls grows with the number of changes only.
//
// There is no agreement and no election: any number of watching balancers is correct, even
// all. A balancer asks the seeds whether they watch the store. A seed that watches accepts
// the asking balancer as a listener; a seed that listens itself refers it to the seed's own
// source; a balancer that has no room refers it to one of its listeners, which accepts it.
// So the listeners of a watching balancer form a tree with that balancer as the root, and
// no host serves more than maxListeners. A balancer that has listeners continues to watch,
// unless it joins another watching balancer together with its listeners (see joinsWatcher).
// All store updates contain the time since the store last answered the root of the tree; a
// listener without a store update younger than StaleAfter watches the store itself.
//
// A balancer that has just started asks for a source before it reads the store; see
// start.go. How balancers learn whether the fleet is large enough to share watches is in
// size.go.
package watchshare

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/store"
)

// Intervals, time limits and bounds.
const (
	// StaleAfter is the age of the store's last answer from which a listener watches the
	// store itself. With the call of the store that follows, the listener receives a
	// change within the 3 s in which a configuration must be in force, however its source
	// fails.
	StaleAfter = 2 * time.Second
	// WatchWait is how long a watch waits if other balancers rely on it. Even if the store
	// is slow and takes 240 ms, the answer arrives within StaleAfter.
	WatchWait = 1400 * time.Millisecond
	// renewInterval is the time between two requests to the source, each of which the
	// source answers with a store update.
	renewInterval = 450 * time.Millisecond
	// silenceTimeout is the time without a store update of the source after which a
	// listener asks other balancers, while its own listing is still recent enough: the
	// source has not answered two requests.
	silenceTimeout = 2*renewInterval + 50*time.Millisecond
	// askInterval is the time between the requests that a listener sends to other
	// balancers after silenceTimeout.
	askInterval = 200 * time.Millisecond
	// searchDelayMin and searchDelayMax bound the time after which a watching balancer
	// without listeners searches for a source. The time is randomized, so that not all
	// balancers search at once.
	searchDelayMin = 300 * time.Millisecond
	searchDelayMax = 1000 * time.Millisecond
	// listenerTimeout is the time after a listener's last request from which it no longer
	// counts as a listener. Three renewals fit into this time.
	listenerTimeout = 1500 * time.Millisecond
	// maxListeners bounds the listeners of one balancer, whatever the size of the fleet.
	// The requests of 32 listeners take some 0.1% of a core, and two levels of a tree hold
	// 1,056 listeners.
	maxListeners = 32
	// maxDepth bounds the levels below a watching balancer.
	maxDepth = 6
	// gracePerLevel is the additional time that a listener waits for its source to reach
	// the store again before it watches the store itself, for each level between the
	// source and the root. So at the beginning of an outage only the upper levels of the
	// tree call the store.
	gracePerLevel = 200 * time.Millisecond
	// graceMax bounds the additional time that gracePerLevel adds up to.
	graceMax = 400 * time.Millisecond
	// notifyInterval is the minimum time between two notifications of the listeners that
	// the store has answered.
	notifyInterval = 100 * time.Millisecond
	// maxCandidates bounds the number of balancers that are remembered beside the seeds.
	maxCandidates = 8
	// maxUnansweredSeeds is the number of consecutive unanswered requests to seeds after
	// which the remembered balancers are asked, too.
	maxUnansweredSeeds = 3
	// minFleetToShare is the smallest number of balancers that share watches. In a
	// smaller fleet the answers to the requests of listeners cost as much as the shared
	// watches save.
	minFleetToShare = 12
)

// Send is a message to the balancer on the host To: a store update, or a watch request if
// StoreUpdate is nil.
type Send struct {
	To           netip.Addr
	StoreUpdate  *inner.StoreUpdate
	WatchRequest inner.WatchRequest
}

// State is the state of one balancer. Times are those of a monotonic clock since the
// start of the process. State is not safe for concurrent use.
type State struct {
	self   netip.Addr
	random *rand.Rand
	seeds  []netip.Addr
	// candidates are other balancers that have sent store updates or were named in them, to
	// be asked if no seed answers.
	candidates []netip.Addr
	start      start
	// asOf is the position up to which this process knows every change. lastAnswer is
	// when the store last answered a call of this process.
	asOf       store.Position
	lastAnswer time.Duration
	// source is the balancer that this one listens to, invalid while this one watches the
	// store. depth is the number of levels from this balancer up to the root.
	source netip.Addr
	depth  uint8
	// sourceAsOf is the position that the source has announced. confirmed is the time at
	// which the store last answered the root. lastStoreUpdate is the time at which the
	// source's last store update arrived.
	sourceAsOf                 store.Position
	confirmed, lastStoreUpdate time.Duration
	// asked is the balancer that was asked last and has not answered yet. awaited is the one
	// that last refused without naming another: it sends a store update once it can serve.
	// nextAsk is when the next balancer is asked.
	asked, awaited netip.Addr
	nextAsk        time.Duration
	// unanswered counts the requests to seeds since a seed last answered.
	unanswered int
	// listeners are the balancers that rely on this one, or wait until it has a listing,
	// with the times of their last requests. lastNotified is when all of them were last
	// sent a store update.
	listeners    map[netip.Addr]time.Duration
	lastNotified time.Duration
	// fleetSize is the highest number of balancers that was reported or counted so far.
	// size is how this process counts them and asks others for their counts.
	fleetSize int
	size      sizeCount
	// leaving is set once the process has been asked to stop.
	leaving bool
}

// New returns the state of a balancer that watches the store itself.
func New(self netip.Addr, random *rand.Rand) *State {
	return &State{self: self, random: random, listeners: make(map[netip.Addr]time.Duration), size: newSizeCount()}
}

// SetSeeds sets the hosts of the seeds. They may be down.
func (s *State) SetSeeds(hosts []netip.Addr) {
	s.seeds = slices.DeleteFunc(slices.Clone(hosts), func(h netip.Addr) bool { return h == s.self })
}

// Source returns the balancer to listen to. ok is false while this balancer watches the
// store.
func (s *State) Source() (source netip.Addr, ok bool) { return s.source, s.source.IsValid() }

// Confirmed returns when, according to the source, the store last answered the root, 0 if
// no source has reported an answer.
func (s *State) Confirmed() time.Duration { return s.confirmed }

// Behind reports whether the source has announced changes that this process lacks.
func (s *State) Behind() bool { return s.source.IsValid() && s.sourceAsOf > s.asOf }

// Listeners returns the number of balancers that rely on this one, or wait until it has a
// listing. It removes those whose last request is too old.
func (s *State) Listeners(now time.Duration) int {
	for host, at := range s.listeners {
		if now-at > listenerTimeout {
			delete(s.listeners, host)
		}
	}
	return len(s.listeners)
}

// StoreAnswered records that the store has answered this process.
func (s *State) StoreAnswered(now time.Duration) []Send {
	s.lastAnswer = now
	return s.notifyUnlessRecent(now)
}

// notifyUnlessRecent notifies the listeners that the store has answered, unless they were
// notified less than notifyInterval ago.
func (s *State) notifyUnlessRecent(now time.Duration) []Send {
	if s.asOf == 0 || s.lastNotified != 0 && now-s.lastNotified < notifyInterval || s.Listeners(now) == 0 {
		return nil
	}
	return s.notifyListeners(now)
}

// SetKnown records the position up to which this process knows every change, and notifies
// the listeners.
func (s *State) SetKnown(now time.Duration, asOf store.Position) []Send {
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
	for _, host := range s.sortedListeners() {
		out = append(out, s.storeUpdateFor(now, host))
	}
	return out
}

// sortedListeners returns the listeners in the order of their addresses, so that decisions
// depend on the random source only, not on the order of a map.
func (s *State) sortedListeners() []netip.Addr {
	return slices.SortedFunc(maps.Keys(s.listeners), netip.Addr.Compare)
}

// storeUpdateFor returns a message with a store update for a balancer. The store update
// names another listener that the receiver can ask for a source when this balancer fails.
func (s *State) storeUpdateFor(now time.Duration, to netip.Addr) Send {
	u := s.storeUpdate(now)
	if other := s.anyListener(); other != to {
		u.OtherListener = other
	}
	return Send{To: to, StoreUpdate: u}
}

// storeUpdate returns the current state of this process for other balancers.
func (s *State) storeUpdate(now time.Duration) *inner.StoreUpdate {
	u := &inner.StoreUpdate{
		AcceptsListeners: s.canServe(now), AsOf: s.asOf, Age: now - s.lastAnswer, Source: s.source,
		Depth: s.depth, Balancers: s.balancers(now),
	}
	if s.source.IsValid() {
		u.Age = now - s.confirmed
	}
	return u
}

// balancers returns the size of the fleet, or 0 if the process has started too recently
// to know it.
func (s *State) balancers(now time.Duration) uint16 {
	n := max(s.fleetSize, len(s.listeners)+1)
	if n < minFleetToShare && now < sizeKnownAfter {
		return 0
	}
	return uint16(min(n, math.MaxUint16))
}

// canServe reports whether other balancers may use this one as their source: it has a
// listing, and the last answer of the store that it knows of is recent enough.
func (s *State) canServe(now time.Duration) bool {
	switch {
	case s.leaving || s.asOf == 0:
		return false
	case s.source.IsValid():
		return s.depth < maxDepth && now-s.confirmed < StaleAfter
	}
	return s.lastAnswer > 0 && now-s.lastAnswer < StaleAfter
}

// HandleWatchRequest handles the watch request of another balancer.
func (s *State) HandleWatchRequest(now time.Duration, from netip.Addr, r inner.WatchRequest) []Send {
	if from == s.self {
		return nil
	}
	s.countRequest(now, from, r)
	if r.SizeOnly {
		return []Send{{To: from, StoreUpdate: s.storeUpdate(now)}}
	}
	_, listens := s.listeners[from]
	if s.source.IsValid() && !r.Redirected && !listens {
		return s.referToSource(now, from)
	}
	if r.Root && !s.precedes(from) {
		return s.ask(now, from, false)
	}
	if from == s.asked && s.canServe(now) {
		if s.self.Compare(from) > 0 {
			return nil // both have asked each other; the lower address continues to watch
		}
		s.asked = netip.Addr{}
	}
	if !listens && s.Listeners(now) >= maxListeners {
		return s.referToListener(now, from)
	}
	if s.leaving {
		return []Send{s.storeUpdateFor(now, from)}
	}
	s.listeners[from] = now
	if !listens && len(s.listeners)+1 == minFleetToShare {
		return s.notifyListeners(now) // starting balancers wait longer in a large fleet
	}
	return []Send{s.storeUpdateFor(now, from)}
}

// referToSource refers a balancer to the source of this one. If the source is silent,
// this balancer watches the store itself, because others need a source that works.
func (s *State) referToSource(now time.Duration, from netip.Addr) []Send {
	if now-s.lastStoreUpdate > silenceTimeout && !s.leaving {
		s.abandonSource(now)
	}
	u := s.storeUpdate(now)
	u.AcceptsListeners = false
	return []Send{{To: from, StoreUpdate: u}}
}

// referToListener refers a balancer to one of the listeners, because there is no room for
// another one.
func (s *State) referToListener(now time.Duration, from netip.Addr) []Send {
	u := s.storeUpdate(now)
	u.AcceptsListeners = false
	if s.canServe(now) {
		u.Source, u.Redirects = s.anyListener(), true
	}
	return []Send{{To: from, StoreUpdate: u}}
}

// anyListener returns a random listener, or the invalid address if there is none.
func (s *State) anyListener() netip.Addr {
	if len(s.listeners) == 0 {
		return netip.Addr{}
	}
	return s.sortedListeners()[s.random.IntN(len(s.listeners))]
}

// HandleStoreUpdate handles a store update of another balancer. Of a store update whose
// sender is neither the source nor the balancer asked last, it uses only the size of the
// fleet, and that only if the sender is a seed, unless awaits allows the sender.
func (s *State) HandleStoreUpdate(now time.Duration, from netip.Addr, u inner.StoreUpdate) []Send {
	if slices.Contains(s.seeds, from) {
		s.fleetSize = max(s.fleetSize, int(u.Balancers))
	}
	if from != s.source && from != s.asked && !s.awaits(from) {
		return nil
	}
	s.remember(from)
	s.remember(u.OtherListener)
	s.fleetSize = max(s.fleetSize, int(u.Balancers))
	if slices.Contains(s.seeds, from) {
		s.unanswered = 0
	}
	s.start.smallFleet = u.Balancers > 0 && u.Balancers < minFleetToShare
	if !u.AcceptsListeners {
		return s.handleRefusal(now, from, u)
	}
	if u.AsOf.Era() < s.asOf.Era() {
		return s.handleRefusal(now, from, inner.StoreUpdate{}) // the sender has not detected a restore of the store yet
	}
	if !s.accepts(now, from, u) {
		return nil
	}
	newer := now-u.Age > s.confirmed
	s.source, s.asked, s.depth = from, netip.Addr{}, u.Depth+1
	s.sourceAsOf, s.confirmed, s.lastStoreUpdate = max(s.sourceAsOf, u.AsOf), max(s.confirmed, now-u.Age), now
	if newer {
		return s.notifyUnlessRecent(now)
	}
	return nil
}

// accepts reports whether this balancer uses the sender of the store update as its source,
// or continues to do so.
func (s *State) accepts(now time.Duration, from netip.Addr, u inner.StoreUpdate) bool {
	switch {
	case s.leaving || u.Age >= StaleAfter || u.Depth >= maxDepth:
		return false
	case from == s.source:
		return true
	case s.fleetSize < minFleetToShare:
		return false
	case s.Listeners(now) == 0 || s.lacksListing():
		return true
	case !s.source.IsValid():
		return s.joinsWatcher(from, u)
	}
	return u.Depth <= s.depth // a sender at a deeper level may be a listener of this process
}

// joinsWatcher reports whether this balancer, which watches the store and has listeners,
// becomes a listener of the sender of a store update and keeps its own listeners. The
// sender must watch the store, so it cannot be a listener of this balancer. Of two watching
// balancers at most one joins the other: seeds always continue to watch, and of two
// balancers that are no seeds the one with the lower address continues.
func (s *State) joinsWatcher(from netip.Addr, u inner.StoreUpdate) bool {
	return u.Depth == 0 && !s.precedes(from)
}

// precedes reports whether this balancer, rather than the other one, continues to watch the
// store.
func (s *State) precedes(other netip.Addr) bool {
	if s.start.seed || slices.Contains(s.seeds, other) {
		return s.start.seed
	}
	return s.self.Less(other)
}

// awaits reports whether this balancer, which has no source, accepts a store update from a
// host that it did not ask last: from any seed while it has no listing, and from the host
// that last refused. In an outage of the store all balancers refuse. Without the store
// update that follows the outage, a balancer would find a source only with its next search,
// and not even then if it is referred to another one that still searches.
func (s *State) awaits(host netip.Addr) bool {
	return !s.source.IsValid() && (host == s.awaited || s.lacksListing() && slices.Contains(s.seeds, host))
}

// handleRefusal handles a store update whose sender cannot become or remain the source of
// this balancer. It asks the balancer that the sender names instead, if any. If the sender is
// the source, handleRefusal also makes the next tick ask other balancers.
func (s *State) handleRefusal(now time.Duration, from netip.Addr, u inner.StoreUpdate) []Send {
	if from == s.asked {
		s.asked = netip.Addr{}
	}
	if from == s.source {
		s.lastStoreUpdate = min(s.lastStoreUpdate, now-silenceTimeout-1) // ask other balancers while the last store update is still recent enough
		s.nextAsk = now
	}
	if other := u.Source; other.IsValid() && other != s.self && other != from {
		s.remember(other)
		return s.ask(now, other, u.Redirects)
	}
	s.awaited = from
	return nil
}

// ask returns a watch request to a balancer. redirected is set if the source of the
// requested balancer has referred this balancer to it.
func (s *State) ask(now time.Duration, host netip.Addr, redirected bool) []Send {
	s.asked = host
	s.nextAsk = max(s.nextAsk, now+startRequestInterval)
	root := !s.source.IsValid() && s.Listeners(now) > 0
	return []Send{s.watchRequest(host, inner.WatchRequest{Redirected: redirected, Root: root})}
}

// askAny asks a random seed. After maxUnansweredSeeds requests without an answer, or if
// there are no seeds, it may ask one of the candidates instead: all seeds may be down.
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

// remember adds a balancer to the candidates. If there are maxCandidates already, the
// balancer replaces a random one.
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

// Tick sends the watch requests that are due, and abandons a source whose data is too old.
// balancers is the size of the fleet as far as it is known.
func (s *State) Tick(now time.Duration, balancers int) []Send {
	s.fleetSize = max(s.fleetSize, balancers)
	switch {
	case s.leaving:
		return nil
	case s.source.IsValid():
		return s.tickListening(now)
	case s.lacksListing():
		return s.tickStarting(now)
	case s.fleetSize < minFleetToShare:
		return s.tickSize(now)
	case s.start.seed && s.Listeners(now) > 0:
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

// tickListening requests a store update from the source, asks other balancers if the source
// is silent, and abandons the source if the last confirmed answer of the store is too old.
func (s *State) tickListening(now time.Duration) []Send {
	if now-s.confirmed >= StaleAfter+s.grace(now) {
		s.abandonSource(now)
		return nil
	}
	if now < s.nextAsk {
		return nil
	}
	if now-s.lastStoreUpdate <= silenceTimeout {
		s.nextAsk = now + renewInterval
		return []Send{s.watchRequest(s.source, inner.WatchRequest{Redirected: s.depth > 1})}
	}
	s.nextAsk = now + askInterval
	return s.askAny(now)
}

// grace returns the additional time that the source has to reach the store again if the
// source still sends store updates, and 0 if the source is silent.
func (s *State) grace(now time.Duration) time.Duration {
	if now-s.lastStoreUpdate > silenceTimeout {
		return 0
	}
	return min(time.Duration(s.depth-1)*gracePerLevel, graceMax)
}

// abandonSource makes the balancer watch the store itself.
func (s *State) abandonSource(now time.Duration) {
	s.source, s.asked, s.awaited, s.sourceAsOf, s.depth = netip.Addr{}, netip.Addr{}, netip.Addr{}, 0, 0
	s.scheduleSearch(now)
}

// scheduleSearch sets a random time for the next search for a source.
func (s *State) scheduleSearch(now time.Duration) {
	s.nextAsk = now + searchDelayMin + time.Duration(s.random.Int64N(int64(searchDelayMax-searchDelayMin)))
}

// Stop records that the process has been asked to stop, and notifies its listeners.
func (s *State) Stop(now time.Duration) []Send {
	s.leaving = true
	return s.notifyListeners(now)
}
