package sim

import (
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

const (
	overload       = 1.5
	overloadLength = 30 * time.Second
	overloadSeeds  = 4
	// queueLimit is the maximum length of each agent's queue.
	queueLimit = 64
)

// mixed offers 60% of the capacity in lookups, 50% in batches and 40% in reports.
var mixed = []class{
	{name: "lookup", priority: 0, movable: true, deadline: time.Second, share: 0.6 / overload},
	{name: "batch", priority: 1, deadline: 2 * time.Second, share: 0.5 / overload},
	{name: "report", priority: 2, movable: true, deadline: time.Second, share: 0.4 / overload},
}

// urgent offers 130% of the capacity in lookups and 20% in batches.
var urgent = []class{
	{name: "lookup", priority: 0, movable: true, deadline: time.Second, share: 1.3 / overload},
	{name: "batch", priority: 1, deadline: 2 * time.Second, share: 0.2 / overload},
}

func sheddingPolicies() []policy {
	byLength := dispatch.Options{IgnoreDeadlines: true}
	return []policy{
		{name: "chosen", choose: byHash, queue: queueLimit},
		{name: "by-length", choose: byHash, queue: queueLimit, options: byLength},
		{name: "fifo-by-length", choose: byHash, queue: queueLimit, options: byLength, ignorePriorities: true},
		{name: "fifo-by-deadline", choose: byHash, queue: queueLimit, ignorePriorities: true},
		{name: "fifo-no-shedding", choose: byHash, queue: unlimitedQueue, options: byLength, ignorePriorities: true, hideDeadlines: true},
		{name: "no-shedding", choose: byHash, queue: unlimitedQueue, options: byLength, hideDeadlines: true},
	}
}

// BenchmarkOverload offers 1.5 times the capacity of the service.
func BenchmarkOverload(b *testing.B) {
	s := evenService("7x5", 7, 5)
	for _, mix := range []struct {
		name    string
		classes []class
	}{{"mixed", mixed}, {"urgent", urgent}} {
		var loads [][]*work
		for seed := range uint64(overloadSeeds) {
			loads = append(loads, arrivals(seed, s, overload, overloadLength, mix.classes))
		}
		for _, p := range sheddingPolicies() {
			r := pooled(p, s, loads, 500*time.Microsecond)
			b.Run(mix.name+"/"+p.name, func(b *testing.B) {
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(r.quantile(0.5, answerTime("lookup")).Seconds()*1e3, "lookup-p50-ms")
				b.ReportMetric(r.quantile(0.99, answerTime("lookup")).Seconds()*1e3, "lookup-p99-ms")
				b.ReportMetric(r.quantile(0.99, refusalTime).Seconds()*1e3, "told-p99-ms")
				for _, c := range mix.classes {
					b.ReportMetric(100*r.inTime(c.name), c.name+"-in-time-%")
				}
			})
		}
	}
}

// answerTime returns a function for the time until the answer to a request of the
// class.
func answerTime(name string) func(*work) (time.Duration, bool) {
	return func(k *work) (time.Duration, bool) {
		return k.ended - k.arrival, !k.refused && k.class.name == name
	}
}

// refusalTime returns the time until a request was refused.
func refusalTime(k *work) (time.Duration, bool) { return k.ended - k.arrival, k.refused }

// inTime returns the fraction of a class that was answered by its deadline.
func (r result) inTime(name string) float64 {
	good, all := 0, 0
	for _, k := range r.works {
		if k.class.name != name || k.arrival < warmUp {
			continue
		}
		all++
		if !k.refused && k.ended-k.arrival <= k.class.deadline {
			good++
		}
	}
	return float64(good) / float64(all)
}
