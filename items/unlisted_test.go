package items

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// lineLog keeps the lines that are written to it.
type lineLog struct {
	mu    sync.Mutex
	lines []line
}

// line is a line at a time.
type line struct {
	at     time.Time
	fields map[string]string
}

func (l *lineLog) Log(x ...any) error {
	f := map[string]string{}
	for i := 0; i+1 < len(x); i += 2 {
		f[fmt.Sprint(x[i])] = fmt.Sprint(x[i+1])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line{time.Now(), f})
	return nil
}

// since returns the lines with the given event since t.
func (l *lineLog) since(t time.Time, event string) (r []map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.lines {
		if x.fields["event"] == event && !x.at.Before(t) {
			r = append(r, x.fields)
		}
	}
	return r
}

// convicting holds back every prompt for a minute.
type convicting struct{ noDetector }

func (convicting) Check(bulrushlug.Prompt) error {
	return bulrushlug.Errorf(bulrushlug.KindQuarantined, "servers ended on part 7f").WithRetryAfter(time.Minute)
}

// TestUnlistedItems has an item that is accepted and not listed, and looks at the lines of the last 20 s alone, as the logs of
// the time before may be gone. Each cause must be told from all others by them.
func TestUnlistedItems(t *testing.T) {
	each := func(g *group, f func(p *process)) {
		for _, p := range g.processes {
			f(p)
		}
	}
	for name, x := range map[string]struct {
		detector bulrushlug.PoisonDetector
		before   func(g *group)             // Called before the lot is submitted.
		after    func(g *group, p *process) // Called once it is accepted; p is its primary.
		want     map[string]string          // What each line says at least, by field; a value may be a part of the field's.
		unserved bool                       // The other replica knows of no primary that acts.
	}{
		"1, a part of its prompt is convicted": {detector: convicting{}, want: map[string]string{"cause": waitQuarantine, "reason": "part 7f", "until": "2000-", "runs": "0"}},
		"2, its result is never confirmed": {before: func(g *group) { g.full = true },
			want: map[string]string{"cause": waitUnconfirmed, "err": "the disk of a is full"}, unserved: true},
		"3, its run does not end": {before: func(g *group) { g.server.stuck = make(chan struct{}) },
			want: map[string]string{"cause": waitRunning, "server": "b", "runs": "1"}},
		"4, its primary does not act": {after: func(_ *group, p *process) { p.stop() },
			want: map[string]string{"event": "lotUnserved", "alive": "true", "items": "1", "epoch": "1", "replica": "1"}, unserved: true},
		"4, its replicas don't answer": {after: func(g *group, p *process) {
			g.mu.Lock()
			defer g.mu.Unlock()
			for _, q := range g.processes {
				if q != p {
					q.mute = true
				}
			}
		}, want: map[string]string{"cause": waitReplicas, "err": "does not answer"}, unserved: true},
		"5, its configuration is not there": {before: func(g *group) { each(g, func(p *process) { p.routes.clear() }) },
			want: map[string]string{"cause": waitConfiguration, "err": "none is known", "runs": "0"}},
		"5, its service has no server": {before: func(g *group) { each(g, func(p *process) { p.table.Update(nil) }) },
			want: map[string]string{"cause": waitSlot, "service": "s", "servers": "0", "runs": "0"}},
		"5, its servers are full": {before: func(g *group) {
			report := func(p *process) { p.table.UpdateRemote("e", []bulrushlug.Usage{bulrushlug.NewUsage("b", 4, 0)}) }
			each(g, report)
			go func() {
				for bulrushlug.Sleep(g.c, reportInterval) == nil {
					each(g, report)
				}
			}()
		}, want: map[string]string{"cause": waitSlot, "service": "s", "servers": "1", "avoided": "0", "leaving": "0", "idle": "0"}},
		"5, its server is leaving": {before: func(g *group) {
			each(g, func(p *process) {
				p.table.RecordDeparture(bulrushlug.NewDeparture(bulrushlug.NewBackend("b", "s", "h:1", bulrushlug.BackendZoneSlots("z", 4)), "q", "response"))
			})
		}, want: map[string]string{"cause": waitSlot, "servers": "1", "leaving": "1"}},
		"its runs fail at once": {before: func(g *group) { g.server.refuses = true }, want: map[string]string{"cause": "", "lastEnd": "unplaceable", "lastServer": "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				g, l := newIdleGroup(c), &lineLog{}
				g.logger = l
				if x.detector != nil {
					g.detector = x.detector
				}
				g.run("a", "b")
				if x.before != nil {
					x.before(g)
				}
				lot := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				if err := g.processes["a"].manager.Submit(c, lot); err != nil {
					t.Fatal(err)
				}
				if x.after != nil {
					x.after(g, g.processes["a"])
				}
				time.Sleep(40 * time.Second)
				from := time.Now().Add(-20 * time.Second)
				event := x.want["event"]
				if event == "" {
					event = "itemWaits"
				}
				got := l.since(from, event)
				if len(got) < 3 || len(got) > 5 {
					t.Errorf("%d lines in 20 s: %v", len(got), got)
				}
				for _, m := range got {
					for _, k := range slices.Sorted(maps.Keys(x.want)) {
						if !strings.Contains(m[k], x.want[k]) {
							t.Errorf("%s is %q in %v", k, m[k], m)
						}
					}
					if d, _ := time.ParseDuration(m["for"]); d < 10*time.Second {
						t.Errorf("waits for %s", m["for"])
					}
				}
				if n := g.processes["a"].runner.LongestWaits(); event == "itemWaits" && (len(n) == 0 || slices.Max(slices.Collect(maps.Values(n))) < 30) {
					t.Errorf("longest waits %v", n)
				}
				if n := g.processes["b"].manager.Unserved(); (n == 1) != x.unserved {
					t.Errorf("%d lots without a primary", n)
				}
				stop()
				if g.server.stuck != nil {
					close(g.server.stuck)
				}
				synctest.Wait()
			})
		})
	}
}

// TestOmittedEndings ends more runs in a second than have lines, and looks at what the next line says of them.
func TestOmittedEndings(t *testing.T) {
	for name, x := range map[string]struct {
		causes []string // Of the runs beyond the bound.
		want   string
	}{
		"none":        {},
		"of one kind": {causes: []string{"broken", "broken"}, want: "broken:2"},
		"of several":  {causes: []string{"preempted", "broken", "preempted"}, want: "broken:1,preempted:2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &lineLog{}
				e := newEndings(new(expvar.Map).Init(), l)
				for range maxLines {
					e.record("status503")
				}
				for _, c := range x.causes {
					e.record(c)
				}
				time.Sleep(time.Second)
				e.record("stopped")
				all := l.since(time.Time{}, "itemRunEnded")
				if m := all[len(all)-1]; len(all) != maxLines+1 || m["omittedCauses"] != x.want || m["omitted"] != fmt.Sprint(len(x.causes)) {
					t.Errorf("%d lines, the last is %v", len(all), m)
				}
			})
		})
	}
}
