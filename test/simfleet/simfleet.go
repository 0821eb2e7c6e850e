// Package simfleet runs the gossip engines of a whole fleet in simulated time, over a
// simulated network that drops, duplicates and delays messages and can be partitioned.
package simfleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

// Tick is the interval at which the engines' actions are requested.
const Tick = 200 * time.Millisecond

// Begin is the simulated time at which a fleet starts.
var Begin = time.Unix(1_000_000, 0)

// delivery is a pending message, reply or time-out.
type delivery struct {
	at  time.Time
	run func()
}

// Fleet delivers messages between engines. It delays and thereby reorders them. It is not
// safe for concurrent use.
type Fleet struct {
	Now time.Time
	// Loss is the fraction of messages that are dropped, and also the fraction of those
	// that are duplicated.
	Loss float64
	// Engines are the engines of the running processes by control address. A call to an
	// address without an engine is refused.
	Engines map[netip.AddrPort]*gossip.Engine
	// Cut, if not nil, reports whether two processes can't reach each other.
	Cut func(a, b netip.AddrPort) bool
	// Notices counts the engines' notices by kind.
	Notices map[gossip.NoticeKind]int

	rand  *rand.Rand
	order []netip.AddrPort
	queue []delivery
}

// New returns a fleet without processes. Its random numbers are derived from the seed.
func New(seed uint64) *Fleet {
	return &Fleet{
		Now:     Begin,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		Engines: make(map[netip.AddrPort]*gossip.Engine),
		Notices: make(map[gossip.NoticeKind]int),
	}
}

// At returns the control address of the i-th process.
func At(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 4100)
}

// Start starts a process at the member's control address. It replaces an earlier process at
// that address.
func (f *Fleet) Start(m member.Member, join ...netip.AddrPort) {
	m.Incarnation = uint64(f.Now.UnixNano())
	e := gossip.New(m, gossip.DefaultTiming(), rand.New(rand.NewPCG(f.rand.Uint64(), 0)))
	e.SetJoin(join)
	if !slices.Contains(f.order, m.Control) {
		f.order = append(f.order, m.Control)
	}
	f.Engines[m.Control] = e
}

// Crash ends a process without notifying the others.
func (f *Fleet) Crash(addr netip.AddrPort) { delete(f.Engines, addr) }

// Run advances the simulation by d.
func (f *Fleet) Run(d time.Duration) {
	for end := f.Now.Add(d); f.Now.Before(end); f.Now = f.Now.Add(Tick) {
		f.deliver()
		for _, addr := range f.order {
			f.act(addr)
		}
	}
}

func (f *Fleet) deliver() {
	slices.SortStableFunc(f.queue, func(a, b delivery) int { return a.at.Compare(b.at) })
	for len(f.queue) > 0 && !f.queue[0].at.After(f.Now) {
		next := f.queue[0]
		f.queue = f.queue[1:]
		next.run()
	}
}

func (f *Fleet) act(addr netip.AddrPort) {
	e := f.Engines[addr]
	if e == nil {
		return
	}
	for _, a := range e.Actions(f.Now) {
		f.perform(addr, e, a)
	}
}

func (f *Fleet) perform(from netip.AddrPort, e *gossip.Engine, a gossip.Action) {
	switch a := a.(type) {
	case gossip.SendAnnounce:
		call(f, from, a.To, func(t *gossip.Engine) gossip.AnnounceReply { return t.HandleAnnounce(f.Now, a.Message) },
			func(r gossip.AnnounceReply) { e.AnnounceDone(f.Now, a.To, a.Message, r) },
			func(member.Evidence) { e.AnnounceFailed(f.Now, a.To) })
	case gossip.SendPush:
		call(f, from, a.To, func(t *gossip.Engine) gossip.PushReply { return t.HandlePush(f.Now, a.Message) }, nil, nil)
	case gossip.SendDigest:
		call(f, from, a.To, func(t *gossip.Engine) gossip.DigestReply { return t.HandleDigest(f.Now, a.Message) },
			func(r gossip.DigestReply) { e.DigestDone(f.Now, a.To, r) }, nil)
	case gossip.SendExchange:
		call(f, from, a.To, func(t *gossip.Engine) gossip.Exchange { return t.HandleExchange(f.Now, a.Message) },
			func(r gossip.Exchange) { e.ExchangeDone(f.Now, r) }, nil)
	case gossip.Probe:
		call(f, from, a.To, func(t *gossip.Engine) struct{} {
			t.HandleProbe(f.Now, from, a.Suspicion)
			return struct{}{}
		}, func(struct{}) { e.ProbeDone(f.Now, a.To, 0) },
			func(x member.Evidence) { e.ProbeDone(f.Now, a.To, x) })
	case gossip.Notice:
		f.Notices[a.Kind]++
	}
}

// call delivers a request, possibly twice, and its reply, or fails with a time-out after 2 s
// if either is lost. It fails as refused if the target is not running.
func call[R any](f *Fleet, from, to netip.AddrPort, handle func(*gossip.Engine) R, done func(R), failed func(member.Evidence)) {
	caller := f.Engines[from]
	later := func(d time.Duration, run func()) { f.queue = append(f.queue, delivery{f.Now.Add(d), run}) }
	fail := func(x member.Evidence) {
		if failed != nil && f.Engines[from] == caller {
			failed(x)
		}
	}
	if f.rand.Float64() < f.Loss || f.isCut(from, to) {
		later(2*time.Second, func() { fail(member.Unreachable) })
		return
	}
	copies := 1
	if f.rand.Float64() < f.Loss {
		copies = 2
	}
	for i := range copies {
		later(f.delay(), func() {
			target := f.Engines[to]
			if target == nil {
				fail(member.Refused)
				return
			}
			r := handle(target)
			if i > 0 || done == nil {
				return
			}
			if f.rand.Float64() < f.Loss {
				later(2*time.Second, func() { fail(member.Unreachable) })
				return
			}
			later(f.delay(), func() {
				if f.Engines[from] == caller {
					done(r)
				}
			})
		})
	}
}

func (f *Fleet) isCut(a, b netip.AddrPort) bool {
	return f.Cut != nil && (f.Cut(a, b) || f.Cut(b, a))
}

// delay returns a random delay below 5 ms. If Loss is set, a tenth of the delays are up to
// 5 s, so that many other messages overtake the delayed one.
func (f *Fleet) delay() time.Duration {
	if f.Loss > 0 && f.rand.IntN(10) == 0 {
		return time.Duration(f.rand.Int64N(int64(5 * time.Second)))
	}
	return time.Duration(f.rand.Int64N(int64(5 * time.Millisecond)))
}

// Differences compares the member table of each balancer with the actual members, and
// describes the differences.
func (f *Fleet) Differences() []string {
	var out []string
	for _, viewer := range f.order {
		e := f.Engines[viewer]
		if e == nil || e.Self().Role != member.RoleBalancer {
			continue
		}
		for _, addr := range f.order {
			known, ok := e.Table().Get(addr)
			truth := f.Engines[addr]
			switch {
			case truth == nil && ok && known.State != member.StateGone:
				out = append(out, viewer.String()+" lists ended process "+addr.String()+" as "+known.State.String())
			case truth != nil && !sameVersion(known, truth.Self()):
				out = append(out, viewer.String()+" lists "+addr.String()+" as "+known.State.String()+", its state is "+truth.Self().State.String())
			}
		}
	}
	return out
}

func sameVersion(a, b member.Member) bool {
	return a.Incarnation == b.Incarnation && a.Version == b.Version && a.State == b.State
}
