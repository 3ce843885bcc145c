package meter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// TestManyProcesses replays the load of one organisation in a system of many entries, whose callers reach any of them at
// random: within its rate, its requests are admitted though few of them meet at one entry; beyond it, the bound holds.
// METER_SEEDS sets how many seeds each case runs with.
func TestManyProcesses(t *testing.T) {
	seeds := uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("METER_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	wave := func(g *group, mean float64) (admitted float64) {
		for range 3 {
			admitted += g.run(3600*time.Millisecond, 0.39*mean)*0.39*3.6/6 + g.run(2400*time.Millisecond, 1.91*mean)*1.91*2.4/6
		}
		return admitted / 3
	}
	nearRate := func(g *group, rate float64) (admitted float64) {
		g.run(3*time.Second, 0.95*rate)
		for range 2 {
			g.restartAll()
			admitted += g.run(5*time.Second, 0.95*rate) / 2
		}
		return admitted
	}
	contended := func(g *group, rate float64) float64 {
		g.run(3*time.Second, 0.95*rate)
		g.run(3*time.Second, 2*rate)
		g.restartAll()
		return g.run(5*time.Second, 0.7*rate)
	}
	for name, x := range map[string]struct {
		processes int
		rate      float64
		burst     uint32
		run       func(g *group) float64
		least     float64 // Share of the requests that is admitted at least.
	}{
		"a large one in waves":        {processes: 88, rate: 118, burst: 118, least: 0.98, run: func(g *group) float64 { return wave(g, 0.5*118) }},
		"a middle one in waves":       {processes: 88, rate: 68, burst: 68, least: 0.98, run: func(g *group) float64 { return wave(g, 0.5*68) }},
		"a small one in waves":        {processes: 88, rate: 8, burst: 8, least: 0.98, run: func(g *group) float64 { return wave(g, 0.5*8) }},
		"tens of processes":           {processes: 17, rate: 60, burst: 60, least: 0.98, run: func(g *group) float64 { return wave(g, 0.5*60) }},
		"a large one turns hot":       {processes: 88, rate: 118, burst: 118, run: func(g *group) float64 { wave(g, 0.5*118); return g.run(8*time.Second, 7.5*118) }},
		"a middle one turns hot":      {processes: 88, rate: 68, burst: 68, run: func(g *group) float64 { wave(g, 0.5*68); return g.run(8*time.Second, 7.5*68) }},
		"a small one turns hot":       {processes: 88, rate: 8, burst: 8, run: func(g *group) float64 { wave(g, 0.5*8); return g.run(8*time.Second, 7.5*8) }},
		"it turns hot, tens":          {processes: 17, rate: 60, burst: 60, run: func(g *group) float64 { wave(g, 0.5*60); return g.run(8*time.Second, 7.5*60) }},
		"it turns hot when half full": {processes: 88, rate: 118, burst: 118, run: func(g *group) float64 { g.run(4*time.Second, 1.1*118); return g.run(8*time.Second, 7.5*118) }},
		"a large one turns hot in a partition": {processes: 88, rate: 118, burst: 118, run: func(g *group) float64 {
			wave(g, 0.5*118)
			g.split(44)
			return g.run(8*time.Second, 7.5*118)
		}},
		"a small one turns hot in a partition": {processes: 88, rate: 8, burst: 8, run: func(g *group) float64 {
			wave(g, 0.5*8)
			g.split(44)
			return g.run(8*time.Second, 7.5*8)
		}},
		"one of 20 a second turns hot in a partition": {processes: 88, rate: 20, burst: 20, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*20)
			g.split(44)
			return g.run(8*time.Second, 7.5*20)
		}},
		"one of 40 a second turns hot in a partition": {processes: 88, rate: 40, burst: 40, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*40)
			g.split(44)
			return g.run(8*time.Second, 7.5*40)
		}},
		"one of 20 a second turns hot": {processes: 88, rate: 20, burst: 20, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*20)
			return g.run(8*time.Second, 7.5*20)
		}},
		"one of 40 a second turns hot": {processes: 88, rate: 40, burst: 40, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*40)
			return g.run(8*time.Second, 7.5*40)
		}},
		"one of 20 a second turns hot late in a partition": {processes: 88, rate: 20, burst: 20, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*20)
			g.split(44)
			g.run(time.Second, 0.5*20)
			return g.run(8*time.Second, 7.5*20)
		}},
		"one of 40 a second turns hot late in a partition": {processes: 88, rate: 40, burst: 40, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*40)
			g.split(44)
			g.run(time.Second, 0.5*40)
			return g.run(8*time.Second, 7.5*40)
		}},
		// Load pattern: an organisation within its rate while the entries are cut into two halves, or half of them fail.
		"one of 20 a second stays calm in a partition": {processes: 88, rate: 20, burst: 20, least: 0.88, run: func(g *group) float64 {
			g.run(4*time.Second, 0.8*20)
			g.split(44)
			return g.run(8*time.Second, 0.8*20)
		}},
		"a large one stays calm in a partition": {processes: 88, rate: 118, burst: 118, least: 0.75, run: func(g *group) float64 {
			g.run(4*time.Second, 0.8*118)
			g.split(44)
			return g.run(8*time.Second, 0.8*118)
		}},
		"one of 20 a second stays calm, half of the processes fail": {processes: 88, rate: 20, burst: 20, least: 0.88, run: func(g *group) float64 {
			g.run(4*time.Second, 0.4*20)
			g.split(44)
			g.limiters = g.limiters[:44]
			return g.run(8*time.Second, 0.4*20)
		}},
		"a large one stays calm, half of the processes fail": {processes: 88, rate: 118, burst: 118, least: 0.75, run: func(g *group) float64 {
			g.run(4*time.Second, 0.4*118)
			g.split(44)
			g.limiters = g.limiters[:44]
			return g.run(8*time.Second, 0.4*118)
		}},
		"tens, one turns hot in a partition": {processes: 17, rate: 60, burst: 60, run: func(g *group) float64 {
			wave(g, 0.5*60)
			g.split(8)
			return g.run(8*time.Second, 7.5*60)
		}},
		"a small one in waves, one process failed": {processes: 88, rate: 8, burst: 8, least: 0.95, run: func(g *group) float64 {
			wave(g, 0.5*8)
			g.split(1)
			time.Sleep(2 * g.notice)
			return wave(g, 0.5*8)
		}},
		"a large one in waves, all restart": {processes: 88, rate: 118, burst: 118, least: 0.75, run: func(g *group) float64 {
			wave(g, 0.5*118)
			g.restartAll()
			return g.run(3600*time.Millisecond, 0.5*118)
		}},
		// Load pattern: a crest just below the rate while all entries restart, twice. The organisation is contended all the
		// time, and few of its requests meet at one entry.
		"a small one near its rate, all restart twice":  {processes: 88, rate: 8, burst: 8, least: 0.75, run: func(g *group) float64 { return nearRate(g, 8) }},
		"a middle one near its rate, all restart twice": {processes: 88, rate: 68, burst: 68, least: 0.75, run: func(g *group) float64 { return nearRate(g, 68) }},
		"a large one near its rate, all restart twice":  {processes: 88, rate: 118, burst: 118, least: 0.75, run: func(g *group) float64 { return nearRate(g, 118) }},
		// Load pattern: twice the rate until all entries restart, then within it.
		"a small contended one, all restart": {processes: 88, rate: 8, burst: 8, least: 0.75, run: func(g *group) float64 { return contended(g, 8) }},
		"a large contended one, all restart": {processes: 88, rate: 118, burst: 118, least: 0.75, run: func(g *group) float64 { return contended(g, 118) }},
		"all restart and a small one turns hot": {processes: 88, rate: 8, burst: 8, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*8)
			g.restartAll()
			return g.run(8*time.Second, 7.5*8)
		}},
		"all restart and a middle one turns hot": {processes: 88, rate: 68, burst: 68, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*68)
			g.restartAll()
			return g.run(8*time.Second, 7.5*68)
		}},
		"all restart one after the other and a small one is hot": {processes: 88, rate: 8, burst: 8, run: func(g *group) float64 {
			g.run(4*time.Second, 0.5*8)
			for i := range g.limiters {
				g.restart(i)
				g.run(10*time.Millisecond, 7.5*8)
			}
			return g.run(8*time.Second, 7.5*8)
		}},
		"all restart and it turns hot": {processes: 88, rate: 118, burst: 118, run: func(g *group) float64 {
			wave(g, 0.5*118)
			g.restartAll()
			return g.run(8*time.Second, 7.5*118)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range seeds {
				t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						g := newGroupOf(x.processes, true, &group{rate: x.rate, burst: x.burst, interval: 500 * time.Millisecond, notice: 1250 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2+i))})
						p := x.run(g)
						bound := (x.rate*window.Seconds()+float64(x.burst))*(1+overrun) + slack
						n := g.maxInWindow()
						t.Logf("%.3f admitted, at most %d within %v, the bound is %.0f", p, n, window, bound)
						if p < x.least {
							t.Errorf("%.3f of the requests within the rate were admitted", p)
						}
						if float64(n) > bound {
							t.Errorf("%d admissions within %v, the bound is %.0f", n, window, bound)
						}
					})
				})
			}
		})
	}
}
