//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// streams has runners whose answers have no length, and kills one of six at a time, while callers ask on the route with the given
// prefix. A stream that a caller gets as a complete one has to have all its events.
func streams(f *fleet, trouble bool, prefix string) (broken int, err error) {
	const (
		crashes  = 8
		interval = 6 * time.Second // From one crash to the next.
		downTime = 4500 * time.Millisecond
		callers  = 30
	)
	f.writeManifest(1)
	for range 6 {
		if _, err := f.addRunner("-unframed"); err != nil {
			return 0, err
		}
	}
	f.addMachines(2, 3)
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var t tally
	var w sync.WaitGroup
	stop := make(chan bool)
	for n := range callers {
		w.Go(func() {
			g := rand.New(rand.NewPCG(uint64(n), 11))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				m := f.machines[(n+i)%2]
				id := fmt.Sprintf("%08x%06x", n+1, i)
				events := 12 + g.IntN(35)
				t.ask(f, m, prefix, id, events)
				time.Sleep(time.Duration(g.IntN(200)) * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for n := range crashes {
		r := f.runners[n%len(f.runners)]
		if trouble {
			f.crash(r)
		}
		time.Sleep(downTime)
		if trouble {
			if err := f.startRunner(r); err != nil {
				return 0, err
			}
		}
		time.Sleep(interval - downTime)
	}
	close(stop)
	w.Wait()
	return t.report(f)
}

// tally counts the streams that callers got.
type tally struct{ served, failed, wrong atomic.Int64 }

// ask sends request id for the given number of events to m, on the route with the given prefix, and judges what comes back.
func (t *tally) ask(f *fleet, m *machine, prefix, id string, events int) {
	f.record.write("send %s to %s", id, m.name)
	a := ask(m.front(), prefix, id, events, 5*time.Second)
	switch {
	case a.err != nil || a.status != 200:
		t.failed.Add(1)
		f.record.write("failed %s: %d, %d events, %v", id, a.status, len(a.events), a.err)
	case a.whole && (len(a.events) < events || len(a.odd) > 0):
		t.wrong.Add(1)
		f.record.write("BROKEN %s: a complete answer of %s has events 1 to %d of %d", id, a.stamp, len(a.events), events)
	default:
		t.served.Add(1)
		f.record.write("whole %s", id)
	}
}

// report writes the counts and returns how often the rule was broken; it fails if no stream was served.
func (t *tally) report(f *fleet) (broken int, err error) {
	served, failed, wrong := t.served.Load(), t.failed.Load(), t.wrong.Load()
	f.record.write("%d streams were whole, %d failed, %d were complete with a part of their events", served, failed, wrong)
	if served == 0 {
		return 0, errors.New("no stream was served")
	}
	fmt.Printf("%d whole, %d failed\n", served, failed)
	return int(wrong), nil
}
