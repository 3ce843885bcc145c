package poison

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

// TestBreaksShareOneCheck counts the connections that a detector opens as many responses of a server break.
func TestBreaksShareOneCheck(t *testing.T) {
	for name, x := range map[string]struct {
		breaks  int
		servers int
		pause   time.Duration // Between two breaks; zero for all at once.
		refused bool
		want    int64
	}{
		"at once":                     {breaks: 8, servers: 1, refused: true, want: 1},
		"at once, the server goes on": {breaks: 8, servers: 1, want: 1},
		"of three servers":            {breaks: 9, servers: 3, refused: true, want: 3},
		"one after the other":         {breaks: 8, servers: 1, pause: 100 * time.Millisecond, refused: true, want: 1},
		"the server goes on, later":   {breaks: 2, servers: 1, pause: time.Second, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var dials atomic.Int64
				d := New(func(context.Context, string) bool {
					dials.Add(1)
					time.Sleep(5 * time.Millisecond)
					return x.refused
				}, func() {}, log.NewNopLogger(), new(expvar.Map).Init())
				var w sync.WaitGroup
				for i := range x.breaks {
					id := fmt.Sprint("s", i%x.servers)
					b := bulrushlug.NewBackend(id, "s", id+":1")
					w.Go(func() {
						if i%2 == 0 {
							d.RecordEnded(t.Context(), b)
						} else {
							d.RecordBroken(t.Context(), b, prompt("d", fmt.Sprint("own-", i)))
						}
					})
					time.Sleep(x.pause)
				}
				w.Wait()
				if n := dials.Load(); n != x.want {
					t.Errorf("%d connections", n)
				}
				if n := len(d.ServerEnds()); x.refused && n != x.servers || !x.refused && n != 0 {
					t.Errorf("%d ends", n)
				}
			})
		})
	}
}

// TestServerEndsEnd has two detectors repeat to each other which servers ended: no end gets newer by it, and their number in
// a report is bounded.
func TestServerEndsEnd(t *testing.T) {
	for name, n := range map[string]int{"one": 1, "more than in a report": 2 * maxReportedEnds, "more than are kept": 2 * maxEnds} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				for i := range n {
					f.RecordEnded(t.Context(), bulrushlug.NewBackend(fmt.Sprint("s", i), "s", "s:1"))
				}
				if l := f.ServerEnds(); len(l) != min(n, maxReportedEnds) {
					t.Errorf("%d ends in a report", len(l))
				}
				for range 20 {
					l, m := f.ServerEnds(), f.other.ServerEnds()
					time.Sleep(10 * time.Millisecond) // On the way.
					f.MergeServerEnds(m)
					f.other.MergeServerEnds(l)
					time.Sleep(990 * time.Millisecond)
				}
				if l := append(f.ServerEnds(), f.other.ServerEnds()...); len(l) > 0 {
					t.Errorf("still reported: %+v", l)
				}
			})
		})
	}
}
