package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/saltbend/saltbend/internal/member"
)

const (
	// fanOut is the number of balancers to which a balancer forwards transitions.
	fanOut = 4
	// balancerSampleSize is the number of live balancers in the reply to a
	// renewal.
	balancerSampleSize = 16
	// jitterDivisor sets the jitter of a period: up to one fifth of the period is
	// added or subtracted.
	jitterDivisor = 5
)

// cursor records up to which change this process has received a balancer's table
// (epoch is the balancer's incarnation, seq its change number), and when the
// balancer last answered.
type cursor struct {
	epoch, seq uint64
	at         time.Time
}

// Engine runs the membership protocol of one process. It is not safe for
// concurrent use: one goroutine owns it.
type Engine struct {
	self   member.Member
	table  *member.Table
	timing Timing
	rand   *rand.Rand
	budget *rate.Limiter

	// join holds the addresses to announce to while no balancer is known, and
	// until each of them has answered.
	join []netip.AddrPort
	// cursors has one entry per balancer that has answered a renewal of this
	// process.
	cursors map[netip.AddrPort]cursor
	// witnesses are the balancers at which the process renews.
	witnesses []netip.AddrPort
	// backoffs holds the balancers that failed to answer.
	backoffs map[netip.AddrPort]backoff
	outbox   outbox
	suspects *member.Suspects
	// watched holds the members for which this balancer is a witness.
	watched map[netip.AddrPort]*watch
	// eligibleSet identifies the set of eligible balancers from which watched was
	// last computed.
	eligibleSet uint64
	// eligible are the live balancers that nobody suspects: they can be
	// witnesses.
	eligible *member.Candidates
	// live are the live balancers; liveSet identifies the set of balancers that
	// live was built from.
	live    *member.Candidates
	liveSet uint64
	// retained is the number of members that enough witnesses suspect, but that
	// the panic threshold protects from being declared gone.
	retained  int
	lastWatch time.Time
	// tableFetched is set once the table of another balancer has been fetched.
	tableFetched bool
	// deferred counts the messages that the byte budget has delayed.
	deferred uint64

	nextAnnounce time.Time
	nextDigest   time.Time
	nextExpire   time.Time
	nextFind     time.Time
	actions      []Action
}

// New returns an engine for the process with the record self.
func New(self member.Member, timing Timing, random *rand.Rand) *Engine {
	e := &Engine{
		self:     self,
		table:    member.NewTable(timing.Tombstone),
		timing:   timing,
		rand:     random,
		budget:   rate.NewLimiter(rate.Limit(timing.BytesPerSecond), timing.BurstBytes),
		cursors:  make(map[netip.AddrPort]cursor),
		backoffs: make(map[netip.AddrPort]backoff),
		watched:  make(map[netip.AddrPort]*watch),
	}
	e.suspects = member.NewSuspects(e.table)
	e.eligible = member.NewCandidates(nil)
	e.live = member.NewCandidates(nil)
	e.table.Merge(self, time.Time{})
	return e
}

// Self returns the process's own record.
func (e *Engine) Self() member.Member { return e.self }

// Table returns the table of the known members. The engine's owner must not
// change it.
func (e *Engine) Table() *member.Table { return e.table }

// SetJoin sets the addresses to announce to while no balancer is known, and until
// each of them has answered.
func (e *Engine) SetJoin(addrs []netip.AddrPort) { e.join = addrs }

// SetRevision records the configuration revision in force. On a balancer, the
// next call of Actions sends it to the neighbours.
func (e *Engine) SetRevision(revision uint64) {
	e.self.Revision = revision
	e.table.NoteRevision(e.self.Control, e.self.Incarnation, revision)
	e.outbox.sendClaim = e.isBalancer()
}

// Update changes the process's own record and announces the change at once.
func (e *Engine) Update(now time.Time, change func(*member.Member)) {
	next := e.self
	change(&next)
	if next == e.self {
		return
	}
	next.Version++
	e.publishSelf(now, next)
}

// Leave marks the process gone and returns the actions that inform its
// witnesses and neighbours. After Leave, Actions returns nothing.
func (e *Engine) Leave(now time.Time) []Action {
	e.Update(now, func(m *member.Member) { m.State = member.StateGone })
	e.chooseWitnesses(now)
	for _, w := range e.witnesses {
		e.emit(SendAnnounce{To: w, Message: Announce{Self: e.self}})
	}
	e.push(now)
	out := e.actions
	e.actions = nil
	return out
}

