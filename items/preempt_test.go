package items

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestRepeatedPreemption guards against runs that are cut for an online request for which others are ending already:
// several reports tell of it before a cancelled run has ended.
func TestRepeatedPreemption(t *testing.T) {
	for name, x := range map[string]struct {
		calls []int // Runs to cut, by call.
		want  string
	}{
		"once":              {calls: []int{1}, want: "1"},
		"by two reports":    {calls: []int{1, 1}, want: "1"},
		"by a larger one":   {calls: []int{1, 2}, want: "2"},
		"by a smaller one":  {calls: []int{2, 1}, want: "2"},
		"more than running": {calls: []int{2, 9}, want: "3"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystem(c, nil)
				if err := s.submit(c, 3); err != nil {
					t.Fatal(err)
				}
				time.Sleep(280 * time.Millisecond)
				for _, n := range x.calls {
					s.runner.Preempt("b", n)
				}
				time.Sleep(10 * time.Second)
				if v := s.counts.Get("preempted"); v == nil || v.String() != x.want {
					t.Errorf("counted %v", s.counts)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
