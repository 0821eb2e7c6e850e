package role

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// Bounds on the log of each kind of decision, in lines a second; what goes over
// is counted and told once a second.
const (
	linesPerSecond = 50
	linesBurst     = 100
)

// notes logs and counts decisions. It has one owner at a time.
type notes struct {
	log      *slog.Logger
	clock    func() time.Duration
	buckets  map[string]*bucket
	unusable logging.Once
}

// bucket bounds the lines of one kind.
type bucket struct {
	counter    *metrics.Counter
	tokens     float64
	filled     time.Duration
	suppressed int
	told       time.Duration
}

func newNotes(log *slog.Logger, clock func() time.Duration) *notes {
	return &notes{log: log, clock: clock, buckets: make(map[string]*bucket)}
}

// allow counts a decision and reports whether its line is to be written.
func (n *notes) allow(kind, reason string) bool {
	b := n.buckets[kind+reason]
	now := n.clock()
	if b == nil {
		b = &bucket{
			counter: metrics.GetOrCreateCounter(fmt.Sprintf(`saltbend_packet_decisions_total{kind=%q,reason=%q}`, kind, reason)),
			tokens:  linesBurst, filled: now,
		}
		n.buckets[kind+reason] = b
	}
	b.counter.Inc()
	b.tokens = min(linesBurst, b.tokens+linesPerSecond*(now-b.filled).Seconds())
	b.filled = now
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	b.suppressed++
	if now-b.told >= time.Second {
		n.log.Warn("Lines left out.", "kind", kind, "reason", reason, "count", b.suppressed)
		b.suppressed, b.told = 0, now
	}
	return false
}

// balancer logs what a balancer decided.
func (n *notes) balancer(all []steer.Note) {
	for i := range all {
		note := &all[i]
		if !n.allow(string(note.Kind), note.Reason) {
			continue
		}
		attrs := flowAttrs(note.Flow, note.Agent, "agent", note.Reason)
		attrs = append(attrs, slog.Uint64("version", note.Version))
		if note.Age > 0 {
			attrs = append(attrs, slog.Int64("age_ms", note.Age.Milliseconds()))
		}
		if note.Took > 0 {
			attrs = append(attrs, slog.Int64("took_ms", note.Took.Milliseconds()))
		}
		if note.Count != 0 {
			attrs = append(attrs, slog.Int("count", note.Count))
		}
		n.log.LogAttrs(context.Background(), slog.LevelInfo, string(note.Kind), attrs...)
	}
}

// agent logs what an agent decided.
func (n *notes) agent(all []gate.Note) {
	for i := range all {
		note := &all[i]
		reason := note.Reason
		if note.Kind == gate.KindUpstream {
			reason = "" // it holds an id, which must not name a metric
		}
		if !n.allow(string(note.Kind), reason) {
			continue
		}
		attrs := flowAttrs(note.Flow, note.Peer, "balancer", note.Reason)
		attrs = append(attrs, slog.Uint64("version", note.Version), slog.Int("running", note.Running))
		if note.Detail != "" {
			attrs = append(attrs, slog.String("detail", note.Detail))
		}
		if note.Age > 0 {
			attrs = append(attrs, slog.Int64("heartbeat_age_ms", note.Age.Milliseconds()))
		}
		if note.Took > 0 {
			attrs = append(attrs, slog.Int64("took_ms", note.Took.Milliseconds()))
		}
		n.log.LogAttrs(context.Background(), slog.LevelInfo, string(note.Kind), attrs...)
	}
}

// unreadable logs a datagram that could not be read.
func (n *notes) unreadable(what string, from netip.AddrPort, size int, err error) {
	if n.allow("unreadable", what) {
		n.log.Warn("Datagram passed over.", "what", what, "from", from.String(), "bytes", size, "error", err.Error())
	}
}

// unusableHeartbeat logs a heartbeat that no upstream sent so, each kind once: another
// writer may go on.
func (n *notes) unusableHeartbeat(err error) {
	if n.allow("unreadable", "heartbeat") && n.unusable.First(err.Error()) {
		n.log.Warn("Heartbeat passed over.", "error", err.Error())
	}
}

func flowAttrs(flow platform.Flow, peer netip.AddrPort, peerName, reason string) []slog.Attr {
	attrs := make([]slog.Attr, 0, 8)
	if flow != (platform.Flow{}) {
		attrs = append(attrs, slog.String("flow", flow.String()))
	}
	if peer.IsValid() {
		attrs = append(attrs, slog.String(peerName, peer.String()))
	}
	if reason != "" {
		attrs = append(attrs, slog.String("reason", reason))
	}
	return attrs
}
