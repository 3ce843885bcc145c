package meter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// config is a configuration source with one organisation.
type config struct{ config *bulrushlug.Config }

func (r config) Config() *bulrushlug.Config { return r.config }
func (r config) Fresh() bool                { return true }
func (r config) Accepted() uint64           { return 1 }

func organisation(rate float64, burst uint32) config {
	return config{bulrushlug.RestoreConfig(1, []bulrushlug.Change{bulrushlug.NewChange("1", "t", bulrushlug.NewOrganisation("o", rate, burst))})}
}

const (
	rate           = 50.0
	burst          = 50
	reportInterval = 100 * time.Millisecond
	step           = 5 * time.Millisecond
	window         = 5 * time.Second // Span over which admissions are bounded.
	overrun        = 0.1             // Tolerated share beyond rate and burst.
	slack          = 20              // Requests tolerated beyond that.
)

// group is a set of processes that admit requests of one organisation.
type group struct {
	limiters []*Limiter
	boots    []uint64
	heard    []*atomic.Int64 // Number of processes that each one hears, itself included.
	cut      [][]bool
	times    []time.Time // Times of the admissions of all processes.
	rate     float64     // Of the organisation.
	burst    uint32
	interval time.Duration // Of reports.
	notice   time.Duration // Time after which a process that is not heard is noticed.
	random   *rand.Rand    // Picks the process of each request; nil for one after the other.
}

func newGroup(n int, full bool) *group {
	return newGroupOf(n, full, &group{rate: rate, burst: burst, interval: reportInterval, notice: 350 * time.Millisecond})
}

// newGroupOf adds n processes to g.
func newGroupOf(n int, full bool, g *group) *group {
	for i := range n {
		g.heard = append(g.heard, &atomic.Int64{})
		g.heard[i].Store(int64(n))
		g.boots = append(g.boots, uint64(time.Now().UnixMilli()))
		g.cut = append(g.cut, make([]bool, n))
		g.limiters = append(g.limiters, g.newLimiter(i, full))
	}
	return g
}

func (g *group) newLimiter(i int, full bool) *Limiter {
	return New(organisation(g.rate, g.burst), func() (int, int) { return int(g.heard[i].Load()), len(g.heard) }, g.boots[i], full, bulrushlug.NewTolerance(window, overrun, slack))
}

// restart replaces the limiter of process i by one with a later boot.
func (g *group) restart(i int) {
	g.boots[i] = uint64(time.Now().UnixMilli())
	g.limiters[i] = g.newLimiter(i, false)
}

// restartAll replaces all limiters by ones with a later boot.
func (g *group) restartAll() {
	for i := range g.limiters {
		g.restart(i)
	}
}

// split partitions the processes before n from the others; they notice after g.notice.
func (g *group) split(n int) {
	for i := range g.limiters {
		for j := range g.limiters {
			g.cut[i][j] = (i < n) != (j < n)
		}
	}
	time.AfterFunc(g.notice, func() {
		for i := range g.heard {
			g.heard[i].Store(int64(len(g.heard) - n))
			if i < n {
				g.heard[i].Store(int64(n))
			}
		}
	})
}

func (g *group) heal() {
	for i := range g.limiters {
		clear(g.cut[i])
		g.heard[i].Store(int64(len(g.limiters)))
	}
}

func (g *group) exchangeReports() {
	for i, m := range g.limiters {
		r := bulrushlug.NewReport(bulrushlug.NewMember(fmt.Sprint("e", i), "", "", "", ""), g.boots[i], 1, bulrushlug.ReportAdmissionCounts(m.AdmissionCounts()))
		for j, x := range g.limiters {
			if i != j && !g.cut[i][j] {
				x.ApplyReport(r)
			}
		}
	}
}

// run sends perSecond requests a second for d in turn to all processes, and returns the admitted share.
func (g *group) run(d time.Duration, perSecond float64) float64 {
	owed, sent, admitted, next := 0.0, 0, 0, 0
	told := time.Now()
	for t := time.Now(); time.Since(t) < d; time.Sleep(step) {
		if time.Since(told) >= g.interval {
			told = time.Now()
			g.exchangeReports()
		}
		for owed += perSecond * step.Seconds(); owed >= 1; owed-- {
			next = (next + 1) % len(g.limiters)
			if g.random != nil {
				next = g.random.IntN(len(g.limiters))
			}
			sent++
			if g.limiters[next].Take(context.Background(), "o") == nil {
				admitted++
				g.times = append(g.times, time.Now())
			}
		}
	}
	return float64(admitted) / float64(sent)
}

// maxInWindow returns the highest number of admissions in any window.
func (g *group) maxInWindow() (n int) {
	from := 0
	for i, t := range g.times {
		for t.Sub(g.times[from]) > window {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

func TestAdmissionBound(t *testing.T) {
	for name, x := range map[string]func(g *group){
		"steady":             func(g *group) { g.run(20*time.Second, 8*rate) },
		"after an idle time": func(g *group) { g.run(5*time.Second, 1); g.run(10*time.Second, 8*rate) },
		"one restarts":       func(g *group) { g.run(4*time.Second, 8*rate); g.restart(0); g.run(6*time.Second, 8*rate) },
		"all restart": func(g *group) {
			g.run(4*time.Second, 8*rate)
			for i := range g.limiters {
				g.restart(i)
			}
			g.run(8*time.Second, 8*rate)
		},
		"one is partitioned": func(g *group) {
			g.run(4*time.Second, 8*rate)
			g.split(1)
			g.run(8*time.Second, 8*rate)
			g.heal()
			g.run(5*time.Second, 8*rate)
		},
		"partition into halves": func(g *group) {
			g.run(4*time.Second, 8*rate)
			g.split(2)
			g.run(8*time.Second, 8*rate)
			g.heal()
			g.run(5*time.Second, 8*rate)
		},
		"restart in a partition": func(g *group) {
			g.split(2)
			g.run(2*time.Second, 8*rate)
			g.restart(1)
			g.run(6*time.Second, 8*rate)
			g.heal()
			g.run(5*time.Second, 8*rate)
		},
		"partition before requests": func(g *group) { g.split(1); g.run(3*time.Second, 0.5); g.run(6*time.Second, 8*rate) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bound := (rate*window.Seconds()+burst)*(1+overrun) + slack
				g := newGroup(4, true)
				x(g)
				if n := g.maxInWindow(); float64(n) > bound {
					t.Errorf("%d admissions within %v, the bound is %.0f", n, window, bound)
				}
			})
		})
	}
}

