package steer_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// The property: whatever the network and the processes do, a balancer does not refuse a
// flow for lack of room that an upstream has accepted.

// maxCallerDelay bounds the way of a packet from a caller to a balancer: a balancer cannot
// tell a first transmission that was under way for longer than the time to the next copy.
const maxCallerDelay = 45 * time.Millisecond

// opener is a caller that opens a flow and sends one request on it.
type opener struct {
	id platform.Flow
	// path is the balancer to which the network routes the caller's packets.
	path *balancer
	// sent is the number of copies sent.
	sent int
}

// callerPacket is a packet on its way from a caller to a balancer.
type callerPacket struct {
	due   time.Duration
	to    *balancer
	bytes []byte
}

// pressedFleet is a fleet whose callers ask for more than there is room for.
type pressedFleet struct {
	*simFleet
	openers []*opener
	packets []callerPacket
	// refused counts the flows refused.
	refused int
	// interval is the time between two new flows.
	interval time.Duration
	next     uint16
}

func newPressedFleet(t *rapid.T, maxLoss float64) *pressedFleet {
	f := newSimFleetOf(t, rapid.IntRange(1, 4).Draw(t, "agents"), rapid.IntRange(1, 3).Draw(t, "balancers"), maxLoss, 0)
	// Agents allow long waits at first, in proportion to the timeout; with a short one they
	// refuse soon.
	f.terms = inner.Terms{TargetLatency: time.Duration(rapid.SampledFrom([]int{120, 250, 500}).Draw(t, "target")) * time.Millisecond, Timeout: 600 * time.Millisecond}
	f.workTime = 40 * time.Millisecond
	room := float64(2*len(f.agents)) / f.workTime.Seconds()
	w := &pressedFleet{simFleet: f, interval: time.Duration(float64(time.Second) / (room * rapid.Float64Range(0.8, 3).Draw(t, "demand")))}
	for _, b := range f.balancers {
		f.startBalancer(b)
	}
	f.onReset = w.checkRefusal
	return w
}

// checkRefusal fails if an upstream has accepted a flow that is refused for lack of room.
func (w *pressedFleet) checkRefusal(n steer.Note) {
	w.openers = slices.DeleteFunc(w.openers, func(o *opener) bool { return o.id == n.Flow })
	if n.Reason != "service-overloaded" && n.Reason != "all-returned-overloaded" {
		return
	}
	w.refused++
	for _, s := range w.agents {
		if _, accepted := s.held[n.Flow]; accepted {
			w.t.Fatalf("at %s a balancer refused %s (%s), which %s has accepted\n%s", w.now, n.Flow, n.Reason, s.addr, w.flowLog(n.Flow))
		}
	}
}

// press lets callers open flows for a while.
func (w *pressedFleet) press(d time.Duration) {
	arrival := w.now
	for end := w.now + d; w.now < end; {
		for ; arrival <= w.now; arrival += w.interval {
			w.begin()
		}
		w.openers = slices.DeleteFunc(w.openers, w.goOn)
		w.deliverCallers()
		w.run(time.Millisecond)
	}
}

// begin starts a flow from another caller.
func (w *pressedFleet) begin() {
	w.next++
	id := platform.Flow{Caller: [4]byte{100, 64, byte(w.next >> 8), byte(w.next)}, CallerPort: 1000, Face: [4]byte{198, 18, 0, 1}, FacePort: 443}
	w.began[id] = w.now
	w.openers = append(w.openers, &opener{id: id, path: w.anyBalancer()})
}

// goOn sends what is due of a flow; it reports whether the flow is over.
func (w *pressedFleet) goOn(o *opener) bool {
	age := w.now - w.began[o.id]
	if ack, ok := w.accepted[o.id]; ok {
		w.route(o, packet(o.id, 1, ack, platform.FlagACK, 30))
		return true
	}
	copies := []time.Duration{0, platform.FirstCopyAge, platform.LastCopyAge}
	if o.sent < len(copies) && age >= copies[o.sent] {
		w.route(o, packet(o.id, 1, uint32(o.sent), platform.FlagSYN, 0))
		o.sent++
	}
	return age > 1400*time.Millisecond
}

// route sends a caller's packet on its way, which may change between two packets.
func (w *pressedFleet) route(o *opener, b []byte) {
	if w.random.IntN(4) == 0 {
		o.path = w.anyBalancer()
	}
	copies := 1
	if w.random.Float64() < w.loss {
		copies = w.random.IntN(3)
	}
	for range copies {
		delay := time.Duration(w.random.Int64N(int64(3 * time.Millisecond)))
		if w.random.Float64() < w.loss {
			delay = time.Duration(w.random.Int64N(int64(maxCallerDelay)))
		}
		w.packets = append(w.packets, callerPacket{w.now + delay, o.path, slices.Clone(b)})
	}
}

func (w *pressedFleet) deliverCallers() {
	due := w.packets
	w.packets = nil
	for _, p := range due {
		if p.due > w.now {
			w.packets = append(w.packets, p)
			continue
		}
		r, err := p.to.core.FromCaller(w.now, p.bytes)
		if err != nil {
			w.t.Fatal(err)
		}
		w.fromBalancer(p.to.addr, r)
	}
}

// disturb does something that happens in a fleet.
func (w *pressedFleet) disturb() {
	s := w.agents[w.random.IntN(len(w.agents))]
	switch rapid.IntRange(0, 6).Draw(w.t, "disturbance") {
	case 0:
		w.startBalancer(w.anyBalancer())
	case 1:
		w.startAgent(s)
		s.sequence = max(s.sequence, 1)
		w.heartbeat(s)
	case 2:
		w.replaceUpstream(s, false)
	case 3:
		w.cutLink(w.anyBalancer(), s)
	case 4:
		w.sendList(w.anyBalancer(), s)
	default:
		w.heartbeat(s)
	}
}

func isOpen(b []byte) bool { return inner.KindOf(b) == inner.KindOpen }

// The network does not double the datagrams with opening packets here: an agent that has
// refused a packet may accept its double.
func TestNoAcceptedFlowIsRefused(t *testing.T) {
	const maxLoss = 0.3
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newPressedFleet(t, maxLoss)
		w.neverDoubled = isOpen
		w.press(2500 * time.Millisecond)
		for range rapid.IntRange(0, 6).Draw(t, "steps") {
			w.disturb()
			w.press(time.Duration(rapid.SampledFrom([]int{3, 50, 400}).Draw(t, "ms")) * time.Millisecond)
		}
		refused += w.refused
	})
	if refused == 0 {
		t.Fatal("no flow was refused")
	}
	t.Logf("%d flows were refused", refused)
}
