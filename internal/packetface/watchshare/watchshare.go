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
// takes it in, one that listens itself names the one it listens to. A balancer that
// others listen to goes on watching. Each piece of news tells how long ago the store
// last answered; a listener that has no news younger than StaleAfter watches itself.
package watchshare

import (
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
	// renewEvery is the time between two requests to the source, each of which is
	// answered with news.
	renewEvery = 450 * time.Millisecond
	// missedAfter is the time without news after which a listener asks others, while
	// it still has some time left.
	missedAfter = 1100 * time.Millisecond
	// askEvery is the time between requests to others then.
	askEvery = 200 * time.Millisecond
	// lookLeast and lookMost bound the time after which a watcher without listeners
	// looks for one to listen to, spread so that not all ask at once.
	lookLeast = 300 * time.Millisecond
	lookMost  = 1500 * time.Millisecond
	// listenerTime is how long a listener that does not ask again counts.
	listenerTime = 2 * time.Second
	// maxListeners bounds those of one watcher: at two requests and answers a second
	// each they take some 1% of a core.
	maxListeners = 256
	// fleetLeast is the number of balancers from which on watches are shared: with
	// fewer, the answers that listeners rely on cost as much as is saved.
	fleetLeast = 12
)

// Send is a message to the balancer of a host: news, or a request to listen if there
// are none.
type Send struct {
	To   netip.Addr
	News *inner.News
}

