package slots

import (
	"strings"
	"testing"
	"testing/synctest"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/warm"
)

// TestState guards against a server that gets nothing without the operators' being told why.
func TestState(t *testing.T) {
	for name, x := range map[string]struct {
		do     func(b *Table, g *warm.Gate)
		warmup bool // Its servers need warm-up.
		want   string
	}{
		"in use":    {do: func(b *Table, _ *warm.Gate) { b.AcquireOnline("s", nil) }, want: "a\ts\tz\t8\t1\t0\t-\n"},
		"evacuated": {do: func(_ *Table, g *warm.Gate) { g.SetEvacuated(map[string]bool{"z": true}) }, want: "a\ts\tz\t8\t0\t0\tevacuated\n"},
		"leaving":   {do: func(b *Table, _ *warm.Gate) { b.RecordReported([]bulrushlug.Backend{run("a", "h:1", 5)}) }, want: "a\ts\tz\t8\t0\t0\tleaving\n"},
		"failed": {do: func(b *Table, _ *warm.Gate) {
			l, _ := b.AcquireOnline("s", nil)
			l.RecordFailure()
			l.Release()
		}, want: "a\ts\tz\t8\t0\t0\tbackOff\n"},
		"cold": {warmup: true, do: func(_ *Table, g *warm.Gate) { g.SetIsolated(true) }, want: "a\ts\tz\t8\t0\t0\tcold\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := warm.New("e", false, bulrushlug.NewWarmup(1, 0), func() ([]string, uint64) { return nil, 0 })
				b := New("e", alone, WithGate(g))
				l := []bulrushlug.Backend{run("a", "h:1", 5)}
				g.Update(l)
				b.Update(l)
				if x.warmup {
					g.SetServices([]bulrushlug.Service{bulrushlug.NewService("s", 1, 1)})
				}
				x.do(b, g)
				var w strings.Builder
				if err := b.WriteState(&w); err != nil || w.String() != stateColumns+"\n"+x.want {
					t.Errorf("state %q, error %v", w.String(), err)
				}
			})
		})
	}
}
