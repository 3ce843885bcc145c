package hush

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestStandstill has this process, or its network, stand still, after which its servers are heard again one after the other.
func TestStandstill(t *testing.T) {
	const (
		d     = 1200 * time.Millisecond
		pause = 50 * time.Millisecond // Between the events of a server.
	)
	for name, x := range map[string]struct {
		still time.Duration // How long nothing is heard.
		after time.Duration // How long the others have been heard again.
		want  bool          // The server that was not heard again is silent.
	}{
		"no standstill":           {after: d, want: true},
		"just over":               {still: d, after: pause},
		"over for a while":        {still: d / 2, after: d / 2},
		"over for the whole time": {still: d, after: d + pause, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New()
				hear := func(first int, d time.Duration) {
					for b := time.Now(); time.Since(b) < d; time.Sleep(pause) {
						for i := first; i <= 2*witnesses; i++ {
							m.Hear(fmt.Sprint(i))
						}
					}
				}
				hear(0, time.Second)
				time.Sleep(x.still)
				hear(1, x.after)
				if v := m.Silent("0", d); v != x.want {
					t.Errorf("Silent returned %v", v)
				}
			})
		})
	}
}