// publishSelf replaces the process's own record by next and announces it.
func (e *Engine) publishSelf(now time.Time, next member.Member) {
	before := e.self
	e.self = next
	e.table.Merge(next, now)
	e.enqueue(next, before)
	e.nextAnnounce = now
}

// Actions returns the actions due at now. The engine's owner must call Actions
// after each message and every few hundred milliseconds.
func (e *Engine) Actions(now time.Time) []Action {
	if e.self.State == member.StateGone {
		return nil
	}
	e.announce(now)
	e.watch(now)
	e.push(now)
	e.reconcile(now)
	e.expire(now)
	out := e.actions
	e.actions = nil
	return out
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// balancers returns the live balancers as candidates for rendezvous hashing.
func (e *Engine) balancers() *member.Candidates {
	if set := e.table.BalancerSet(); set != e.liveSet {
		e.live, e.liveSet = member.NewCandidates(e.table.Balancers()), set
	}
	return e.live
}

func (e *Engine) isBalancer() bool { return e.self.Role == member.RoleBalancer }

// merge adds a record to the table, forwards it if it is newer than the known
// record, and reports whether it was newer.
func (e *Engine) merge(now time.Time, m member.Member) bool {
	if m.Control == e.self.Control {
		e.refute(now, m)
		return false
	}
	if e.rejectsDeclaration(now, m) {
		return false
	}
	before, known := e.table.Get(m.Control)
	if !e.table.Merge(m, now) {
		return false
	}
	if m.State != member.StateGone {
		delete(e.backoffs, m.Control)
	}
	e.emitNotice(before, known, m)
	e.enqueue(m, before)
	e.updateWatch(now, m, before)
	return true
}

// rejectsDeclaration reports whether the record declares a member gone that has
// exchanged a renewal with this process recently. Such a record is not merged; it
// becomes a suspicion, which the member refutes with its next renewal.
func (e *Engine) rejectsDeclaration(now time.Time, m member.Member) bool {
	known, ok := e.table.Get(m.Control)
	if !ok || !m.Declared || known.State == member.StateGone || !m.Supersedes(known) || !e.recentlyAnswered(now, m.Control) {
		return false
	}
	e.suspects.Add(suspicionOf(known, e.self.Control, member.Unreachable), now)
	return true
}

// emitNotice emits a notice, for the timeline, about what a merged record changed.
func (e *Engine) emitNotice(before member.Member, known bool, m member.Member) {
	switch {
	case !known || before.Incarnation != m.Incarnation:
		e.emit(Notice{Kind: NoticeJoined, Member: m})
	case m.Declared:
		e.emit(Notice{Kind: NoticeDeclared, Member: m})
	case before.Declared:
		e.emit(Notice{Kind: NoticeReturned, Member: m})
	case before.State != m.State:
		e.emit(Notice{Kind: NoticeState, Member: m})
	}
}

// refute handles a received record of this process that supersedes the one that the
// process published, such as a false declaration that it is gone. Unless the process
// is leaving, it publishes a record that supersedes the received one.
func (e *Engine) refute(now time.Time, m member.Member) {
	if m.Supersedes(e.self) && e.self.State != member.StateGone {
		e.supersede(now, m)
	}
}

// supersede raises the version, and if needed the incarnation, of the process's
// own record above that of m and publishes it.
func (e *Engine) supersede(now time.Time, m member.Member) {
	next := e.self
	if m.Incarnation > next.Incarnation {
		next.Incarnation = m.Incarnation + 1
	}
	next.Version = max(next.Version, m.Version) + 1
	e.publishSelf(now, next)
	e.emit(Notice{Kind: NoticeRefuted, Member: next})
}

func (e *Engine) expire(now time.Time) {
	if now.Before(e.nextExpire) {
		return
	}
	e.nextExpire = now.Add(time.Minute)
	e.table.Expire(now)
	for addr, s := range e.backoffs {
		if now.Sub(s.until) > time.Minute {
			delete(e.backoffs, addr)
		}
	}
	for addr, c := range e.cursors {
		inUse := slices.Contains(e.witnesses, addr) || slices.Contains(e.join, addr)
		if !inUse && now.Sub(c.at) > time.Minute {
			delete(e.cursors, addr)
		}
	}
}

// jitter returns a random duration, uniformly distributed between d-d/5 and
// d+d/5.
func (e *Engine) jitter(d time.Duration) time.Duration {
	span := int64(d) / jitterDivisor
	return d - time.Duration(span) + time.Duration(e.rand.Int64N(2*span+1))
}
