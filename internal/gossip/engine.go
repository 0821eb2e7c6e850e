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
	// fanOut is the number of balancers to which a balancer passes transitions.
	fanOut = 4
	// balancerSample is the number of balancers that an agent is told of.
	balancerSample = 16
	// jitterShare is the part of a period by which it may be shorter or longer.
	jitterShare = 5
)

// cursor says up to where a balancer's table is known.
type cursor struct {
	epoch, seq uint64
	at         time.Time
}

// Engine decides for one process. It belongs to one goroutine.
type Engine struct {
	self   member.Member
	table  *member.Table
	timing Timing
	rand   *rand.Rand
	budget *rate.Limiter

	// join are addresses to announce to while no balancer is known.
	join []netip.AddrPort
	// cursors are kept per balancer that the process renews at.
	cursors map[netip.AddrPort]cursor
	// witnesses are the balancers at which the process renews.
	witnesses []netip.AddrPort
	// avoid holds the balancers that failed to answer.
	avoid    map[netip.AddrPort]shunned
	outbox   outbox
	suspects *member.Suspects
	// watched are the members that this balancer is a witness of.
	watched map[netip.AddrPort]*watch
	// watchedSet identifies the balancers that watched was worked out from.
	watchedSet uint64
	able       *member.Candidates
	// all are the live balancers, of the set allSet.
	all       *member.Candidates
	allSet    uint64
	kept      int
	lastWatch time.Time
	// joined tells that the table of another balancer was fetched.
	joined bool
	// deferred counts the messages that the budget has put off.
	deferred uint64

	nextAnnounce time.Time
	nextDigest   time.Time
	nextExpire   time.Time
	nextFind     time.Time
	actions      []Action
}

// New returns an engine of the process self.
func New(self member.Member, timing Timing, random *rand.Rand) *Engine {
	e := &Engine{
		self:    self,
		table:   member.NewTable(timing.Tombstone),
		timing:  timing,
		rand:    random,
		budget:  rate.NewLimiter(rate.Limit(timing.BytesPerSecond), timing.BurstBytes),
		cursors: make(map[netip.AddrPort]cursor),
		avoid:   make(map[netip.AddrPort]shunned),
		watched: make(map[netip.AddrPort]*watch),
	}
	e.suspects = member.NewSuspects(e.table)
	e.able = member.NewCandidates(nil)
	e.all = member.NewCandidates(nil)
	e.table.Merge(self, time.Time{})
	return e
}

// Self returns the process's own record.
func (e *Engine) Self() member.Member { return e.self }

// Table returns the members the process knows. The caller must not change it.
func (e *Engine) Table() *member.Table { return e.table }

// SetJoin sets the addresses to announce to while no balancer is known.
func (e *Engine) SetJoin(addrs []netip.AddrPort) { e.join = addrs }

// SetRevision notes the configuration revision in force and tells the
// neighbours at once.
func (e *Engine) SetRevision(revision uint64) {
	e.self.Revision = revision
	e.table.NoteRevision(e.self.Control, e.self.Incarnation, revision)
	e.outbox.notify = e.isBalancer()
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

// Leave marks the process gone and returns the calls that tell its witnesses
// and neighbours so. It does nothing after that.
func (e *Engine) Leave(now time.Time) []Action {
	e.Update(now, func(m *member.Member) { m.State = member.StateGone })
	e.chooseWitnesses(now)
	for _, w := range e.witnesses {
		e.do(SendAnnounce{To: w, Message: Announce{Self: e.self}})
	}
	e.push(now)
	out := e.actions
	e.actions = nil
	return out
}

// publishSelf puts a new version of the process's own record in force.
func (e *Engine) publishSelf(now time.Time, next member.Member) {
	before := e.self
	e.self = next
	e.table.Merge(next, now)
	e.spread(next, before)
	e.nextAnnounce = now
}

// Actions returns what is to be done at now. It is to be called after each
// message and every few hundred milliseconds.
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

func (e *Engine) do(a Action) { e.actions = append(e.actions, a) }

// balancers returns the live balancers as candidates for a choice.
func (e *Engine) balancers() *member.Candidates {
	if set := e.table.BalancerSet(); set != e.allSet {
		e.all, e.allSet = member.NewCandidates(e.table.Balancers()), set
	}
	return e.all
}

func (e *Engine) isBalancer() bool { return e.self.Role == member.RoleBalancer }

// merge takes a record in, passes it on where it is news, and reports whether
// it was.
func (e *Engine) merge(now time.Time, m member.Member) bool {
	if m.Control == e.self.Control {
		e.refute(now, m)
		return false
	}
	if e.knowsBetter(now, m) {
		return false
	}
	before, known := e.table.Get(m.Control)
	if !e.table.Merge(m, now) {
		return false
	}
	if m.State != member.StateGone {
		delete(e.avoid, m.Control)
	}
	e.note(before, known, m)
	e.spread(m, before)
	e.watchRecord(now, m, before)
	return true
}

// knowsBetter reports whether the record declares a member gone that this
// process is in touch with. The member settles it with its next renewal.
func (e *Engine) knowsBetter(now time.Time, m member.Member) bool {
	known, ok := e.table.Get(m.Control)
	if !ok || !m.Declared || known.State == member.StateGone || !m.Supersedes(known) || !e.inTouch(now, m.Control) {
		return false
	}
	e.suspects.Add(suspicionOf(known, e.self.Control, member.Unreachable), now)
	return true
}

// note tells the time line what a merged record changed.
func (e *Engine) note(before member.Member, known bool, m member.Member) {
	switch {
	case !known || before.Incarnation != m.Incarnation:
		e.do(Notice{Kind: NoticeJoined, Member: m})
	case m.Declared:
		e.do(Notice{Kind: NoticeDeclared, Member: m})
	case before.Declared:
		e.do(Notice{Kind: NoticeReturned, Member: m})
	case before.State != m.State:
		e.do(Notice{Kind: NoticeState, Member: m})
	}
}

// refute answers a record of the process itself that supersedes its own. The
// process lives, so it outbids the record, unless it has said that it leaves.
func (e *Engine) refute(now time.Time, m member.Member) {
	if m.Supersedes(e.self) && e.self.State != member.StateGone {
		e.outbid(now, m)
	}
}

// outbid raises the process's own record above m.
func (e *Engine) outbid(now time.Time, m member.Member) {
	next := e.self
	if m.Incarnation > next.Incarnation {
		next.Incarnation = m.Incarnation + 1
	}
	next.Version = max(next.Version, m.Version) + 1
	e.publishSelf(now, next)
	e.do(Notice{Kind: NoticeRefuted, Member: next})
}

func (e *Engine) expire(now time.Time) {
	if now.Before(e.nextExpire) {
		return
	}
	e.nextExpire = now.Add(time.Minute)
	e.table.Expire(now)
	for addr, s := range e.avoid {
		if now.Sub(s.until) > time.Minute {
			delete(e.avoid, addr)
		}
	}
	for addr, c := range e.cursors {
		inUse := slices.Contains(e.witnesses, addr) || slices.Contains(e.join, addr)
		if !inUse && now.Sub(c.at) > time.Minute {
			delete(e.cursors, addr)
		}
	}
}

// jitter spreads a period evenly over its neighbourhood.
func (e *Engine) jitter(d time.Duration) time.Duration {
	span := int64(d) / jitterShare
	return d - time.Duration(span) + time.Duration(e.rand.Int64N(2*span+1))
}
