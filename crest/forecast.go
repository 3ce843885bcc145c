// Package crest forecasts the crests of online demand that rises and falls in a wave.
//
// Load pattern: online requests come in a square wave whose period is seconds, and a crest needs most slots, while lots
// fill what the trough before it leaves idle. Engines admit by arrival, so a batch item that is cut when the crest is
// there has already made an online request wait. Whoever knows what the last crest needed, and when, has the slots idle
// before the next one.
package crest

import (
	"math"
	"sync"
	"time"
)

const (
	step        = 100 * time.Millisecond // Time between two samples.
	maxHistory  = 24 * time.Second       // Longest history; the search takes time with its square.
	minPeriod   = 1500 * time.Millisecond
	slack       = 2   // Samples by which a wave may come early or late.
	maxMismatch = 0.3 // Mismatch up to which two periods are the same wave.
	lostAt      = 0.6 // Mismatch from which a known wave has ended or changed.
	// minDispersion is the least variance of a wave in units of its mean. Requests that come independently have one.
	minDispersion = 4
)

// Forecast expects that the demand of the last period repeats. The period is that of two periods in a row which differ
// little, as in detectors of the pitch of a voice; it is looked for anew once the last two differ.
type Forecast struct {
	mu      sync.Mutex
	size    int       // Samples that are kept, twice the longest period.
	samples []float64 // Online requests in progress, a step apart, the newest one last.
	at      time.Time // Time of the newest sample; zero before the first one.
	period  int       // Period in steps; zero while there is no wave.
}

// New returns a forecast that needs at most d to know a wave: it finds those that come twice in that time.
func New(d time.Duration) *Forecast { return &Forecast{size: int(min(d, maxHistory) / step)} }

// Observe records that n online requests are in progress at time now.
func (f *Forecast) Observe(now time.Time, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := int(now.Sub(f.at) / step)
	if len(f.samples) == 0 || k > f.size {
		f.samples, f.at, f.period = append(f.samples[:0], float64(n)), now, 0
		return
	}
	if k == 0 {
		return
	}
	f.at = f.at.Add(time.Duration(k) * step)
	for last := f.samples[len(f.samples)-1]; k > 1; k-- {
		f.samples = append(f.samples, last)
	}
	f.samples = append(f.samples, float64(n))
	f.samples = f.samples[max(0, len(f.samples)-f.size):]
	f.learn()
}

// learn follows the wave of the last two periods, or looks for another one if they differ.
func (f *Forecast) learn() {
	if p := f.period; p > 0 && f.mismatch(p) < lostAt {
		for _, q := range []int{p - 1, p + 1} {
			if f.mismatch(q) < f.mismatch(f.period) {
				f.period = q
			}
		}
		return
	}
	f.period = 0
	for p := int(minPeriod / step); 2*p <= len(f.samples); p++ {
		if m := f.mismatch(p); m > maxMismatch || m > f.mismatch(p+1) {
			continue
		}
		f.period = p
		return
	}
}

// mismatch returns how far the last p samples differ from the p before them, in units of the variance of all of them:
// zero for a wave of that period, about one for noise, infinite if this can't be told.
func (f *Forecast) mismatch(p int) float64 {
	n := len(f.samples)
	if p == 0 || 2*p > n {
		return math.Inf(1)
	}
	l := f.samples[n-2*p:]
	sum, squares, differences := 0.0, 0.0, 0.0
	for i, x := range l[:p] {
		y := l[p+i]
		sum += x + y
		squares += x*x + y*y
		differences += (y - x) * (y - x)
	}
	mean := sum / float64(2*p)
	deviations := squares - sum*mean
	if deviations <= minDispersion*sum {
		return math.Inf(1)
	}
	return differences / deviations
}

// Peak returns the most online requests that are expected in progress in the d after the last observation: those of now,
// and those that were in progress a period before.
func (f *Forecast) Peak(d time.Duration) (n int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.period == 0 {
		return 0, false
	}
	last := len(f.samples) - 1
	peak := f.samples[last]
	for i := max(0, last-f.period-slack); i <= min(last, last-f.period+int(d/step)+slack); i++ {
		peak = max(peak, f.samples[i])
	}
	return int(math.Ceil(peak)), true
}

// Period returns the period of the wave; zero if there is none.
func (f *Forecast) Period() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.period) * step
}
