package gate_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// history drives benches with the same random datagrams.
type history struct {
	*rapid.T
	benches []*bench
	now     time.Duration
	flows   int
	// sent is the sequence number after each caller's last request.
	sent     map[int]uint32
	instance int
	beat     uint64
	asOf     store.Position
	leaves   bool
}

func newHistory(t *rapid.T, benches ...*bench) *history {
	h := &history{T: t, benches: benches, now: second, flows: 10, sent: map[int]uint32{}}
	h.heartbeat(false)
	return h
}

// each does something at each bench.
func (h *history) each(do func(*bench)) {
	for _, b := range h.benches {
		b.now = h.now
		do(b)
	}
}

func (h *history) heartbeat(draining bool) {
	h.beat++
	beat := platform.Heartbeat{Instance: platform.Instance{ID: string(rune('a'+h.instance)) + "-1"}, Slots: slots, Sequence: h.beat, Draining: draining}
	h.each(func(b *bench) { b.last, _ = b.gate.Heartbeat(h.now, beat) })
}

// opening delivers an opening packet or a copy of one.
func (h *history) opening(n int, head inner.Open) {
	head.Service, head.Hops = inner.ServiceID(service), rapid.Uint8Range(0, inner.MaxBusyHops).Draw(h.T, "hops")
	copies := rapid.Uint32Range(0, 2).Draw(h.T, "copies")
	h.each(func(b *bench) {
		b.balancerSends(inner.AppendOpen(nil, head, fromCaller(flow(n), 1, copies, platform.FlagSYN, 0)))
	})
}

func (h *history) request(n int, again bool) {
	seq := max(h.sent[n], 2)
	if !again {
		h.sent[n] = seq + 30
	}
	h.each(func(b *bench) { b.requestOn(n, seq, routeTerms) })
}

func (h *history) callerSends(n int, flags platform.Flags) {
	h.each(func(b *bench) { b.send(flow(n), max(h.sent[n], 2), flags, 0) })
}

func (h *history) upstreamSends(n int, seq uint32, flags platform.Flags, size int) {
	h.each(func(b *bench) { b.upstreamSends(fromUpstream(flow(n), seq, 2, flags, size)) })
}

func (h *history) pass(d time.Duration) {
	h.now += d
	h.each(func(b *bench) { b.last = b.gate.Tick(h.now) })
}

// step is one random event of a flow.
func (h *history) step(head inner.Open) {
	n := rapid.IntRange(0, h.flows-1).Draw(h.T, "flow")
	switch rapid.IntRange(0, 12).Draw(h.T, "event") {
	case 0, 1, 2:
		h.opening(n, head)
	case 3, 4:
		h.upstreamSends(n, 100, platform.FlagSYN|platform.FlagACK, 0)
	case 5, 6:
		h.request(n, rapid.Bool().Draw(h.T, "again"))
	case 7, 8:
		h.upstreamSends(n, 101, platform.FlagACK, 20)
	case 9:
		h.callerSends(n, rapid.SampledFrom([]platform.Flags{platform.FlagACK, platform.FlagRST, platform.FlagFIN | platform.FlagACK}).Draw(h.T, "flags"))
	case 10:
		h.upstreamSends(n, 101, rapid.SampledFrom([]platform.Flags{platform.FlagRST, platform.FlagFIN | platform.FlagACK}).Draw(h.T, "flags"), 0)
	case 11:
		h.pass(time.Duration(rapid.IntRange(0, 300).Draw(h.T, "passed")) * ms)
	case 12:
		h.rare(n)
	}
}

// rare is an event that concerns the whole upstream, or a long time.
func (h *history) rare(n int) {
	switch rapid.IntRange(0, 8).Draw(h.T, "rare") {
	case 0, 1:
		h.heartbeat(rapid.IntRange(0, 5).Draw(h.T, "drains") == 0)
	case 2:
		h.instance++
		h.beat = 0
		h.heartbeat(false)
	case 3:
		h.each(func(b *bench) {
			b.last, _ = b.gate.HandleLeave(h.now, platform.Instance{ID: string(rune('a'+h.instance)) + "-1"})
		})
	case 4:
		h.each(func(b *bench) { b.last = b.gate.HandleRefusedPacket(h.now) })
	case 5:
		h.each(func(b *bench) { b.upstreamSends(fromCaller(flow(n), 1, 0, platform.FlagSYN|platform.FlagBounced, 0)) })
	case 6:
		h.asOf++
		state := evacuation.State{Evacuated: rapid.Bool().Draw(h.T, "evacuated"), AsOf: h.asOf}
		h.each(func(b *bench) { b.poll(state) })
	case 7:
		h.pass(time.Duration(rapid.IntRange(1, 12).Draw(h.T, "seconds")) * second)
	case 8:
		if h.leaves {
			h.each(func(b *bench) { b.last = b.gate.Stop(h.now) })
		}
	}
}

// holds returns the flows whose openings a bench holds.
func (h *history) holds(b *bench) (held []int) {
	for n := range h.flows {
		if b.gate.Holds(flow(n)) {
			held = append(held, n)
		}
	}
	return held
}

