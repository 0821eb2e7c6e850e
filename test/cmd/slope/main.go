// Command slope fits straight lines through benchmark results.
//
// It reads the output of `go test -bench` on standard input. Benchmarks whose
// names end in a parameter such as "/members=1000" are grouped by the rest of
// the name, and for each unit the least-squares line value = a + b*parameter
// is printed with its error: the largest deviation of the mean at a size from
// the line, relative to the largest mean. No line is fitted to fewer than
// three sizes.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"golang.org/x/perf/benchfmt"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "slope:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	set := newSeriesSet()
	r := benchfmt.NewReader(in, "stdin")
	for r.Scan() {
		if res, ok := r.Result().(*benchfmt.Result); ok {
			set.add(res)
		}
	}
	if err := r.Err(); err != nil {
		return err
	}
	return print(out, set)
}

func print(out io.Writer, set *seriesSet) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "series\tunit\tsizes\tat zero\tslope\tper\terror")
	for _, s := range set.ordered() {
		line, ok := s.fit()
		if !ok {
			fmt.Fprintf(w, "%s\t%s\t%d\t-\t-\t%s\tfewer than %d sizes\n", s.name, s.unit, len(s.sizes()), s.param, minSizes)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.4g\t%.4g\t%s\t%.1f%%\n",
			s.name, s.unit, len(s.sizes()), line.Intercept, line.Slope, s.param, 100*line.Error)
	}
	return w.Flush()
}
