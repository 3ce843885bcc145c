package seat

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestBehind has callers send, read and wait: how long the process has waited for them is told at several moments.
func TestBehind(t *testing.T) {
	const none = -1 // The process does not wait for the caller.
	type moment struct {
		at   time.Duration
		want time.Duration // Any negative value if it is none.
	}
	for name, x := range map[string]struct {
		does func(s *Seat, begun time.Time) // What happens a second after the connection began.
		want []moment
	}{
		"a new connection":          {want: []moment{{0, 0}, {time.Second, time.Second}, {time.Minute, time.Minute}}},
		"it waits for the next one": {does: func(s *Seat, b time.Time) { s.Wait(b.Add(time.Second), 0) }, want: []moment{{time.Second, 0}, {3 * time.Second, 2 * time.Second}}},
		"a little of a body":        {does: func(s *Seat, b time.Time) { s.Wait(b, keepRate/4) }, want: []moment{{time.Second, 750 * time.Millisecond}}},
		"a body at the rate":        {does: func(s *Seat, b time.Time) { s.Wait(b, keepRate) }, want: []moment{{time.Second, 0}, {2 * time.Second, time.Second}}},
		"a body that is faster":     {does: func(s *Seat, b time.Time) { s.Wait(b, 10*keepRate) }, want: []moment{{time.Second, none}, {9 * time.Second, none}, {11 * time.Second, time.Second}}},
		"a request that is whole":   {does: func(s *Seat, _ time.Time) { s.Work() }, want: []moment{{time.Second, none}, {time.Hour, none}}},
		"a response": {does: func(s *Seat, b time.Time) { s.Write(b.Add(time.Second)) },
			want: []moment{{time.Second, none}, {time.Second + readTime - 1, none}, {time.Second + readTime, 0}, {2*time.Second + readTime, time.Second}}},
		"a response that was read": {does: func(s *Seat, b time.Time) { s.Write(b.Add(time.Second)); s.Work() }, want: []moment{{time.Minute, none}}},
		"the next head after work": {does: func(s *Seat, b time.Time) { s.Work(); s.Wait(b.Add(time.Second), 0) }, want: []moment{{2 * time.Second, time.Second}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				s := New(func() bool { return false })
				if x.does != nil {
					time.Sleep(time.Second)
					x.does(s, begun)
				}
				for _, m := range x.want {
					if d := s.Behind(begun.Add(m.at)); d != m.want && (m.want >= 0 || d >= 0) {
						t.Errorf("after %v: %v behind, want %v", m.at, d, m.want)
					}
				}
			})
		})
	}
}

// TestYield has a connection end, or keep its place, as it is asked.
func TestYield(t *testing.T) {
	for name, ends := range map[string]bool{"it ends": true, "it keeps its place": false} {
		t.Run(name, func(t *testing.T) {
			asked := 0
			if got := New(func() bool { asked++; return ends }).Yield(); got != ends || asked != 1 {
				t.Errorf("yielded %v, asked %d times", got, asked)
			}
		})
	}
}
