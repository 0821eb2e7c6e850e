package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Under overload that lasts, some callers have to be refused. If they were chosen at random,
// nearly every caller would be refused once, return, and be answered late. So the choice is
// by the caller's rank, which all hosts compute alike: the same callers are refused
// wherever they try, also when they return, and all others are answered at their first
// attempt. Ranks are drawn anew with each epoch, so that no caller is refused for long.

// EpochLength is the duration of an epoch. A caller and its retries see the same ranks: a
// request with its retries takes up to half a second if each attempt is refused at once.
const EpochLength = 2 * time.Second

// Epochs counts the epochs of ranks. Each process counts them on its own clock and adopts a
// newer epoch that another process reports. Epochs are numbers of a byte compared by serial
// number arithmetic (RFC 1982).
type Epochs struct {
	current uint8
	began   time.Duration
}

// At returns the current epoch.
func (e *Epochs) At(now time.Duration) uint8 {
	if passed := (now - e.began) / EpochLength; passed > 0 {
		e.current += uint8(passed)
		e.began += passed * EpochLength
	}
	return e.current
}

// Observe adopts an epoch that another process reports if it is newer. Of two that are
// equally far apart in both directions the higher one is adopted, so that processes agree.
func (e *Epochs) Observe(now time.Duration, reported uint8) {
	current := e.At(now)
	ahead := reported - current
	opposite := ahead == 1<<7 && reported > current
	if int8(ahead) > 0 || opposite {
		e.current, e.began = reported, now
	}
}

// Standing orders opening packets under overload that lasts: the lowest is refused first. Its
// upper byte is the urgency of the route, 255 less the priority and at least 1; its lower
// byte is the rank of the caller.
type Standing uint16

// StandingOf returns the standing of an opening packet.
func StandingOf(priority, rank uint8) Standing {
	return Standing(math.MaxUint8-min(priority, math.MaxUint8-1))<<8 | Standing(rank)
}

// Priority returns the priority of the route.
func (s Standing) Priority() uint8 { return math.MaxUint8 - uint8(s>>8) }

// rank returns the rank of the caller.
func (s Standing) rank() uint8 { return uint8(s) }

// heavyRank is the rank of callers that have had more than their share.
const heavyRank = 0

// Rank returns a caller's rank in an epoch; callers of lower ranks are refused first.
func Rank(caller [4]byte, epoch uint8) uint8 {
	return uint8(xxhash.Sum64([]byte{caller[0], caller[1], caller[2], caller[3], epoch}) >> 56)
}

const (
	// shareBuckets is the number of buckets over which callers are distributed. A caller
	// shares its bucket with others only until the next epoch.
	shareBuckets = 256
	// shareHalfLife is the time after which a request counts half.
	shareHalfLife = time.Second
	// heavyFactor is the multiple of the other callers' mean share from which on a caller is
	// heavy: callers whose requests come at random rarely exceed it.
	heavyFactor = 4
	// heavyMinimum is the number of recent requests below which no caller is heavy.
	heavyMinimum = 3
	// leastShare is the count below which a bucket does not count among the others: its
	// callers want nothing at present.
	leastShare = 0.5
)

// Shares records how many requests of each caller an agent has admitted recently, in
// bounded memory. The zero value is ready to use.
type Shares struct {
	buckets [shareBuckets]share
}

// share is a count that halves every shareHalfLife.
type share struct {
	count float32
	at    time.Duration
}

func (s *share) value(now time.Duration) float32 {
	halves := int((now - s.at) / shareHalfLife)
	if halves > 0 {
		s.at += time.Duration(halves) * shareHalfLife
		s.count /= float32(uint64(1) << min(halves, 32))
	}
	return s.count
}

func (s *share) add(now time.Duration) { s.count = s.value(now) + 1 }

func bucketOf(caller [4]byte, epoch uint8) uint8 {
	return uint8(xxhash.Sum64([]byte{epoch, caller[3], caller[2], caller[1], caller[0]}))
}

// Add records a request that is admitted.
func (s *Shares) Add(now time.Duration, caller [4]byte, epoch uint8) {
	s.buckets[bucketOf(caller, epoch)].add(now)
}

// Heavy reports whether a caller has recently had far more requests admitted than the mean
// of the other callers.
func (s *Shares) Heavy(now time.Duration, caller [4]byte, epoch uint8) bool {
	at := bucketOf(caller, epoch)
	own := s.buckets[at].value(now)
	if own < heavyMinimum {
		return false
	}
	mean := s.meanOfOthers(now, at)
	return mean > 0 && own > heavyFactor*mean
}

// meanOfOthers returns the mean count of the buckets in use other than the given one, 0 if
// there is none.
func (s *Shares) meanOfOthers(now time.Duration, own uint8) float32 {
	var sum, used float32
	for i := range s.buckets {
		count := s.buckets[i].value(now)
		if uint8(i) == own || count < leastShare {
			continue
		}
		sum += count
		used++
	}
	return sum / max(used, 1)
}
