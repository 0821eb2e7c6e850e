package role

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// Rate limit of the log lines for each kind and reason of decisions. Lines beyond the limit
// are counted, and their number is logged at most once a second.
const (
	// linesPerSecond is the sustained rate.
	linesPerSecond = 50
	// linesBurst is the number of lines that may be logged at once.
	linesBurst = 100
)

// decisionLog logs and counts decisions. It is not safe for concurrent use.
type decisionLog struct {
	log             *slog.Logger
	clock           func() time.Duration
	limits          map[string]*lineLimit
	heartbeatErrors logging.Once
}

// lineLimit is a token bucket for the log lines of one kind and reason. suppressed counts
// the lines left out since reported, the time at which their number was last logged.
type lineLimit struct {
	counter    *metrics.Counter
	tokens     float64
	refilled   time.Duration
	suppressed int
	reported   time.Duration
}

func newDecisionLog(log *slog.Logger, clock func() time.Duration) *decisionLog {
	return &decisionLog{log: log, clock: clock, limits: make(map[string]*lineLimit)}
}

// allow counts a decision and reports whether its line may be logged.
func (n *decisionLog) allow(kind, reason string) bool {
	b := n.limits[kind+reason]
	now := n.clock()
	if b == nil {
		b = &lineLimit{
			counter: metrics.GetOrCreateCounter(fmt.Sprintf(`saltbend_packet_decisions_total{kind=%q,reason=%q}`, kind, reason)),
			tokens:  linesBurst, refilled: now,
		}
		n.limits[kind+reason] = b
	}
	b.counter.Inc()
	b.tokens = min(linesBurst, b.tokens+linesPerSecond*(now-b.refilled).Seconds())
	b.refilled = now
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	b.suppressed++
	if now-b.reported >= time.Second {
		n.log.Warn("Log lines suppressed by the rate limit.", "kind", kind, "reason", reason, "count", b.suppressed)
		b.suppressed, b.reported = 0, now
	}
	return false
}

// logBalancer logs the decisions of a balancer.
func (n *decisionLog) logBalancer(all []steer.Note) {
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
		if note.Absent != 0 {
			attrs = append(attrs, slog.Int("absent", note.Absent))
		}
		attrs = append(attrs, refusalAttrs(note)...)
		n.log.LogAttrs(context.Background(), slog.LevelInfo, string(note.Kind), attrs...)
	}
}

// refusalAttrs returns what a balancer refused a flow by: the bar of its service and the
// flow's standing, as priority and rank, and the number of agents that reported figures.
func refusalAttrs(note *steer.Note) (attrs []slog.Attr) {
	if note.Agents > 0 {
		attrs = append(attrs, slog.Int("agents", note.Agents))
	}
	if note.Bar != 0 {
		attrs = append(attrs, slog.String("bar", formatStanding(note.Bar)), slog.String("standing", formatStanding(note.Standing)))
	}
	return attrs
}

// formatStanding returns a standing as PRIORITY/RANK.
func formatStanding(s admission.Standing) string {
	return fmt.Sprintf("%d/%d", s.Priority(), uint8(s))
}

// logAgent logs the decisions of an agent.
func (n *decisionLog) logAgent(all []gate.Note) {
	for i := range all {
		note := &all[i]
		reason := note.Reason
		if note.Kind == gate.KindUpstream {
			reason = "" // the reason contains an upstream's ID, which must not become a metric label
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

// logMalformed logs a datagram that can't be decoded.
func (n *decisionLog) logMalformed(what string, from netip.AddrPort, size int, err error) {
	if n.allow("unreadable", what) {
		n.log.Warn("Malformed datagram ignored.", "what", what, "from", from.String(), "bytes", size, "error", err.Error())
	}
}

// logInvalidHeartbeat logs a heartbeat that is invalid and therefore not from an
// upstream. Each error text is logged once, because the program that sent the heartbeat
// may go on sending invalid ones.
func (n *decisionLog) logInvalidHeartbeat(err error) {
	if n.allow("unreadable", "heartbeat") && n.heartbeatErrors.First(err.Error()) {
		n.log.Warn("Invalid heartbeat ignored.", "error", err.Error())
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
