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

// evacuations tracks the data centres whose upstreams this balancer gives no new flows.
type evacuations struct {
	// firstSeen maps each evacuated data centre to the time at which this balancer learned
	// of its evacuation.
	firstSeen map[string]time.Duration
}

// update replaces the requests in force. It returns the requests that are new and the
// data centres whose requests have been withdrawn.
func (e *evacuations) update(now time.Duration, all []evacuation.Request) (begun []evacuation.Request, ended []string) {
	before := e.firstSeen
	e.firstSeen = make(map[string]time.Duration, len(all))
	for _, request := range all {
		since, known := before[request.DataCentre]
		if !known {
			since = now
			begun = append(begun, request)
		}
		e.firstSeen[request.DataCentre] = since
	}
	for dataCentre := range before {
		if _, requested := e.firstSeen[dataCentre]; !requested {
			ended = append(ended, dataCentre)
		}
	}
	return begun, ended
}

// report returns the requests in the form of the status report.
func (e *evacuations) report(now time.Duration, all []evacuation.Request) (out []report.Evacuation) {
	for _, request := range all {
		out = append(out, report.Evacuation{
			DataCentre: request.DataCentre, At: request.At.String(), KnownForMS: (now - e.firstSeen[request.DataCentre]).Milliseconds(),
		})
	}
	return out
}

// evacuate applies the operators' requests to evacuate data centres. It is called before
// the agents of the same listing are applied. mu must be held.
func (b *balancer) evacuate(record evacuation.Record) {
	now := b.clock()
	begun, ended := b.evacuations.update(now, record.Requests())
	for _, request := range begun {
		evacuationChanges[true].Inc()
		b.log.Info("Data centre evacuated.", "dc", request.DataCentre, "at", request.At, "known", b.env.Host.HasDataCentre(request.DataCentre))
	}
	for _, dataCentre := range ended {
		evacuationChanges[false].Inc()
		b.log.Info("Data centre taken back.", "dc", dataCentre, "as_of", record.State(dataCentre).AsOf)
	}
	b.apply(b.core.SetEvacuations(now, record))
}
