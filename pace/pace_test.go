package pace

import (
	"testing"
	"time"
)

// TestBody has callers send a body at several rates: it is ended if it falls behind.
func TestBody(t *testing.T) {
	p := New(time.Second, 10*time.Second, 100, time.Second)
	for name, x := range map[string]struct {
		size  int
		every time.Duration // Time between two bytes.
		ended time.Duration // Zero if the body becomes whole.
	}{
		"at once":              {size: 1000},
		"slow, but honest":     {size: 1000, every: 10 * time.Millisecond},
		"short and very slow":  {size: 18, every: 500 * time.Millisecond},
		"stops after a byte":   {size: 2, every: time.Hour, ended: 10 * time.Second},
		"a byte a half second": {size: 1000, every: 500 * time.Millisecond, ended: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			now, ended := begun, time.Duration(0)
			for n := range x.size {
				if d := p.Body(begun, n); n > 0 && now.After(d) {
					ended = d.Sub(begun).Round(time.Second)
					break
				}
				now = now.Add(x.every)
			}
			if ended != x.ended {
				t.Errorf("the body is ended after %v, want %v", ended, x.ended)
			}
		})
	}
}