// left returns how often the opening packet of a flow was passed on, returned or dropped in
// the last call.
func (b *bench) left(n int) (times int) {
	for _, a := range b.last.Actions {
		packet := a.Bytes
		if a.Target == gate.ToBalancer && inner.KindOf(packet) == inner.KindReturned {
			_, packet, _ = inner.ParseReturned(packet)
		}
		if p, err := platform.ParsePacket(packet); a.Target != gate.ToCaller && err == nil && p.FromPort == uint16(n) && p.Flags == platform.FlagSYN {
			times++
		}
	}
	for _, note := range b.last.Notes {
		if note.Kind == gate.KindAbandoned && note.Flow == flow(n) && (note.Reason == "attempt-ended" || note.Reason == "caller-moved-on") {
			times++
		}
	}
	return times
}

// Whatever happens, the counts of openings and requests agree with what they count, and each
// opening that is held is passed on, returned or dropped once.
func TestCountsOfOpeningsNeverDrift(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		b := crowded(t)
		h := &history{T: t, benches: []*bench{b}, now: b.now, flows: 10, sent: map[int]uint32{0: 1000, 1: 1000, 2: 1000, 3: 1000}, instance: 'i' - 'a', beat: 1}
		h.leaves = rapid.IntRange(0, 4).Draw(t, "leaves") == 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			before := h.holds(b)
			head := inner.Open{}
			if rapid.IntRange(0, 4).Draw(t, "terms") > 0 {
				head = withTerms(routeTerms)
			}
			head.Flags |= rapid.SampledFrom([]inner.Flags{0, inner.FlagLastChoice, inner.FlagMayBeRetry}).Draw(t, "flags")
			h.step(head)
			b.Expect(b.gate.CheckOpenings()).To(Succeed())
			after := h.holds(b)
			held += len(after)
			for _, n := range before {
				if !slices.Contains(after, n) {
					b.Expect(b.left(n)).To(Equal(1), "flow %d", n)
				}
			}
		}
		for range 20 { // nothing is held for ever
			h.pass(200 * ms)
		}
		b.Expect(h.holds(b)).To(BeEmpty())
	})
	NewWithT(t).Expect(held).To(BeNumerically(">", 100), "the histories hold openings")
}

// decided returns what a bench decided in its last call, in any order. The capability to hold
// openings is left out of statuses.
func (b *bench) decided() []string {
	var out []string
	for _, a := range b.last.Actions {
		bytes := slices.Clone(a.Bytes)
		if status, err := inner.ParseStatus(bytes); a.Target == gate.ToBalancer && err == nil {
			status.AcceptsTerms = false
			bytes = inner.AppendStatus(nil, status)
		}
		out = append(out, string(rune(a.Target))+a.To.String()+string(bytes))
	}
	for _, n := range b.last.Notes {
		out = append(out, string(n.Kind)+n.Flow.String()+n.Reason+n.Took.String())
	}
	slices.Sort(out)
	return out
}

// both returns a bench with the policy and one without it.
func both(t *rapid.T) (with, without *bench) {
	return newBenchWithout(t, nil), newBenchWithout(t, []string{string(policy.HeldOpenings)})
}

// Balancers of an earlier build send no terms and accept no load: the agent decides as before.
func TestEarlierBalancersGetTheDecisionsOfBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		with, without := both(t)
		h := newHistory(t, with, without)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			flags := rapid.SampledFrom([]inner.Flags{0, inner.FlagLastChoice, inner.FlagMayBeRetry, inner.FlagStatus}).Draw(t, "flags")
			h.step(inner.Open{Flags: flags})
			with.Expect(with.decided()).To(Equal(without.decided()))
		}
	})
}

// While no more requests than slots are under way, holding openings changes nothing.
func TestNothingChangesWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		with, without := both(t)
		h := newHistory(t, with, without)
		h.flows = 40
		var busy, idle []int
		next := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			head := withTerms(routeTerms)
			head.Flags |= inner.FlagLoad | inner.FlagStatus
			switch room := len(busy) < slots; rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if room {
					h.opening(next, head)
					h.upstreamSends(next, 100, platform.FlagSYN|platform.FlagACK, 0)
					h.request(next, false)
					busy, next = append(busy, next), next+1
				}
			case 1:
				if room && len(idle) > 0 {
					h.request(idle[0], false)
					busy, idle = append(busy, idle[0]), idle[1:]
				}
			case 2:
				if len(busy) > 0 {
					h.upstreamSends(busy[0], 101, platform.FlagACK, 20)
					busy, idle = busy[1:], append(idle, busy[0])
				}
			case 3:
				h.pass(time.Duration(rapid.IntRange(0, 300).Draw(t, "passed")) * ms)
				if rapid.Bool().Draw(t, "reports") {
					h.heartbeat(false)
				}
			}
			with.Expect(with.decided()).To(Equal(without.decided()))
			with.Expect(with.gate.Counts(h.now).Held).To(BeZero())
		}
	})
}
