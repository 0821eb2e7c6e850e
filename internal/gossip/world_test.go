package gossip_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
)

const tick = 200 * time.Millisecond

var begin = time.Unix(1_000_000, 0)

// delivery is a message, a reply or a timeout under way.
type delivery struct {
	at  time.Time
	run func()
}

// world carries messages between engines on a clock of its own. It loses,
// doubles, delays and so reorders them.
type world struct {
	now     time.Time
	rand    *rand.Rand
	loss    float64
	engines map[netip.AddrPort]*gossip.Engine
	order   []netip.AddrPort
	queue   []delivery
	cut     func(a, b netip.AddrPort) bool
	notices map[gossip.NoticeKind]int
}

func newWorld(seed uint64) *world {
	return &world{
		now:     begin,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		engines: make(map[netip.AddrPort]*gossip.Engine),
		notices: make(map[gossip.NoticeKind]int),
	}
}

func at(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 4100)
}

// start starts a process, or its successor, at an address.
func (w *world) start(m member.Member, join ...netip.AddrPort) {
	m.Incarnation = uint64(w.now.UnixNano())
	e := gossip.New(m, gossip.DefaultTiming(), rand.New(rand.NewPCG(w.rand.Uint64(), 0)))
	e.SetJoin(join)
	if !slices.Contains(w.order, m.Control) {
		w.order = append(w.order, m.Control)
	}
	w.engines[m.Control] = e
}

func (w *world) crash(addr netip.AddrPort) { delete(w.engines, addr) }

// run lets the engines work for d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		w.deliver()
		for _, addr := range w.order {
			w.act(addr)
		}
	}
}

func (w *world) deliver() {
	slices.SortStableFunc(w.queue, func(a, b delivery) int { return a.at.Compare(b.at) })
	for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
		next := w.queue[0]
		w.queue = w.queue[1:]
		next.run()
	}
}

func (w *world) act(addr netip.AddrPort) {
	e := w.engines[addr]
	if e == nil {
		return
	}
	for _, a := range e.Actions(w.now) {
		w.perform(addr, e, a)
	}
}

func (w *world) perform(from netip.AddrPort, e *gossip.Engine, a gossip.Action) {
	switch a := a.(type) {
	case gossip.SendAnnounce:
		call(w, from, a.To, func(t *gossip.Engine) gossip.AnnounceReply { return t.HandleAnnounce(w.now, a.Message) },
			func(r gossip.AnnounceReply) { e.AnnounceDone(w.now, a.To, a.Message, r) },
			func(member.Evidence) { e.AnnounceFailed(w.now, a.To) })
	case gossip.SendPush:
		call(w, from, a.To, func(t *gossip.Engine) gossip.PushReply { return t.HandlePush(w.now, a.Message) }, nil, nil)
	case gossip.SendDigest:
		call(w, from, a.To, func(t *gossip.Engine) gossip.DigestReply { return t.HandleDigest(w.now, a.Message) },
			func(r gossip.DigestReply) { e.DigestDone(w.now, a.To, r) }, nil)
	case gossip.SendExchange:
		call(w, from, a.To, func(t *gossip.Engine) gossip.Exchange { return t.HandleExchange(w.now, a.Message) },
			func(r gossip.Exchange) { e.ExchangeDone(w.now, r) }, nil)
	case gossip.Probe:
		call(w, from, a.To, func(t *gossip.Engine) struct{} {
			t.HandleProbe(w.now, from, a.Suspicion)
			return struct{}{}
		}, func(struct{}) { e.ProbeDone(w.now, a.To, 0) },
			func(x member.Evidence) { e.ProbeDone(w.now, a.To, x) })
	case gossip.Notice:
		w.notices[a.Kind]++
	}
}

// call delivers a request, perhaps twice, and its reply; or fails after a
// timeout. A process that is not there refuses.
func call[R any](w *world, from, to netip.AddrPort, handle func(*gossip.Engine) R, done func(R), failed func(member.Evidence)) {
	caller := w.engines[from]
	later := func(d time.Duration, f func()) { w.queue = append(w.queue, delivery{w.now.Add(d), f}) }
	fail := func(x member.Evidence) {
		if failed != nil && w.engines[from] == caller {
			failed(x)
		}
	}
	if w.rand.Float64() < w.loss || w.isCut(from, to) {
		later(2*time.Second, func() { fail(member.Unreachable) })
		return
	}
	copies := 1
	if w.rand.Float64() < w.loss {
		copies = 2
	}
	for i := range copies {
		later(w.delay(), func() {
			target := w.engines[to]
			if target == nil {
				fail(member.Refused)
				return
			}
			r := handle(target)
			if i > 0 || done == nil {
				return
			}
			if w.rand.Float64() < w.loss {
				later(2*time.Second, func() { fail(member.Unreachable) })
				return
			}
			later(w.delay(), func() {
				if w.engines[from] == caller {
					done(r)
				}
			})
		})
	}
}

func (w *world) isCut(a, b netip.AddrPort) bool {
	return w.cut != nil && (w.cut(a, b) || w.cut(b, a))
}

// delay is short mostly; now and then long enough to overtake many others.
func (w *world) delay() time.Duration {
	if w.loss > 0 && w.rand.IntN(10) == 0 {
		return time.Duration(w.rand.Int64N(int64(5 * time.Second)))
	}
	return time.Duration(w.rand.Int64N(int64(5 * time.Millisecond)))
}

// differences compares what each balancer knows with what is.
func (w *world) differences() []string {
	var out []string
	for _, viewer := range w.order {
		e := w.engines[viewer]
		if e == nil || e.Self().Role != member.RoleBalancer {
			continue
		}
		for _, addr := range w.order {
			known, ok := e.Table().Get(addr)
			truth := w.engines[addr]
			switch {
			case truth == nil && ok && known.State != member.StateGone:
				out = append(out, viewer.String()+" holds dead "+addr.String()+" for "+known.State.String())
			case truth != nil && !sameLife(known, truth.Self()):
				out = append(out, viewer.String()+" holds "+addr.String()+" for "+known.State.String()+", it is "+truth.Self().State.String())
			}
		}
	}
	return out
}

func sameLife(a, b member.Member) bool {
	return a.Incarnation == b.Incarnation && a.Version == b.Version && a.State == b.State
}
