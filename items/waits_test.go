package items

import (
	"context"
	"errors"
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
		"no slot":                    {during: func(s *system) { s.table.Update(nil) }, after: 15 * time.Second, want: map[string]int{waitSlot: 2}},
		"a prompt that ends servers": {detector: holding{}, after: 5 * time.Second, want: map[string]int{waitQuarantine: 2}},
		"for long":                   {detector: holding{}, after: 15 * time.Second, want: map[string]int{waitQuarantine: 2}, lines: 2},
		"for very long":              {detector: holding{}, after: 45 * time.Second, want: map[string]int{waitQuarantine: 2}, lines: 2},
		"no configuration": {during: func(s *system) {
			s.routes.mu.Lock()
			defer s.routes.mu.Unlock()
			s.routes.config = nil
		}, after: 15 * time.Second, want: map[string]int{waitConfiguration: 2}, lines: 2},
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
