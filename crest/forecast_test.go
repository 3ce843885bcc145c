package crest

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// demand is a square wave of requests of 0.8 s from a time on.
type demand struct {
	from           time.Duration
	period, trough time.Duration // No wave if period is zero.
	low, high      float64       // Requests in progress.
}

// at returns the requests in progress at time t; l are the parts, of which the last one begun holds.
func at(l []demand, t time.Duration, r *rand.Rand) int {
	x := demand{}
	for _, y := range l {
		if t >= y.from {
			x = y
		}
	}
	if x.period == 0 {
		return max(0, int(x.low+r.NormFloat64()*math.Sqrt(x.low)))
	}
	const length = 800 * time.Millisecond
	phase, level := (t-x.from)%x.period, x.high
	if phase < x.trough {
		level = x.low + (x.high-x.low)*max(0, 1-phase.Seconds()/length.Seconds())
	} else {
		level = x.low + (x.high-x.low)*min(1, (phase-x.trough).Seconds()/length.Seconds())
	}
	return max(0, int(level+r.NormFloat64()*math.Sqrt(level)))
}

func TestForecast(t *testing.T) {
	wave := demand{period: 6 * time.Second, trough: 3600 * time.Millisecond, low: 70, high: 380}
	other := demand{from: 31 * time.Second, period: 4 * time.Second, trough: 2 * time.Second, low: 50, high: 200}
	for name, x := range map[string]struct {
		demand  []demand
		history time.Duration // Zero for 18 s.
		now     time.Duration
		known   bool // A wave is known.
		period  time.Duration
		low     int // Bounds of the peak of the next half second.
		high    int
	}{
		"one period":                          {demand: []demand{wave}, now: 9 * time.Second},
		"before the third crest":              {demand: []demand{wave}, now: 15400 * time.Millisecond, known: true, period: 6 * time.Second, low: 200, high: 420},
		"in a trough":                         {demand: []demand{wave}, now: 20 * time.Second, known: true, period: 6 * time.Second, low: 60, high: 110},
		"at a crest":                          {demand: []demand{wave}, now: 22700 * time.Millisecond, known: true, period: 6 * time.Second, low: 340, high: 450},
		"the wave begins after a calm":        {demand: []demand{{low: 190}, {from: 20 * time.Second, period: 6 * time.Second, trough: 3600 * time.Millisecond, low: 70, high: 380}}, now: 35600 * time.Millisecond, known: true, period: 6 * time.Second, low: 300, high: 450},
		"a wave that stops is forgotten":      {demand: []demand{wave, {from: 30 * time.Second, low: 70}}, now: 36 * time.Second},
		"a wave that changes is followed":     {demand: []demand{wave, other}, now: 40500 * time.Millisecond, known: true, period: 4 * time.Second, low: 40, high: 230},
		"noise is no wave":                    {demand: []demand{{low: 190}}, now: 30 * time.Second},
		"a wave longer than half the history": {demand: []demand{wave}, history: 10 * time.Second, now: 30 * time.Second},
		"nothing":                             {now: 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			d := x.history
			if d == 0 {
				d = 18 * time.Second
			}
			f, r, begin := New(d), rand.New(rand.NewPCG(1, 2)), time.Now()
			for s := time.Duration(0); s <= x.now; s += step {
				f.Observe(begin.Add(s), at(x.demand, s, r))
			}
			n, ok := f.Peak(500 * time.Millisecond)
			p := f.Period()
			if ok != x.known || ok && (n < x.low || n > x.high || (p-x.period).Abs() > step) {
				t.Errorf("a wave of %v, peak %d", p, n)
			}
		})
	}
}

// TestForecastAfterSuspension has a process sleep: what it knew of the phase no longer holds.
func TestForecastAfterSuspension(t *testing.T) {
	f, r, begin := New(18*time.Second), rand.New(rand.NewPCG(1, 2)), time.Now()
	for s := time.Duration(0); s <= 30*time.Second; s += step {
		f.Observe(begin.Add(s), at([]demand{{period: 6 * time.Second, trough: 3 * time.Second, low: 70, high: 380}}, s, r))
	}
	if f.Period() == 0 {
		t.Fatal("no wave")
	}
	f.Observe(begin.Add(time.Minute), 70)
	if p := f.Period(); p != 0 {
		t.Errorf("a wave of %v", p)
	}
}
