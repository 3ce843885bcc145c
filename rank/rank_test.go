package rank

import (
	"testing"
	"time"
)

func TestParent(t *testing.T) {
	for name, x := range map[string]struct{ position, roots, fanout, want int }{
		"a root":                     {position: 1, roots: 2, fanout: 4, want: -1},
		"the first below the roots":  {position: 2, roots: 2, fanout: 4, want: 0},
		"the last of the first root": {position: 5, roots: 2, fanout: 4, want: 0},
		"the second root's first":    {position: 6, roots: 2, fanout: 4, want: 1},
		"two levels down":            {position: 10, roots: 2, fanout: 4, want: 2},
		"a name that is not listed":  {position: -1, roots: 2, fanout: 4, want: -1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Parent(x.position, x.roots, x.fanout); got != x.want {
				t.Errorf("the parent is %d", got)
			}
		})
	}
}

// TestParentSpreadsLoad passes a change of 20 KB on over links of 30 Mbit/s, each of which sends one copy after the other.
func TestParentSpreadsLoad(t *testing.T) {
	const copyTime = 20 * 8 * time.Second / 30000
	for name, n := range map[string]int{"a few": 5, "tens": 30, "hundreds": 300, "the target": 1500} {
		t.Run(name, func(t *testing.T) {
			at, busyUntil := make([]time.Duration, n), make([]time.Duration, n)
			last := time.Duration(0)
			for i := range n {
				if p := Parent(i, 2, 4); p >= 0 {
					busyUntil[p] = max(busyUntil[p], at[p]) + copyTime
					at[i] = busyUntil[p]
				}
				last = max(last, at[i])
			}
			if last > 250*time.Millisecond {
				t.Errorf("the last process has the change after %v", last)
			}
		})
	}
}
