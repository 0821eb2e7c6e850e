package dayplot

import (
	"bytes"
	"html/template"
	"image/color"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot on the page.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// headroom is the height of the plot relative to its highest value, which leaves
	// space for the legend.
	headroom     = 1.4
	legendOffset = 0.3 * vg.Centimeter
)

// series are the curves of a plot.
var series = []struct {
	name  string
	color color.RGBA
	count func(Window) int
}{
	{"served", color.RGBA{G: 128, A: 255}, func(w Window) int { return w.Served }},
	{"late", color.RGBA{R: 230, G: 150, A: 255}, func(w Window) int { return w.Late }},
	{"refused", color.RGBA{B: 200, A: 255}, func(w Window) int { return w.Refused }},
	{"failed", color.RGBA{R: 200, A: 255}, func(w Window) int { return w.Failed }},
}

// markColor fills the area of a mark.
var markColor = color.RGBA{R: 120, G: 120, B: 120, A: 40}

var page = template.Must(template.New("page").Funcs(template.FuncMap{"s": asSeconds}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>saltbend report</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.1em .8em;text-align:left}
.found{color:#b00}svg{max-width:100%}</style></head><body><h1>saltbend report</h1>
{{range .}}<h2>{{.Title}}</h2>
{{range .Findings}}<p class="found">{{.}}</p>
{{end}}{{.Plot}}
<table><tr><th>from s</th><th>to s</th><th>fault or planned work</th></tr>
{{range .Marks}}<tr><td>{{s .From}}</td><td>{{s .To}}</td><td>{{.Label}}</td></tr>
{{end}}</table>
<p>{{.Total.Served}} served, {{.Total.Late}} late, {{.Total.Refused}} refused, {{.Total.Failed}} failed.</p>
{{end}}</body></html>
`))

// drawnDay is a day with its plot.
type drawnDay struct {
	Day
	Plot  template.HTML
	Total Window
}

// Write writes one HTML page with all days. The page loads no other resources.
func Write(out io.Writer, days []Day) error {
	drawn := make([]drawnDay, 0, len(days))
	for _, day := range days {
		svg, err := drawDay(day)
		if err != nil {
			return errors.Wrapf(err, "draw %s", day.Title)
		}
		drawn = append(drawn, drawnDay{Day: day, Plot: template.HTML(svg), Total: total(day)})
	}
	return errors.Wrap(page.Execute(out, drawn), "write the page")
}

func total(day Day) (sum Window) {
	for _, w := range day.Windows {
		sum.Served += w.Served
		sum.Late += w.Late
		sum.Refused += w.Refused
		sum.Failed += w.Failed
	}
	return sum
}

// drawDay returns the plot of a day as SVG.
func drawDay(day Day) (string, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests in " + day.Step.String()
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.XOffs = legendOffset
	for _, s := range series {
		line, err := plotter.NewLine(points(day, s.count))
		if err != nil {
			return "", err
		}
		line.Color = s.color
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.Y.Max *= headroom
	for _, mark := range day.Marks {
		area, err := plotter.NewPolygon(markArea(mark, p.Y.Max))
		if err != nil {
			return "", err
		}
		area.Color, area.LineStyle.Width = markColor, 0
		p.Add(area)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	_, err := canvas.WriteTo(&svg)
	return svgElement(svg.String()), err
}

func points(day Day, count func(Window) int) plotter.XYs {
	out := make(plotter.XYs, len(day.Windows))
	for i, w := range day.Windows {
		out[i] = plotter.XY{X: w.At.Seconds(), Y: float64(count(w))}
	}
	return out
}

// markArea returns the rectangle of a mark, over the whole height of the plot.
func markArea(m Mark, top float64) plotter.XYs {
	from, to := m.From.Seconds(), m.To.Seconds()
	return plotter.XYs{{X: from}, {X: to}, {X: to, Y: top}, {X: from, Y: top}}
}

// svgElement drops the XML declaration and other text before the svg element, which is
// not allowed inside an HTML page.
func svgElement(svg string) string {
	if i := strings.Index(svg, "<svg"); i >= 0 {
		return svg[i:]
	}
	return svg
}

func asSeconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }
