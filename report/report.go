// Package report runs the simulation trials and renders their measurements as an HTML page of bar charts.
package report

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"html"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"bulrushlug.dev/bulrushlug"
)

const (
	trialPattern = "Priority|Rates|Ways|Placement|ControlCost|BatchCost" // Trials that report measurements, for go test -run.
	chartWidth   = 18 * vg.Centimeter
	chartMargin  = 2 * vg.Centimeter // Height of a chart without its bars.
	barHeight    = 0.9 * vg.Centimeter
	barWidth     = 14 // Points.
	fileMode     = 0o644

	labelFontSize = 8  // Points.
	labelPadding  = 40 // Points between labels and bars; fonts of viewers may be wider than those measured here.
)

// measureLine matches the log lines that reportMeasure in package trial writes.
var measureLine = regexp.MustCompile(`measure: (.+?) \| (.+?) \| (\S+)`)

// Report holds the measurements of one run, grouped by chart.
type Report struct {
	order  []string
	charts map[string][]bar
	output []byte // Combined output of go test.
}

// bar is one measurement of a chart.
type bar struct {
	name  string
	value float64
}

// New returns an empty report.
func New() *Report { return &Report{charts: map[string][]bar{}} }

// Run runs the trials with go test in the current module and writes a self-contained HTML page to path p; it fails if a
// trial fails, after the page is written.
func (r *Report) Run(c context.Context, p string) error {
	b, failed := exec.CommandContext(c, "go", "test", "-count=1", "-v", "./trial", "-run", trialPattern).CombinedOutput()
	r.output = b
	if err := r.parseOutput(b); err != nil {
		return err
	}
	page, err := r.renderPage(failed == nil)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p, page, fileMode); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	return failed
}

// parseOutput collects the measurements from the output of the trials.
func (r *Report) parseOutput(b []byte) error {
	s := bufio.NewScanner(bytes.NewReader(b))
	for s.Scan() {
		m := measureLine.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		v, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return bulrushlug.WrapError(bulrushlug.KindInternal, m[1], err)
		}
		if _, ok := r.charts[m[1]]; !ok {
			r.order = append(r.order, m[1])
		}
		r.charts[m[1]] = append(r.charts[m[1]], bar{name: m[2], value: v})
	}
	return s.Err()
}

// renderPage returns the HTML page; ok says whether all trials passed.
func (r *Report) renderPage(ok bool) ([]byte, error) {
	var b bytes.Buffer
	b.WriteString("<!DOCTYPE html><meta charset=\"utf-8\"><title>bulrushlug: measurements</title><h1>bulrushlug: measurements</h1>")
	verdict := "All trials passed; all bounds hold."
	if !ok {
		verdict = "A trial failed; see the output below."
	}
	fmt.Fprintf(&b, "<p>%s Measured in virtual time in a single run; the bounds are defined in package bounds.</p>", verdict)
	for _, n := range r.order {
		s, err := renderChart(n, r.charts[n])
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&b, "<h2>%s</h2>%s<table>", html.EscapeString(n), s)
		for _, x := range r.charts[n] {
			fmt.Fprintf(&b, "<tr><td>%s<td>%g", html.EscapeString(x.name), x.value)
		}
		b.WriteString("</table>")
	}
	fmt.Fprintf(&b, "<h2>Output</h2><pre>%s</pre>", html.EscapeString(string(r.output)))
	return b.Bytes(), nil
}

// renderChart returns a horizontal bar chart as an SVG element.
func renderChart(name string, l []bar) (string, error) {
	p := plot.New()
	p.X.Min = 0
	slices.SortFunc(l, func(a, b bar) int { return strings.Compare(b.name, a.name) })
	var v plotter.Values
	var n []string
	for _, x := range l {
		v = append(v, x.value)
		n = append(n, x.name)
	}
	c, err := plotter.NewBarChart(v, vg.Points(barWidth))
	if err != nil {
		return "", bulrushlug.WrapError(bulrushlug.KindInternal, name, err)
	}
	c.Horizontal = true
	p.Add(c)
	p.NominalY(n...)
	p.Y.Tick.Label.Font.Size = labelFontSize
	p.Y.Padding = labelPadding
	p.Y.Min, p.Y.Max = -0.5, float64(len(l))-0.5
	w := vgsvg.New(chartWidth, chartMargin+vg.Length(len(l))*barHeight)
	p.Draw(draw.New(w))
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", bulrushlug.WrapError(bulrushlug.KindInternal, name, err)
	}
	s := b.String()
	return s[max(0, strings.Index(s, "<svg")):], nil
}
