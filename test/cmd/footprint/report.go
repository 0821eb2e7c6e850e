package main

import (
	"fmt"
	"time"
)

// report prints a line for each role, and a line for the calls to the store.
func (w window) report(name, size string) {
	seconds := w.length.Seconds()
	for _, role := range roles {
		if len(w.byRole[role]) == 0 {
			continue
		}
		line := linePrefix(name+"/role="+role, size)
		for _, q := range []struct {
			unit string
			of   func(usage) float64
		}{
			{"bytes-in/s", func(u usage) float64 { return u.bytesIn / seconds }},
			{"bytes-out/s", func(u usage) float64 { return u.bytesOut / seconds }},
			{"cpu-percent", func(u usage) float64 { return 100 * u.cpuSeconds / seconds }},
			{"resident-bytes", func(u usage) float64 { return u.resident }},
			{"anonymous-bytes", func(u usage) float64 { return u.anonymous }},
			{"heap-bytes", func(u usage) float64 { return u.heap }},
			{"stack-bytes", func(u usage) float64 { return u.stack }},
		} {
			mean, most := meanAndMax(w.byRole[role], q.of)
			line += value(mean, q.unit) + value(most, "max-"+q.unit)
		}
		fmt.Println(line)
	}
	perMinute := func(n uint64, unit string) string { return value(float64(n)/w.length.Minutes(), unit) }
	c := w.calls
	fmt.Println(linePrefix(name+"/store", size) +
		perMinute(c.Get, "gets/min") + perMinute(c.List, "lists/min") + perMinute(c.Put, "puts/min") +
		perMinute(c.Delete, "deletes/min") + perMinute(c.Watch, "watches/min") +
		perMinute(c.Get+c.List+c.Put+c.Delete+c.Watch, "calls/min"))
}

func meanAndMax(all []usage, of func(usage) float64) (mean, most float64) {
	for _, u := range all {
		mean += of(u) / float64(len(all))
		most = max(most, of(u))
	}
	return mean, most
}

// reportDelays prints the mean and maximum time until changes were in force everywhere.
func reportDelays(name, size string, delays []time.Duration) {
	var sum, most time.Duration
	for _, d := range delays {
		sum += d
		most = max(most, d)
	}
	mean := sum / time.Duration(len(delays))
	fmt.Println(linePrefix(name, size) + value(mean.Seconds(), "seconds") + value(most.Seconds(), "max-seconds"))
}

// linePrefix returns the beginning of a line in the format of Go benchmarks.
func linePrefix(name, size string) string { return fmt.Sprintf("Benchmark%s/%s 1", name, size) }

func value(v float64, unit string) string { return fmt.Sprintf(" %.6g %s", v, unit) }
