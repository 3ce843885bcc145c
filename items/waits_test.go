package items

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// holding holds back every prompt.
type holding struct{ noDetector }

func (holding) Check(bulrushlug.Prompt) error { return errors.New("held") }

// TestWaits guards against an item that waits without a metric or a line that says for what.
func TestWaits(t *testing.T) {
	for name, x := range map[string]struct {
		status   map[string][]int
		detector bulrushlug.PoisonDetector
		during   func(s *system)
		after    time.Duration
		want     map[string]int // Items that wait, by cause.
		lines    int64          // Lines on items that wait.
	}{
		"nothing waits":              {after: 5 * time.Second, want: map[string]int{}},
		"no slot":                    {during: func(s *system) { s.table.Update(nil) }, after: 14 * time.Second, want: map[string]int{waitSlot: 2}, lines: 4},
		"a prompt that ends servers": {detector: holding{}, after: 4 * time.Second, want: map[string]int{waitQuarantine: 2}},
		"for long":                   {detector: holding{}, after: 14 * time.Second, want: map[string]int{waitQuarantine: 2}, lines: 4},
		"for very long":              {detector: holding{}, after: 44 * time.Second, want: map[string]int{waitQuarantine: 2}, lines: 16},
		"no configuration": {during: func(s *system) {
			s.routes.mu.Lock()
			defer s.routes.mu.Unlock()
			s.routes.config = nil
		}, after: 14 * time.Second, want: map[string]int{waitConfiguration: 2}, lines: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				d := x.detector
				if d == nil {
					d = noDetector{}
				}
				s := newSystemWith(c, x.status, d)
				if x.during != nil {
					x.during(s)
				}
				if err := s.submit(c, 2); err != nil {
					t.Fatal(err)
				}
				time.Sleep(x.after)
				got := s.runner.Waiting()
				if len(got) != len(x.want) {
					t.Errorf("items wait for %v", got)
				}
				for w, n := range x.want {
					if got[w] != n {
						t.Errorf("%d items wait for %s: %v", n, w, got)
					}
				}
				if n := s.lines.count.Load(); n != x.lines {
					t.Errorf("%d lines", n)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestWaitEnds guards against a wait that has a line and none at its end.
func TestWaitEnds(t *testing.T) {
	for name, x := range map[string]struct {
		held, full time.Duration // How long the item is held from servers, and no disk takes its result.
		want       []string      // What ended the wait in each line.
	}{
		"it runs after a short wait":      {held: 3 * time.Second},
		"it runs after a long wait":       {held: 12 * time.Second, want: []string{"run"}},
		"its result is confirmed at once": {full: time.Second},
		"its result is confirmed late":    {full: 16 * time.Second, want: []string{"result"}},
		"it runs and is confirmed late":   {held: 7 * time.Second, full: 25 * time.Second, want: []string{"run", "result"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				g, l := newIdleGroup(c), &lineLog{}
				g.logger, g.full = l, true
				d := &fakeDetector{}
				g.detector = d
				g.run("a", "b")
				d.mu.Lock()
				d.release = time.Now().Add(x.held)
				d.mu.Unlock()
				time.AfterFunc(x.full, func() {
					g.mu.Lock()
					defer g.mu.Unlock()
					g.full = false
				})
				lot := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				if err := g.processes["a"].manager.Submit(c, lot); err != nil {
					t.Fatal(err)
				}
				time.Sleep(40 * time.Second)
				var got []string
				for _, m := range l.since(time.Time{}, "itemWaitEnded") {
					got = append(got, m["by"])
				}
				if !slices.Equal(got, x.want) {
					t.Errorf("waits ended by %v, want %v", got, x.want)
				}
				if n := g.processes["a"].runner.Waiting(); len(n) != 0 {
					t.Errorf("items wait for %v", n)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestManyWaits guards against a flood of lines, and against lines on the youngest waits in place of the longest.
func TestManyWaits(t *testing.T) {
	for name, x := range map[string]struct {
		items   int
		summary bool
	}{
		"few":       {items: maxWaitLines / 2},
		"many":      {items: 500, summary: true},
		"thousands": {items: 3000, summary: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &lineLog{}
				w := newWaits(l)
				var all []bulrushlug.LotItem
				for i := range x.items {
					all = append(all, bulrushlug.NewLotItem(fmt.Sprint("i", i), "/p", nil, nil))
				}
				lot := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), all)
				first := time.Now()
				for range 12 {
					n := w.begin(time.Now())
					for i := range x.items {
						// The last items have waited for longest.
						n.add(waitSlot, lot, uint32(i), first.Add(time.Duration(-i)*time.Millisecond), nil)
					}
					n.end(func(wait) []any { return nil }, func(key) string { return "" })
					time.Sleep(countInterval)
				}
				lines, summaries := l.since(first, "itemWaits"), l.since(first, "itemsWait")
				if most := 12 * maxWaitLines; len(lines) > most || len(lines) < 2*min(x.items, maxWaitLines) || len(summaries) > 12 || (len(summaries) > 0) != x.summary {
					t.Errorf("%d lines on items, %d on all of them", len(lines), len(summaries))
				}
				if want := fmt.Sprint("i", x.items-1); x.summary && lines[0]["request"] != want {
					t.Errorf("the first line is on %s, the longest wait is that of %s", lines[0]["request"], want)
				}
				if x.summary && (summaries[0]["items"] != fmt.Sprint(x.items) || summaries[0]["omitted"] == "0") {
					t.Errorf("%v", summaries[0])
				}
				if w.byCause()[waitSlot] != x.items {
					t.Errorf("%v", w.byCause())
				}
			})
		})
	}
}
