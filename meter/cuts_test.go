package meter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	entries   = 24
	half      = entries / 2
	minReport = 100 * time.Millisecond // Time between two reports of a process.
	maxReport = 208 * time.Millisecond
)

// cutGroup is a group whose processes report at different times, hear each other or not, and may be frozen.
type cutGroup struct {
	*group
	nextReport []time.Time
	lastHeard  [][]time.Time // By receiver and sender.
	frozen     []bool
	missed     [][]sent // Reports that wait for a frozen process.
}

// sent is a report of process from.
type sent struct {
	from   int
	report bulrushlug.Report
}

func newCutGroup(rate float64, burst uint32, notice time.Duration) *cutGroup {
	g := &cutGroup{group: newGroupOf(entries, true, &group{rate: rate, burst: burst, notice: notice, random: rand.New(rand.NewPCG(44, 1))})}
	for range entries {
		g.nextReport = append(g.nextReport, time.Now())
		l := make([]time.Time, entries)
		for j := range l {
			l[j] = time.Now()
		}
		g.lastHeard = append(g.lastHeard, l)
	}
	g.frozen, g.missed = make([]bool, entries), make([][]sent, entries)
	return g
}

// lose cuts the reports of the processes from a to b to those from c to d.
func (g *cutGroup) lose(a, b, c, d int) {
	for i := a; i < b; i++ {
		for j := c; j < d; j++ {
			g.cut[i][j] = true
		}
	}
}

func (g *cutGroup) freeze(a, b int) {
	for i := a; i < b; i++ {
		g.frozen[i] = true
	}
}

// thaw has all processes go on; what was sent to them meanwhile arrives after their next requests.
func (g *cutGroup) thaw() { clear(g.frozen) }

func (g *cutGroup) receive(j int, r sent) {
	if g.frozen[j] {
		g.missed[j] = append(g.missed[j], r)
		return
	}
	g.lastHeard[j][r.from] = time.Now()
	g.limiters[j].ApplyReport(r.report)
}

// exchange sends the reports that are due, and counts who is heard.
func (g *cutGroup) exchange() {
	now := time.Now()
	for i, m := range g.limiters {
		if g.frozen[i] {
			continue
		}
		for _, r := range g.missed[i] {
			g.receive(i, r)
		}
		g.missed[i] = nil
		if now.Before(g.nextReport[i]) {
			continue
		}
		g.nextReport[i] = now.Add(minReport + time.Duration(g.random.Int64N(int64(maxReport-minReport))))
		r := sent{i, bulrushlug.NewReport(bulrushlug.NewMember(fmt.Sprint("e", i), "", "", "", ""), g.boots[i], 1, bulrushlug.ReportAdmissionCounts(m.AdmissionCounts()))}
		for j := range g.limiters {
			if i != j && !g.cut[i][j] {
				g.receive(j, r)
			}
		}
	}
	for j := range g.limiters {
		n := int64(1)
		for i, t := range g.lastHeard[j] {
			if i != j && now.Sub(t) < g.notice {
				n++
			}
		}
		if !g.frozen[j] {
			g.heard[j].Store(n)
		}
	}
}

// play sends x times the rate for d to the processes from a to b at random, and returns the admitted share.
func (g *cutGroup) play(d time.Duration, x float64, a, b int) float64 {
	owed, sent, admitted := 0.0, 0, 0
	for t := time.Now(); time.Since(t) < d; time.Sleep(step) {
		for owed += x * g.rate * step.Seconds(); owed >= 1; owed-- {
			i := a + g.random.IntN(b-a)
			if g.frozen[i] {
				continue
			}
			sent++
			if g.limiters[i].Take(context.Background(), "o") == nil {
				admitted++
				g.times = append(g.times, time.Now())
			}
		}
		g.exchange()
	}
	return float64(admitted) / float64(max(1, sent))
}

// TestCuts plays a crest at all entries of which only the first half was asked before, while processes don't hear each other.
//
// Load pattern: a partition that nobody has noticed yet, with callers that move to the other side of it; then an idle bucket
// may be spent by both sides.
func TestCuts(t *testing.T) {
	type fault func(g *cutGroup, d time.Duration)
	// moved cuts with f, and has callers move to the second half for most of the time d until the cut is noticed.
	moved := func(f func(g *cutGroup)) fault {
		return func(g *cutGroup, d time.Duration) {
			f(g)
			g.play(d*3/4, 0.4, half, entries)
		}
	}
	both := func(g *cutGroup) { g.lose(0, half, half, entries); g.lose(half, entries, 0, half) }
	for name, f := range map[string]fault{
		"nothing is cut":                moved(func(*cutGroup) {}),
		"both ways":                     moved(both),
		"both ways, at the crest":       func(g *cutGroup, d time.Duration) { both(g) },
		"both ways, while callers move": func(g *cutGroup, d time.Duration) { g.play(400*time.Millisecond, 0.4, half, entries); both(g) },
		"the first half is deaf":        moved(func(g *cutGroup) { g.lose(half, entries, 0, half) }),
		"the second half is deaf":       moved(func(g *cutGroup) { g.lose(0, half, half, entries) }),
		"the first half is deaf late": func(g *cutGroup, d time.Duration) {
			g.play(400*time.Millisecond, 0.4, half, entries)
			g.lose(half, entries, 0, half)
		},
		"one process is deaf":                moved(func(g *cutGroup) { g.lose(1, entries, 0, 1) }),
		"one process is mute":                moved(func(g *cutGroup) { g.lose(0, 1, 1, entries) }),
		"the first half freezes":             func(g *cutGroup, d time.Duration) { g.freeze(0, half); g.play(d, 0.4, half, entries); g.thaw() },
		"the second half freezes":            func(g *cutGroup, d time.Duration) { g.freeze(half, entries); g.play(d, 0.4, 0, half); g.thaw() },
		"the first half restarts":            func(g *cutGroup, d time.Duration) { g.restartPart(0, half); g.play(d, 0.4, half, entries) },
		"the second half joins":              func(g *cutGroup, d time.Duration) { g.restartPart(half, entries); g.play(d, 0.4, 0, entries) },
		"the second half joins at the crest": func(g *cutGroup, d time.Duration) { g.restartPart(half, entries) },
		"both ways and the second restarts": func(g *cutGroup, d time.Duration) {
			both(g)
			g.play(d/2, 0.4, half, entries)
			g.restartPart(half, entries)
		},
	} {
		for _, d := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			for size, x := range map[string]struct {
				rate  float64
				burst uint32
			}{
				"a burst of 5 s":       {50, 250},
				"a large burst of 5 s": {200, 1000},
				"a small one":          {10, 10},
			} {
				t.Run(fmt.Sprint(name, "/", size, "/", d), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						g := newCutGroup(x.rate, x.burst, d)
						g.play(5*time.Second, 0.4, 0, half)
						f(g, d)
						p := g.play(6*time.Second, 7, 0, entries)
						bound := (g.rate*window.Seconds()+float64(g.burst))*(1+overrun) + slack
						n := g.maxInWindow()
						t.Logf("%d admissions within %v, the bound is %.0f, %.3f admitted", n, window, bound, p)
						if float64(n) > bound {
							t.Errorf("%d admissions within %v, the bound is %.0f", n, window, bound)
						}
					})
				})
			}
		}
	}
}

// restartPart restarts the processes from a to b.
func (g *cutGroup) restartPart(a, b int) {
	for i := a; i < b; i++ {
		g.restart(i)
	}
}
