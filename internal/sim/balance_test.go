package sim

import (
	"fmt"
	"testing"
	"time"
)

const (
	balanceLength = 30 * time.Second
	balanceSeeds  = 4
	loadShare     = 0.85
)

var lookups = []class{{name: "lookup", movable: true, deadline: time.Hour, share: 1}}

// currentServices returns services of the sizes that users run today.
func currentServices() []service {
	return []service{
		evenService("7x5", 7, 5).withBroken(),
		evenService("7x5", 7, 5),
		evenService("7x7", 7, 7),
		evenService("7x5", 7, 5).withSlow(3),
		evenService("7x5", 7, 5).withCold(),
	}
}

// BenchmarkBalance compares policies that distribute lookups with the ideal, a
// single queue for all slots.
func BenchmarkBalance(b *testing.B) {
	for _, s := range currentServices() {
		var loads [][]*work
		for seed := range uint64(balanceSeeds) {
			loads = append(loads, arrivals(seed, s, loadShare, balanceLength, lookups))
		}
		ideal := pooled(policies()[0], s, loads, 0).quantile(0.99, queueTime)
		for i, delay := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
			for _, p := range policies() {
				if i > 0 && p.options.LocalOnly {
					continue // without messages, the delay has no effect
				}
				r := pooled(p, s, loads, delay)
				p99 := r.quantile(0.99, queueTime)
				b.Run(fmt.Sprintf("%s/%s/%s", s.name, delay, p.name), func(b *testing.B) {
					b.ReportMetric(r.quantile(0.5, queueTime).Seconds()*1e3, "p50-ms")
					b.ReportMetric(p99.Seconds()*1e3, "p99-ms")
					b.ReportMetric(float64(p99)/float64(ideal), "p99/ideal")
					b.ReportMetric(r.maxLoad, "max/mean")
					b.ReportMetric(r.messages, "msg/req")
					b.ReportMetric(100*r.failures(), "failed-%")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