// State is that of one balancer. Times are counted by the steady clock from the
// process's start. It is owned by one caller at a time.
type State struct {
	self   netip.Addr
	random *rand.Rand
	seeds  []netip.Addr
	// asOf is the position up to which this process knows every change, heard when
	// the store last answered its own calls.
	asOf  store.Position
	heard time.Duration
	// source is the balancer that this one listens to, invalid while it watches.
	source netip.Addr
	// told is the position that the source has told of, confirmed when the store last
	// answered it, newsAt when its last news came.
	told              store.Position
	confirmed, newsAt time.Duration
	// asked is the balancer that was asked last and has not answered, nextAsk when
	// the next one is asked.
	asked   netip.Addr
	nextAsk time.Duration
	// listeners are the balancers that rely on this one, with their last requests;
	// leaving tells that it has been told to stop.
	listeners map[netip.Addr]time.Duration
	leaving   bool
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

// Confirmed returns when the store last answered the source, 0 for never.
func (s *State) Confirmed() time.Duration { return s.confirmed }

// Behind reports whether the source has told of changes that are not known yet.
func (s *State) Behind() bool { return s.source.IsValid() && s.told > s.asOf }

// Listeners returns how many others rely on this balancer's watch.
func (s *State) Listeners(now time.Duration) int {
	for host, at := range s.listeners {
		if now-at > listenerTime {
			delete(s.listeners, host)
		}
	}
	return len(s.listeners)
}

// Heard notes that the store has answered this process.
func (s *State) Heard(now time.Duration) { s.heard = now }

// Known notes up to which position every change is known, and tells the listeners.
func (s *State) Known(now time.Duration, asOf store.Position) []Send {
	if asOf <= s.asOf {
		return nil
	}
	s.asOf = asOf
	if s.source.IsValid() || s.Listeners(now) == 0 {
		return nil
	}
	return s.tellAll(now)
}

func (s *State) tellAll(now time.Duration) []Send {
	var out []Send
	for host := range s.listeners {
		out = append(out, Send{To: host, News: s.news(now)})
	}
	return out
}

// news returns what this process can tell now.
func (s *State) news(now time.Duration) *inner.News {
	return &inner.News{Watches: s.watches(now), AsOf: s.asOf, Age: now - s.heard, Source: s.source}
}

// watches reports whether others may rely on this process's watch.
func (s *State) watches(now time.Duration) bool {
	return !s.leaving && !s.source.IsValid() && s.heard > 0 && now-s.heard < StaleAfter
}

// Request decides on the request of another balancer to listen to this one.
func (s *State) Request(now time.Duration, from netip.Addr) []Send {
	if from == s.self {
		return nil
	}
	if s.source.IsValid() && now-s.newsAt > missedAfter && !s.leaving {
		s.watch(now) // its source is lost, and others ask for one that watches
	}
	if from == s.asked && s.watches(now) {
		if s.self.Compare(from) > 0 {
			return nil // both have asked: the lower address goes on watching
		}
		s.asked = netip.Addr{}
	}
	if !s.watches(now) {
		return []Send{{To: from, News: s.news(now)}}
	}
	_, known := s.listeners[from]
	if !known && s.Listeners(now) >= maxListeners {
		return nil
	}
	s.listeners[from] = now
	return []Send{{To: from, News: s.news(now)}}
}

// News decides on what another balancer has told.
func (s *State) News(now time.Duration, from netip.Addr, n inner.News) []Send {
	if from != s.source && from != s.asked {
		return nil
	}
	if !n.Watches {
		return s.refused(now, from, n.Source)
	}
	if n.AsOf.Era() < s.asOf.Era() {
		return s.refused(now, from, netip.Addr{}) // it has not noticed yet that the store came back older
	}
	if s.leaving || from != s.source && s.Listeners(now) > 0 {
		return nil // others rely on this process's watch
	}
	if n.Age >= StaleAfter {
		return nil
	}
	s.source, s.asked = from, netip.Addr{}
	s.told, s.confirmed, s.newsAt = max(s.told, n.AsOf), max(s.confirmed, now-n.Age), now
	return nil
}

// refused asks the one that another balancer listens to, or looks further.
func (s *State) refused(now time.Duration, from, other netip.Addr) []Send {
	if from == s.asked {
		s.asked = netip.Addr{}
	}
	if from == s.source {
		s.newsAt = min(s.newsAt, now-missedAfter-1) // ask others, while the last news holds
		s.nextAsk = now
	}
	if !other.IsValid() || other == s.self || other == from {
		return nil
	}
	return s.ask(now, other)
}

func (s *State) ask(now time.Duration, host netip.Addr) []Send {
	s.asked = host
	return []Send{{To: host}}
}

// Tick does what is due by time alone. balancers is the size of the fleet as far as
// is known.
func (s *State) Tick(now time.Duration, balancers int) []Send {
	switch {
	case s.leaving:
		return nil
	case s.source.IsValid():
		return s.tickListening(now)
	case balancers < fleetLeast || len(s.seeds) == 0 || s.heard == 0 || s.Listeners(now) > 0:
		return nil
	case now >= s.nextAsk: // at once after the start
		s.lookLater(now)
		return s.ask(now, s.seeds[s.random.IntN(len(s.seeds))])
	}
	return nil
}

// tickListening asks the source for news, others once it is silent, and gives up
// when what is known is too old.
func (s *State) tickListening(now time.Duration) []Send {
	if now-s.confirmed >= StaleAfter {
		s.watch(now)
		return nil
	}
	if now < s.nextAsk {
		return nil
	}
	if now-s.newsAt <= missedAfter || len(s.seeds) == 0 {
		s.nextAsk = now + renewEvery
		return []Send{{To: s.source}}
	}
	s.nextAsk = now + askEvery
	return s.ask(now, s.seeds[s.random.IntN(len(s.seeds))])
}

// watch begins to watch the store itself.
func (s *State) watch(now time.Duration) {
	s.source, s.asked, s.told = netip.Addr{}, netip.Addr{}, 0
	s.lookLater(now)
}

func (s *State) lookLater(now time.Duration) {
	s.nextAsk = now + lookLeast + time.Duration(s.random.Int64N(int64(lookMost-lookLeast)))
}

// Leave notes that the process has been told to stop, and tells its listeners.
func (s *State) Leave(now time.Duration) []Send {
	s.leaving = true
	return s.tellAll(now)
}
