package main

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// minSizes is the minimum number of sizes to which a line is fitted: a line through two
// points fits exactly, so its error would be meaningless.
const minSizes = 3

// series contains the values of one unit of one benchmark at several sizes.
type series struct {
	name, unit, param string
	// values contains the results by size.
	values map[float64][]float64
}

// line is a least-squares fit.
type line struct {
	Intercept, Slope float64
	// Error is the largest deviation of a mean from the line divided by the largest mean.
	Error float64
}

type seriesSet struct {
	byKey map[[2]string]*series
	order []*series
}

func newSeriesSet() *seriesSet {
	return &seriesSet{byKey: map[[2]string]*series{}}
}

// add adds a benchmark result. It ignores results whose names have no size.
func (s *seriesSet) add(res *benchfmt.Result) {
	name, param, size, ok := splitName(string(res.Name))
	if !ok {
		return
	}
	for _, v := range res.Values {
		s.at(name, v.Unit, param).put(size, v.Value)
	}
}

func (s *seriesSet) at(name, unit, param string) *series {
	key := [2]string{name, unit}
	if found := s.byKey[key]; found != nil {
		return found
	}
	made := &series{name: name, unit: unit, param: param, values: map[float64][]float64{}}
	s.byKey[key] = made
	s.order = append(s.order, made)
	return made
}

func (s *seriesSet) ordered() []*series {
	return s.order
}

// splitName splits "Name/param=123-12" into name, parameter and size.
func splitName(full string) (name, param string, size float64, ok bool) {
	full, _ = cutProcs(full)
	i := strings.LastIndexByte(full, '/')
	if i < 0 {
		return "", "", 0, false
	}
	param, value, found := strings.Cut(full[i+1:], "=")
	if !found {
		return "", "", 0, false
	}
	size, err := strconv.ParseFloat(value, 64)
	return full[:i], param, size, err == nil
}

// cutProcs removes the "-N" that the benchmark runner appends for GOMAXPROCS.
func cutProcs(name string) (string, bool) {
	i := strings.LastIndexByte(name, '-')
	if i < 0 {
		return name, false
	}
	if _, err := strconv.Atoi(name[i+1:]); err != nil {
		return name, false
	}
	return name[:i], true
}

func (s *series) put(size, value float64) {
	s.values[size] = append(s.values[size], value)
}

func (s *series) sizes() []float64 {
	out := make([]float64, 0, len(s.values))
	for size := range s.values {
		out = append(out, size)
	}
	slices.Sort(out)
	return out
}

// fit returns the least-squares line through the means at each size.
func (s *series) fit() (line, bool) {
	xs := s.sizes()
	if len(xs) < minSizes {
		return line{}, false
	}
	ys := make([]float64, len(xs))
	for i, x := range xs {
		ys[i] = mean(s.values[x])
	}
	mx, my := mean(xs), mean(ys)
	var sxy, sxx float64
	for i := range xs {
		sxy += (xs[i] - mx) * (ys[i] - my)
		sxx += (xs[i] - mx) * (xs[i] - mx)
	}
	l := line{Slope: sxy / sxx}
	l.Intercept = my - l.Slope*mx
	l.Error = worst(xs, ys, l)
	return l, true
}

func worst(xs, ys []float64, l line) float64 {
	var deviation, largest float64
	for i := range xs {
		deviation = math.Max(deviation, math.Abs(ys[i]-l.Intercept-l.Slope*xs[i]))
		largest = math.Max(largest, math.Abs(ys[i]))
	}
	if largest == 0 {
		return 0
	}
	return deviation / largest
}

func mean(v []float64) float64 {
	var sum float64
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
