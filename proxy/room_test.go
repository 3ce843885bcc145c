package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/queue"
	"bulrushlug.dev/bulrushlug/slots"
)

// verdict is shares in which every organisation exceeds its own, or none does.
type verdict bool

func (v verdict) Charge(string, float64) {}
func (v verdict) Used(string) float64    { return 0 }
func (v verdict) Exceeds(string) bool    { return bool(v) }

// TestNoRoom sends a request while the only server without a failure is full and the other one is in back-off.
func TestNoRoom(t *testing.T) {
	const late = bulrushlug.KindOverloaded
	for name, x := range map[string]struct {
		steps   []step // Of the responses; the first one is "ok" if there is none.
		used    int    // Slots taken at the server.
		freed   bool   // A slot becomes free while the request waits.
		exceeds bool   // Its organisation exceeds its share.
		calls   int
		kind    bulrushlug.Kind // KindInternal if the request succeeds.
		wait    time.Duration
	}{
		"room":                              {used: 9, calls: 1},
		"room, beyond the share":            {used: 7, exceeds: true, calls: 1},
		"a place behind others":             {used: 8, exceeds: true, kind: late, wait: 150 * time.Millisecond},
		"a slot is freed":                   {used: 10, freed: true, calls: 1, wait: 50 * time.Millisecond},
		"a slot is freed, beyond the share": {used: 8, freed: true, exceeds: true, calls: 1, wait: 50 * time.Millisecond},
		"none is freed":                     {used: 10, calls: 1, wait: 150 * time.Millisecond},
		"none is freed, beyond the share":   {used: 10, exceeds: true, kind: late, wait: 150 * time.Millisecond},
		// After a run the request is not refused as one that has not run.
		"it may have run, beyond the share": {steps: []step{steps["reset"], steps["ok"]}, used: 7, exceeds: true, calls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := slots.New("e", func() []string { return nil })
				b.Update([]bulrushlug.Backend{bulrushlug.NewBackend("a", "s", "", bulrushlug.BackendZoneSlots("z", 8)), bulrushlug.NewBackend("b", "s", "", bulrushlug.BackendZoneSlots("z", 8))})
				l, _ := b.AcquireOnline("s", map[string]bool{"a": true})
				l.RecordFailure()
				l.Release()
				for range x.used {
					l, _ = b.AcquireOnline("s", map[string]bool{"b": true})
				}
				if x.freed {
					time.AfterFunc(50*time.Millisecond, l.Release)
				}
				q := queue.New(verdict(x.exceeds))
				b.OnFree(q.Wake)
				v := &servers{steps: append(x.steps, steps["ok"])}
				route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficStream, true, true), bulrushlug.RouteTargets(300*time.Millisecond, 0))
				r := bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(time.Now().Add(5*time.Second)))
				start := time.Now()
				err := New(b, v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30)).WithQueue(q, verdict(x.exceeds)).Run(t.Context(), r, &caller{})
				if k := bulrushlug.KindOf(err); err != nil && k != x.kind || err == nil && x.kind != bulrushlug.KindInternal {
					t.Errorf("Run returned %v", err)
				}
				if err != nil && bulrushlug.RetryAfterOf(err) == 0 {
					t.Errorf("no retry delay in %v", err)
				}
				if d := time.Since(start); v.calls != x.calls || d != x.wait {
					t.Errorf("%d calls after %v, want %d after %v", v.calls, d, x.calls, x.wait)
				}
			})
		})
	}
}
