package fresh

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSettled shows which time counts as the last one at which the process's own revision was the newest.
func TestSettled(t *testing.T) {
	const r = 5 // Revision of the process.
	for name, x := range map[string]struct {
		steps func(r *Tracker)
		want  time.Duration // Time after the start of the test.
	}{
		"the service confirmed it": {steps: func(r *Tracker) {
			r.Confirm(time.Now(), 5)
			time.Sleep(10 * time.Second)
			r.ObserveRevision(6)
		}, want: time.Second},
		"what brings the news does not count": {steps: func(r *Tracker) {
			r.Confirm(time.Now(), 5)
			time.Sleep(10 * time.Second)
			r.ObserveZone("b", time.Now(), 6)
		}, want: time.Second},
		"a majority was heard later": {steps: func(r *Tracker) {
			r.Confirm(time.Now(), 5)
			time.Sleep(2 * time.Second)
			r.ObserveZone("b", time.Now(), 5)
			r.SetRevision(6)
		}, want: 3 * time.Second},
		"the first news counts": {steps: func(r *Tracker) {
			r.Confirm(time.Now(), 5)
			r.ObserveRevision(6)
			time.Sleep(time.Second)
			r.ObserveZone("b", time.Now(), 7)
			r.SetRevision(7)
		}, want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := New("a")
				u.SetZones([]string{"a", "b", "c"}, false)
				u.SetRevision(r)
				b := time.Now()
				time.Sleep(time.Second)
				x.steps(u)
				if d := u.CurrentUntil().Sub(b); d != x.want {
					t.Errorf("settled after %v, want %v", d, x.want)
				}
			})
		})
	}
}
