package proxy

import (
	"context"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

// TestEndedBefore runs requests whose caller has left, or whose deadline is over, before a server is chosen.
func TestEndedBefore(t *testing.T) {
	for name, x := range map[string]struct {
		expired bool // The deadline is over; otherwise the caller has left.
		full    bool // No server has room.
		kind    bulrushlug.Kind
	}{
		"the caller has left":                 {kind: bulrushlug.KindCancelled},
		"the deadline is over":                {expired: true, kind: bulrushlug.KindOverloaded},
		"the caller has left, no server":      {full: true, kind: bulrushlug.KindCancelled},
		"the deadline is over, and no server": {expired: true, full: true, kind: bulrushlug.KindOverloaded},
	} {
		t.Run(name, func(t *testing.T) {
			b := table()
			if x.full {
				b.Update(nil)
			}
			v := &servers{steps: []step{steps["ok"]}}
			g := New(b, v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30))
			c, stop := context.WithCancel(t.Context())
			defer stop()
			d := time.Now().Add(time.Minute)
			if x.expired {
				d = time.Now().Add(-time.Second)
			} else {
				stop()
			}
			route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficStream, true, true))
			err := g.Run(c, bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(d)), &caller{})
			if k := bulrushlug.KindOf(err); err == nil || k != x.kind || v.calls != 0 {
				t.Errorf("Run returned %v after %d calls, want kind %v and no call", err, v.calls, x.kind)
			}
			if l := b.Usages(); len(l) != 0 {
				t.Errorf("slots are still taken: %v", l)
			}
		})
	}
}
