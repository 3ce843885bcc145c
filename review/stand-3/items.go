//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// items has runners whose answers have no length, and kills two of twelve just after each crest of the online requests, as the items
// that had to yield run again. A result that is listed as completed has to have the whole text of its item.
func items(f *fleet, trouble bool) (broken int, err error) {
	const (
		wave      = 6 * time.Second // Crests are 2.4 s of 6, as on the sheet.
		crest     = 3600 * time.Millisecond
		waves     = 14
		killAfter = 120 * time.Millisecond // From the end of a crest.
		downTime  = 4500 * time.Millisecond
		callers   = 72               // In a crest.
		steady    = 8                // Outside of it.
		readers   = 14               // Each has one lot open.
		size      = 10               // Items of a lot.
		patience  = 25 * time.Second // For the rest of a lot.
	)
	f.writeManifest(1)
	for range 12 {
		if _, err := f.addRunner("-unframed", "-early", "-first", "200ms"); err != nil {
			return 0, err
		}
	}
	f.addMachines(2, 2)
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var wrong, whole, online atomic.Int64
	var w sync.WaitGroup
	begin := time.Now()
	end := begin.Add(waves * wave)
	for n := range callers {
		w.Go(func() {
			g := rand.New(rand.NewPCG(uint64(n), 12))
			for i := 0; time.Now().Before(end); i++ {
				if n >= steady && time.Since(begin)%wave < crest {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				ask(f.machines[i%2].front(), askPrefix, fmt.Sprintf("%08x%06x", n+1, i), 12+g.IntN(35), 5*time.Second)
				online.Add(1)
			}
		})
	}
	for n := range readers {
		w.Go(func() {
			g := rand.New(rand.NewPCG(uint64(n), 13))
			for i := 0; time.Now().Before(end.Add(-wave)); i++ {
				events := 130 + g.IntN(121)
				lot := fmt.Sprintf("%04x%08x", n+0xa000, i)
				status, err := submit(f.machines[(n+i)%2].front(), lot, size, events)
				f.record.write("submit %s: %d %v", lot, status, err)
				if status != 202 {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				have := 0
				for t := time.Now(); have < size && time.Since(t) < patience; {
					_, l, err := results(f.machines[i%2].front(), lot, have)
					if err != nil || len(l) == 0 {
						time.Sleep(400 * time.Millisecond)
					}
					for _, x := range l {
						have++
						if x.State == "completed" && x.Text == wholeText(x.ID, events) {
							whole.Add(1)
							f.record.write("listed %s whole", x.ID)
							continue
						}
						wrong.Add(1)
						f.record.write("BROKEN %s: listed as %s, with %d bytes of %d: %.30q ...", x.ID, x.State, len(x.Text), len(wholeText(x.ID, events)), x.Text)
					}
				}
			}
		})
	}
	for n := range waves - 1 {
		time.Sleep(time.Until(begin.Add(time.Duration(n+1)*wave + killAfter)))
		if trouble {
			if err := f.crashGroup(n, 2, downTime); err != nil {
				return 0, err
			}
		}
	}
	w.Wait()
	f.record.write("%d items were listed whole, %d as completed with a part of their text; %d online requests", whole.Load(), wrong.Load(), online.Load())
	fmt.Printf("%d items whole, %d online requests\n", whole.Load(), online.Load())
	if whole.Load() == 0 {
		return 0, fmt.Errorf("no item was listed")
	}
	return int(wrong.Load()), nil
}
