// Package report runs the trials and draws their measures.
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
	trials   = "Priority|Rates|Ways|Placement|ControlCost|BatchCost"
	width    = 18 * vg.Centimeter
	margin   = 2 * vg.Centimeter // Height of a chart without bars.
	perBar   = 0.9 * vg.Centimeter
	barWidth = 14 // Points.
	fileMode = 0o644

	nameSize  = 8  // Points.
	nameSpace = 40 // Points between names and bars; fonts of viewers may be wider.
)

var line = regexp.MustCompile(`measure: (.+?) \| (.+?) \| (\S+)`)

// Report is the measures of one run, by chart.
type Report struct {
	order  []string
	charts map[string][]bar
	output []byte // What the trials printed.
}

type bar struct {
	name  string
	value float64
}

// New returns an empty report.
func New() *Report { return &Report{charts: map[string][]bar{}} }

// Run runs the trials in the module of the current folder, and writes one self-contained page to path p.
func (r *Report) Run(c context.Context, p string) error {
	b, failed := exec.CommandContext(c, "go", "test", "-count=1", "-v", "./trial", "-run", trials).CombinedOutput()
	r.output = b
	if err := r.parse(b); err != nil {
		return err
	}
	page, err := r.page(failed == nil)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p, page, fileMode); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	return failed
}

// parse collects the measures in the output of the trials.
func (r *Report) parse(b []byte) error {
	s := bufio.NewScanner(bytes.NewReader(b))
	for s.Scan() {
		m := line.FindStringSubmatch(s.Text())
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

func (r *Report) page(ok bool) ([]byte, error) {
	var b bytes.Buffer
	b.WriteString("<!DOCTYPE html><meta charset=\"utf-8\"><title>bulrushlug: measures</title><h1>bulrushlug: measures</h1>")
	verdict := "All bounds hold."
	if !ok {
		verdict = "A bound does not hold; see the output below."
	}
	fmt.Fprintf(&b, "<p>%s Virtual time, one run; bounds are in package bounds.</p>", verdict)
	for _, n := range r.order {
		s, err := chart(n, r.charts[n])
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

// chart returns a bar chart as SVG.
func chart(name string, l []bar) (string, error) {
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
	p.Y.Tick.Label.Font.Size = nameSize
	p.Y.Padding = nameSpace
	p.Y.Min, p.Y.Max = -0.5, float64(len(l))-0.5
	w := vgsvg.New(width, margin+vg.Length(len(l))*perBar)
	p.Draw(draw.New(w))
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", bulrushlug.WrapError(bulrushlug.KindInternal, name, err)
	}
	s := b.String()
	return s[max(0, strings.Index(s, "<svg")):], nil
}
