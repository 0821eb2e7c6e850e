package role

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/report"
)

var evacuationChanges = map[bool]*metrics.Counter{
	true:  metrics.NewCounter(`saltbend_packet_evacuations_total{to="evacuated"}`),
	false: metrics.NewCounter(`saltbend_packet_evacuations_total{to="taken-back"}`),
}

// evacuations tells operators of the data centres that this balancer keeps new flows
// away from.
type evacuations struct {
	// since holds when each request was heard of.
	since map[string]time.Duration
}

// change takes over the requests that stand and returns the data centres that are
// newly evacuated, and those that are taken back.
func (e *evacuations) change(now time.Duration, all []evacuation.Request) (begun []evacuation.Request, ended []string) {
	before := e.since
	e.since = make(map[string]time.Duration, len(all))
	for _, request := range all {
		since, known := before[request.DataCentre]
		if !known {
			since = now
			begun = append(begun, request)
		}
		e.since[request.DataCentre] = since
	}
	for dataCentre := range before {
		if _, stands := e.since[dataCentre]; !stands {
			ended = append(ended, dataCentre)
		}
	}
	return begun, ended
}

// report returns the requests for operators.
func (e *evacuations) report(now time.Duration, all []evacuation.Request) (out []report.Evacuation) {
	for _, request := range all {
		out = append(out, report.Evacuation{
			DataCentre: request.DataCentre, At: request.At.String(), KnownForMS: (now - e.since[request.DataCentre]).Milliseconds(),
		})
	}
	return out
}

// evacuate puts the operators' requests to empty data centres in force, before the
// agents that were read with them. The caller holds mu.
func (b *balancer) evacuate(record evacuation.Record) {
	now := b.clock()
	begun, ended := b.evacuations.change(now, record.Requests())
	for _, request := range begun {
		evacuationChanges[true].Inc()
		b.log.Info("Data centre evacuated.", "dc", request.DataCentre, "at", request.At, "known", b.env.Host.HasDataCentre(request.DataCentre))
	}
	for _, dataCentre := range ended {
		evacuationChanges[false].Inc()
		b.log.Info("Data centre taken back.", "dc", dataCentre, "as_of", record.Word(dataCentre).AsOf)
	}
	b.do(b.core.SetEvacuations(now, record))
}
