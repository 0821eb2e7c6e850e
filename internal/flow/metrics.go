package flow

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/encap"
)

func dropped(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`saltbend_agent_datagrams_dropped_total{reason="` + reason + `"}`)
}

// Counters of datagrams. Each dropped datagram is counted under one reason.
var (
	received       = metrics.GetOrCreateCounter(`saltbend_agent_datagrams_received_total`)
	sent           = metrics.GetOrCreateCounter(`saltbend_agent_datagrams_sent_total`)
	handedOff      = metrics.GetOrCreateCounter(`saltbend_agent_flows_handed_on_total`)
	probesSent     = metrics.GetOrCreateCounter(`saltbend_agent_probes_sent_total`)
	probesReceived = metrics.GetOrCreateCounter(`saltbend_agent_balancer_probes_total`)
	probesAnswered = metrics.GetOrCreateCounter(`saltbend_agent_probes_answered_total`)

	droppedShort   = dropped("short")
	droppedVersion = dropped("version")
	droppedKind    = dropped("kind")
	droppedKey     = dropped("key")
	droppedForged  = dropped("forged")
	droppedService = dropped("service")
	droppedFace    = dropped("face")
	droppedEmpty   = dropped("empty")
	droppedTooLong = dropped("too_long")
	droppedQueue   = dropped("queue")
	droppedEncode  = dropped("encode")
	droppedSend    = dropped("send")
)

// countDecode counts a datagram that the codec failed to decode.
func countDecode(err error) {
	switch {
	case errors.Is(err, encap.ErrShort):
		droppedShort.Inc()
	case errors.Is(err, encap.ErrVersion):
		droppedVersion.Inc()
	case errors.Is(err, encap.ErrKind):
		droppedKind.Inc()
	case errors.Is(err, encap.ErrKey):
		droppedKey.Inc()
	default:
		droppedForged.Inc()
	}
}
