package fresh

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestCurrentUntil checks the time until which the process's revision counts as current once a newer one is known.
func TestCurrentUntil(t *testing.T) {
	const r = 5 // Revision of the process.
	for name, x := range map[string]struct {
		steps func(r *Tracker)
		want  time.Duration // Time after the start of the test.
	}{
		"confirmed by the store": {steps: func(r *Tracker) {
			r.Confirm(time.Now(), 5)
			time.Sleep(10 * time.Second)
			r.ObserveRevision(6)
		}, want: time.Second},
		"contact that brings the newer revision": {steps: func(r *Tracker) {
			r.Confirm(time.Now(), 5)
			time.Sleep(10 * time.Second)
			r.ObserveZone("b", time.Now(), 6)
		}, want: time.Second},
		"later contact with a majority": {steps: func(r *Tracker) {
			r.Confirm(time.Now(), 5)
			time.Sleep(2 * time.Second)
			r.ObserveZone("b", time.Now(), 5)
			r.SetRevision(6)
		}, want: 3 * time.Second},
		"first newer revision counts": {steps: func(r *Tracker) {
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
					t.Errorf("current until %v, want %v", d, x.want)
				}
			})
		})
	}
}
