//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// alone has runners whose answers have no length, and kills three of 18 in the middle of all streams that are open, so that no answer
// has ended at a runner shortly before it is killed. A stream that a caller gets as a complete one has to have all its events.
func alone(f *fleet, trouble bool) (broken int, err error) {
	const (
		interval  = 6 * time.Second // From one crash to the next.
		rounds    = 14
		entries   = 4
		callers   = 108                    // They ask once in a round, three quarters of the slots.
		spread    = 300 * time.Millisecond // In which they begin.
		killAfter = 750 * time.Millisecond // From the start of a round; the shortest stream takes 927 ms.
		downTime  = 4500 * time.Millisecond
	)
	f.writeManifest(1)
	for range 18 {
		if _, err := f.addRunner("-unframed"); err != nil {
			return 0, err
		}
	}
	f.addMachines(entries, 4)
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var t tally
	var w sync.WaitGroup
	begin := time.Now()
	for n := range callers {
		w.Go(func() {
			g := rand.New(rand.NewPCG(uint64(n), 14))
			for i := range rounds {
				time.Sleep(time.Until(begin.Add(time.Duration(i)*interval + time.Duration(g.Int64N(int64(spread))))))
				id := fmt.Sprintf("%08x%06x", n+1, i)
				t.ask(f, f.machines[(n+i)%entries], askPrefix, id, 40+g.IntN(7))
			}
		})
	}
	for n := range rounds {
		time.Sleep(time.Until(begin.Add(time.Duration(n)*interval + killAfter)))
		if trouble {
			if err := f.crashGroup(n, 3, downTime); err != nil {
				return 0, err
			}
		}
	}
	w.Wait()
	return t.report(f)
}
