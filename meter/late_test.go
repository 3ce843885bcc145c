package meter

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLateNotice partitions two processes that take some time to notice it. Meanwhile each is asked for the whole rate, so that
// its bucket stays full.
func TestLateNotice(t *testing.T) {
	for name, x := range map[string]struct {
		rate   float64
		burst  uint32
		notice time.Duration
	}{
		"a large rate": {rate: 400, burst: 800, notice: 900 * time.Millisecond},
		"late":         {rate: 200, burst: 400, notice: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroupOf(2, true, &group{rate: x.rate, burst: x.burst, interval: 300 * time.Millisecond, notice: x.notice})
				g.run(time.Second, 1)
				g.split(1)
				g.run(8*time.Second, 2*x.rate)
				bound := (x.rate*window.Seconds()+float64(x.burst))*(1+overrun) + slack
				if n := g.maxInWindow(); float64(n) > bound {
					t.Errorf("%d admissions within %v, the bound is %.0f", n, window, bound)
				}
			})
		})
	}
}
