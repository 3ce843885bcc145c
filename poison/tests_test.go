package poison

import (
	"context"
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

// TestTestsGoRound has one process let tests through of which nothing is seen, as it can't reach the servers: another process
// gets its turn probeInterval later, however long reports take, and its test clears the part.
func TestTestsGoRound(t *testing.T) {
	const (
		processes = 20
		reports   = 300 * time.Millisecond
		patience  = 7500 * time.Millisecond // The quarantine, probeInterval and the delays of two tests.
	)
	for name, x := range map[string]struct {
		delay time.Duration // Time that a report takes.
		tests int           // Tests of the first process; negative for any number.
	}{
		"it tests once":                          {tests: 1},
		"it tests once, reports take 5 ms":       {delay: 5 * time.Millisecond, tests: 1},
		"it tests once, reports take 50 ms":      {delay: 50 * time.Millisecond, tests: 1},
		"it goes on testing":                     {tests: -1},
		"it goes on testing, reports take 50 ms": {delay: 50 * time.Millisecond, tests: -1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				var all []*Detector
				tell := func(i int) {
					e, s := all[i].ServerEnds(), all[i].Suspects()
					time.AfterFunc(x.delay, func() {
						for j, d := range all {
							if j != i {
								d.MergeServerEnds(e)
								d.Merge(s)
							}
						}
					})
				}
				for i := range processes {
					d := New(func(context.Context, string) bool { return true }, func() { time.AfterFunc(5*time.Millisecond, func() { tell(i) }) }, log.NewNopLogger(), new(expvar.Map).Init())
					d.seed = uint64(i)
					all = append(all, d)
				}
				for i := range processes {
					go func() {
						_ = bulrushlug.Sleep(c, reports*time.Duration(i)/processes)
						for c.Err() == nil {
							tell(i)
							_ = bulrushlug.Sleep(c, reports)
						}
					}()
				}
				crashes(all[0], 0, 3, "d")
				time.Sleep(200 * time.Millisecond)
				begun, tests, start, first := false, 0, time.Now(), time.Time{}
				for i := 0; !begun && i < int(patience/(20*time.Millisecond)); i++ {
					for j, d := range all {
						p := prompt("d", fmt.Sprint("waiting-", j, "-", i))
						switch {
						case j == 0 && tests == x.tests || j > 0 && (tests == 0 || time.Since(first) < 300*time.Millisecond):
						case d.Check(p) != nil:
						case j == 0:
							if tests++; tests == 1 {
								first = time.Now()
							}
						default:
							d.RecordBegun(p)
							begun = true
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
				if !begun {
					t.Errorf("no other process tests in %v, in which the first one tests %d times", time.Since(start), tests)
				}
				stop()
				synctest.Wait()
				time.Sleep(time.Second)
			})
		})
	}
}
