package hush

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestSilent(t *testing.T) {
	const d = 1200 * time.Millisecond
	for name, x := range map[string]struct {
		ago    time.Duration // Since the last event of the server; zero if there was none.
		others int           // Other servers heard all the time.
		late   int           // Others heard as long ago as the server.
		want   bool
	}{
		"silent while others are heard": {ago: d, others: witnesses, want: true},
		"heard a moment ago":            {ago: d / 2, others: witnesses},
		"too few others":                {ago: d, others: witnesses - 1},
		"this process stood still":      {ago: d, late: 10},
		"never heard":                   {others: witnesses, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New()
				if x.ago > 0 {
					m.Hear("a")
				}
				for i := range x.late {
					m.Hear(fmt.Sprint("late", i))
				}
				m.Hear("before")
				for b := time.Now(); time.Since(b) < max(x.ago, d); {
					time.Sleep(100 * time.Millisecond)
					if x.ago > 0 && x.ago < d && time.Since(b) == d-x.ago {
						m.Hear("a")
					}
					for i := range x.others {
						m.Hear(fmt.Sprint("b", i))
					}
				}
				if v := m.Silent("a", d); v != x.want {
					t.Errorf("Silent returned %v", v)
				}
			})
		})
	}
}
