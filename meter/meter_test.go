package meter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// rates is a configuration with one organisation.
type rates struct{ config *bulrushlug.Config }

func (r rates) Config() *bulrushlug.Config { return r.config }
func (r rates) Fresh() bool                { return true }
func (r rates) Accepted() uint64           { return 1 }

func organisation(rate float64, burst uint32) rates {
	return rates{bulrushlug.RestoreConfig(1, []bulrushlug.Change{bulrushlug.NewChange("1", "t", bulrushlug.NewOrganisation("o", rate, burst))})}
}

const (
	rate      = 50.0
	burst     = 50
	tellEvery = 100 * time.Millisecond
	step      = 5 * time.Millisecond
	window    = 5 * time.Second // Span over which admissions are bounded.
	overrun   = 0.1             // Share beyond rate and burst that the users allow.
	slack     = 20              // Requests beyond that.
)

// group is a set of processes that admit requests of one organisation.
type group struct {
	meters []*Limiter
	boots  []uint64
	heard  []int // Processes that each one hears, itself included.
	cut    [][]bool
	times  []time.Time // Admissions, of all processes.
}

func newGroup(n int, full bool) *group {
	g := &group{}
	for i := range n {
		g.heard = append(g.heard, n)
		g.boots = append(g.boots, 1)
		g.cut = append(g.cut, make([]bool, n))
		g.meters = append(g.meters, g.newMeter(i, full))
	}
	return g
}

func (g *group) newMeter(i int, full bool) *Limiter {
	return New(organisation(rate, burst), func() (int, int) { return g.heard[i], len(g.heard) }, g.boots[i], full, bulrushlug.NewTolerance(window, overrun, slack))
}

// restart gives process i a new start.
func (g *group) restart(i int) {
	g.boots[i]++
	g.meters[i] = g.newMeter(i, false)
}

// split cuts the processes before n off from the others; they notice after some time.
func (g *group) split(n int) {
	for i := range g.meters {
		for j := range g.meters {
			g.cut[i][j] = (i < n) != (j < n)
		}
	}
	time.AfterFunc(350*time.Millisecond, func() {
		for i := range g.heard {
			g.heard[i] = len(g.heard) - n
			if i < n {
				g.heard[i] = n
			}
		}
	})
}

func (g *group) heal() {
	for i := range g.meters {
		clear(g.cut[i])
		g.heard[i] = len(g.meters)
	}
}

func (g *group) tell() {
	for i, m := range g.meters {
		r := bulrushlug.NewReport(bulrushlug.NewMember(fmt.Sprint("e", i), "", "", "", ""), g.boots[i], 1, bulrushlug.ReportAdmissionCounts(m.AdmissionCounts()))
		for j, x := range g.meters {
			if i != j && !g.cut[i][j] {
				x.ApplyReport(r)
			}
		}
	}
}

// run sends perSecond requests for d, spread over the processes, and returns the admitted part.
func (g *group) run(d time.Duration, perSecond float64) float64 {
	owed, sent, admitted, next := 0.0, 0, 0, 0
	told := time.Now()
	for t := time.Now(); time.Since(t) < d; time.Sleep(step) {
		if time.Since(told) >= tellEvery {
			told = time.Now()
			g.tell()
		}
		for owed += perSecond * step.Seconds(); owed >= 1; owed-- {
			next = (next + 1) % len(g.meters)
			sent++
			if g.meters[next].Take(context.Background(), "o") == nil {
				admitted++
				g.times = append(g.times, time.Now())
			}
		}
	}
	return float64(admitted) / float64(sent)
}

// worst returns the most admissions in any window.
func (g *group) worst() (n int) {
	from := 0
	for i, t := range g.times {
		for t.Sub(g.times[from]) > window {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

func TestBound(t *testing.T) {
	for name, x := range map[string]func(g *group){
		"steady":             func(g *group) { g.run(20*time.Second, 8*rate) },
		"after a quiet time": func(g *group) { g.run(5*time.Second, 1); g.run(10*time.Second, 8*rate) },
		"one starts again":   func(g *group) { g.run(4*time.Second, 8*rate); g.restart(0); g.run(6*time.Second, 8*rate) },
		"all start again": func(g *group) {
			g.run(4*time.Second, 8*rate)
			for i := range g.meters {
				g.restart(i)
			}
			g.run(8*time.Second, 8*rate)
		},
		"one is cut off": func(g *group) {
			g.run(4*time.Second, 8*rate)
			g.split(1)
			g.run(8*time.Second, 8*rate)
			g.heal()
			g.run(5*time.Second, 8*rate)
		},
		"two halves": func(g *group) {
			g.run(4*time.Second, 8*rate)
			g.split(2)
			g.run(8*time.Second, 8*rate)
			g.heal()
			g.run(5*time.Second, 8*rate)
		},
		"halves, starts": func(g *group) {
			g.split(2)
			g.run(2*time.Second, 8*rate)
			g.restart(1)
			g.run(6*time.Second, 8*rate)
			g.heal()
			g.run(5*time.Second, 8*rate)
		},
		"cut before requests": func(g *group) { g.split(1); g.run(3*time.Second, 0.5); g.run(6*time.Second, 8*rate) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(4, true)
				x(g)
				bound := (rate*window.Seconds()+burst)*(1+overrun) + slack
				if n := g.worst(); float64(n) > bound {
					t.Errorf("%d admissions within %v, the bound is %.0f", n, window, bound)
				}
			})
		})
	}
}

func TestInsideRateIsAdmitted(t *testing.T) {
	for name, x := range map[string]struct {
		run   func(g *group) float64
		least float64
	}{
		"steady": {run: func(g *group) float64 { return g.run(20*time.Second, 0.9*rate) }, least: 1},
		"in waves": {run: func(g *group) float64 {
			return (g.run(2*time.Second, 0.4*rate) + g.run(2*time.Second, 1.4*rate) + g.run(2*time.Second, 0.4*rate)) / 3
		}, least: 1},
		"all start again": {run: func(g *group) float64 {
			g.run(4*time.Second, 0.6*rate)
			for i := range g.meters {
				g.restart(i)
			}
			return g.run(8*time.Second, 0.6*rate)
		}, least: 0.9},
		"one starts again": {run: func(g *group) float64 {
			g.run(4*time.Second, 0.6*rate)
			g.restart(0)
			return g.run(4*time.Second, 0.6*rate)
		}, least: 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if p := x.run(newGroup(4, true)); p < x.least {
					t.Errorf("%.3f of the requests inside the rate were admitted", p)
				}
			})
		})
	}
}

// TestSpendingsByTurns shows how often an organisation is in the reports.
func TestSpendingsByTurns(t *testing.T) {
	for name, x := range map[string]struct {
		idle time.Duration // Time since the last admission at the start.
		all  bool          // All reports have to have it; else one in each round of turns.
	}{
		"just admitted":        {all: true},
		"admitted a while ago": {idle: recentTime - shardCount*turnTime/8 - time.Millisecond, all: true},
		"idle":                 {idle: 2 * recentTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newGroup(1, true).meters[0]
				if err := m.Take(t.Context(), "o"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(x.idle)
				d := shardCount * turnTime
				if x.all {
					d = recentTime - x.idle
				}
				with, n := 0, 0
				for b := time.Now(); time.Since(b) < d; time.Sleep(tellEvery) {
					n++
					with += len(m.AdmissionCounts())
				}
				if with == 0 || x.all && with != n {
					t.Errorf("%d of %d reports have the organisation", with, n)
				}
			})
		})
	}
}
