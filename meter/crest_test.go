package meter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	promptTime    = 200 * time.Millisecond // Time after which a request is late even if it is admitted then.
	deadline      = 5 * time.Second        // Of a request.
	callers       = 40                     // Of one organisation; each reaches one entry.
	usualPart     = 1 / 1.6                // Usual mean of the requests of an organisation, as a share of its rate.
	reportLatency = 5 * time.Millisecond   // Of a report.
	minReport     = 100 * time.Millisecond // Time between two reports of a process.
	maxReport     = 208 * time.Millisecond
	wavePeriod    = 6 * time.Second
	troughTime    = 3600 * time.Millisecond
	troughPart    = 0.391
	crestPart     = 1.91
)

// exactBucket is one token bucket that sees all requests.
type exactBucket struct {
	rate, burst, level float64
	at                 time.Time
}

func newExactBucket(rate, burst float64) *exactBucket {
	return &exactBucket{rate: rate, burst: burst, level: burst, at: time.Now()}
}

func (b *exactBucket) refill() {
	b.level = min(b.burst, b.level+b.rate*time.Since(b.at).Seconds())
	b.at = time.Now()
}

// take deducts one request if there is a token.
func (b *exactBucket) take() bool {
	b.refill()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// crest is the load of one organisation that turns hot at the crests of a square wave, and what became of it.
type crest struct {
	*group
	callers []int // Entry of each caller; some entries have several of them, and others none.

	mu       sync.Mutex
	exact    *exactBucket
	requests int // First attempts and returns.
	refused  int
	exactly  int // Refused by the exact bucket.
	again    int // Refused after a return.
	prompt   int // Admitted within promptTime of the first attempt.
}

func newCrest(rate float64, seed uint64) *crest {
	r := rand.New(rand.NewPCG(seed, 44))
	c := &crest{group: newGroupOf(24, true, &group{rate: rate, burst: uint32(rate), notice: 1250 * time.Millisecond, random: r, byDemand: true}), exact: newExactBucket(rate, rate)}
	for range callers {
		c.callers = append(c.callers, r.IntN(len(c.limiters)))
	}
	return c
}

// report sends the reports of process i until t.
func (c *crest) report(i int, t time.Time) {
	r := rand.New(rand.NewPCG(uint64(i), 45))
	for time.Now().Before(t) {
		time.Sleep(minReport + time.Duration(r.Int64N(int64(maxReport-minReport))))
		r := bulrushlug.NewReport(bulrushlug.NewMember(fmt.Sprint("e", i), "", "", "", ""), c.boots[i], 1, bulrushlug.ReportAdmissionCounts(c.limiters[i].AdmissionCounts()))
		time.AfterFunc(reportLatency, func() {
			for j, m := range c.limiters {
				if i != j && !c.cut[i][j] {
					m.ApplyReport(r)
				}
			}
		})
	}
}

// play sends the wave for d with x times the usual requests.
func (c *crest) play(d time.Duration, x float64) {
	b := time.Now()
	for time.Since(b) < d {
		p := troughPart
		if time.Since(b)%wavePeriod >= troughTime {
			p = crestPart
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() / (c.rate * usualPart * p * x) * float64(time.Second)))
		c.arrive(time.Now(), false)
	}
}

// arrive sends one request to the entry of a caller; one that is refused returns once, to another entry, after the time that
// it was told or a third of what its caller has left.
func (c *crest) arrive(first time.Time, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if !c.exact.take() {
		c.exactly++
	}
	err := c.limiters[c.callers[c.random.IntN(len(c.callers))]].Take(context.Background(), "o")
	switch {
	case err == nil:
		c.times = append(c.times, time.Now())
		if time.Since(first) <= promptTime {
			c.prompt++
		}
	case again:
		c.refused++
		c.again++
	default:
		c.refused++
		time.AfterFunc(min(bulrushlug.RetryAfterOf(err), deadline/3), func() { c.arrive(first, true) })
	}
}

// TestCrest replays an organisation whose callers reach 24 entries unevenly, within its rate and at seven times its usual for
// 9 s: divided by demand, nearly as many requests are admitted as by one bucket that sees all of them.
func TestCrest(t *testing.T) {
	calm := func(c *crest) { c.play(24*time.Second, 1) }
	hot := func(c *crest) { c.play(6*time.Second, 1); c.play(9*time.Second, 7); c.play(6*time.Second, 1) }
	for name, x := range map[string]struct {
		rate float64
		play func(c *crest)
		most float64 // Share of the requests that is refused at most beyond those that the one bucket refuses.
	}{
		"a large one in waves":   {rate: 100, play: calm, most: 0.001},
		"a middle one in waves":  {rate: 30, play: calm, most: 0.001},
		"a large one turns hot":  {rate: 100, play: hot, most: 0.001},
		"a middle one turns hot": {rate: 30, play: hot, most: 0.005},
		// Load pattern: all callers are at one half of the entries, which a partition cuts from the other half, and at that moment
		// they spread over all entries and the organisation turns hot.
		"a large one turns hot in a partition": {rate: 100, most: 1, play: func(c *crest) {
			half := len(c.limiters) / 2
			for i := range c.callers {
				c.callers[i] %= half
			}
			c.play(6*time.Second, 1)
			c.split(half)
			for i := range c.callers {
				c.callers[i] += half * (i % 2)
			}
			c.play(9*time.Second, 7)
		}},
		"a small one turns hot": {rate: 6, play: hot, most: 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrest(x.rate, 1)
				end := time.Now().Add(30 * time.Second)
				var w sync.WaitGroup
				for i := range c.limiters {
					w.Go(func() { c.report(i, end) })
				}
				x.play(c)
				w.Wait()
				bound := (x.rate*window.Seconds()+float64(c.burst))*(1+overrun) + slack
				t.Logf("%d requests, %d refused (one bucket: %d), %d refused again, %d admitted promptly; at most %d in a window, bound %.0f", c.requests, c.refused, c.exactly, c.again, c.prompt, c.maxInWindow(), bound)
				if p := float64(c.refused-c.exactly) / float64(c.requests); p > x.most {
					t.Errorf("%.4f of the requests were refused beyond those that one bucket refuses", p)
				}
				if n := c.maxInWindow(); float64(n) > bound {
					t.Errorf("%d admissions within %v, the bound is %.0f", n, window, bound)
				}
			})
		})
	}
}