// TestLearnedFromReports takes a first request of an organisation whose other process was within its rate for long and
// then beyond it.
func TestLearnedFromReports(t *testing.T) {
	for name, x := range map[string]struct {
		full bool   // The processes start with full buckets; otherwise both restarted before.
		late uint32 // Requests at the other process just before, beyond those within the rate.
		ok   bool
	}{
		"within the rate":                  {full: true, ok: true},
		"beyond the rate":                  {full: true, late: 2 * burst},
		"within the rate, after a restart": {ok: true},
		"beyond the rate, after a restart": {late: 2 * burst},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(2, x.full)
				admitted := uint64(0)
				report := func(n uint32) {
					admitted += uint64(n)
					r := bulrushlug.NewReport(bulrushlug.NewMember("e1", "", "", "", ""), g.boots[1], 1, bulrushlug.ReportAdmissionCounts([]bulrushlug.AdmissionCount{bulrushlug.NewAdmissionCount("o", admitted, burst)}))
					g.limiters[0].ApplyReport(r)
				}
				for range 100 {
					report(1)
					time.Sleep(reportInterval)
				}
				report(x.late)
				if err := g.limiters[0].Take(t.Context(), "o"); (err == nil) != x.ok {
					t.Errorf("Take returned %v", err)
				}
			})
		})
	}
}

// TestUnheardPart has two of four processes fall silent a second after a round, in which one of the others admitted 30
// requests: what is left is half of the level and of the tokens since, less these.
func TestUnheardPart(t *testing.T) {
	for name, x := range map[string]struct {
		counted bool // The report after it has a count of the organisation.
	}{
		"a report with the organisation":    {counted: true},
		"a report without the organisation": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(4, true)
				m := g.limiters[0]
				report := func(vm string, l ...bulrushlug.AdmissionCount) {
					m.ApplyReport(bulrushlug.NewReport(bulrushlug.NewMember(vm, "", "", "", ""), g.boots[1], 1, bulrushlug.ReportAdmissionCounts(l)))
				}
				for i := range 4 {
					report(fmt.Sprint("e", i), bulrushlug.NewAdmissionCount("o", 0, burst))
				}
				report("e1", bulrushlug.NewAdmissionCount("o", 30, burst))
				time.Sleep(time.Second)
				g.heard[0].Store(2)
				if x.counted {
					report("e1", bulrushlug.NewAdmissionCount("o", 30, burst))
				} else {
					report("e1")
				}
				if err := m.Take(t.Context(), "o"); err != nil {
					t.Fatal(err)
				}
				want := (burst+rate)/2.0 - 30 - 1
				if l := m.AdmissionCounts()[0].Level(); l != want {
					t.Errorf("the level is %g, want %g", l, want)
				}
			})
		})
	}
}

func TestRequestsWithinRate(t *testing.T) {
	for name, x := range map[string]struct {
		run   func(g *group) float64
		least float64
	}{
		"steady": {run: func(g *group) float64 { return g.run(20*time.Second, 0.9*rate) }, least: 1},
		"in waves": {run: func(g *group) float64 {
			return (g.run(2*time.Second, 0.4*rate) + g.run(2*time.Second, 1.4*rate) + g.run(2*time.Second, 0.4*rate)) / 3
		}, least: 1},
		"all restart": {run: func(g *group) float64 {
			g.run(4*time.Second, 0.6*rate)
			for i := range g.limiters {
				g.restart(i)
			}
			return g.run(8*time.Second, 0.6*rate)
		}, least: 0.9},
		"one restarts": {run: func(g *group) float64 {
			g.run(4*time.Second, 0.6*rate)
			g.restart(0)
			return g.run(4*time.Second, 0.6*rate)
		}, least: 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if p := x.run(newGroup(4, true)); p < x.least {
					t.Errorf("%.3f of the requests within the rate were admitted", p)
				}
			})
		})
	}
}

// TestAdmissionCountsByTurns checks that active organisations are in every report and idle ones in one of each round
// of turns.
func TestAdmissionCountsByTurns(t *testing.T) {
	for name, x := range map[string]struct {
		idle time.Duration // Time since the last admission at the start.
		all  bool          // Every report must have the organisation; otherwise one in each round of turns.
	}{
		"just admitted":          {all: true},
		"admitted some time ago": {idle: recentTime - shardCount*turnInterval/8 - time.Millisecond, all: true},
		"idle":                   {idle: 2 * recentTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newGroup(1, true).limiters[0]
				if err := m.Take(t.Context(), "o"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(x.idle)
				d := shardCount * turnInterval
				if x.all {
					d = recentTime - x.idle
				}
				with, n := 0, 0
				for b := time.Now(); time.Since(b) < d; time.Sleep(reportInterval) {
					n++
					with += len(m.AdmissionCounts())
				}
				if with == 0 || x.all && with != n {
					t.Errorf("%d of %d reports include the organisation", with, n)
				}
			})
		})
	}
}
