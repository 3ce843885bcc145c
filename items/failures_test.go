package items

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// failingServer is a fake client of backend servers that fail each run.
type failingServer struct {
	runs  chan struct{}
	onEnd func(b bulrushlug.Backend) // Called when a response has been read to its end.
}

// endingReply is a response that calls end when it is closed.
type endingReply struct {
	*run
	end func()
}

func (p endingReply) Close() {
	p.end()
	p.run.Close()
}

func (v failingServer) Call(_ context.Context, b bulrushlug.Backend, _ *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.runs <- struct{}{}
	p, w := io.Pipe()
	go func() {
		_, _ = io.Copy(w, strings.NewReader("failed"))
		_ = w.Close()
	}()
	return endingReply{&run{status: statusError, PipeReader: p}, func() { v.onEnd(b) }}, nil
}

// TestFailuresOutliveTheirPrimary replaces or restarts the primary of an item after each of its runs, all of which a server
// fails: the item is given up after as many runs as its route allows.
func TestFailuresOutliveTheirPrimary(t *testing.T) {
	for name, x := range map[string]struct {
		disturb func(g *group)
		preempt bool // An online request needs the slot as each run ends.
	}{
		"nothing":                   {disturb: func(*group) {}},
		"the primary is replaced":   {disturb: func(g *group) { g.kill(g.primary()) }},
		"the primary restarts":      {disturb: func(g *group) { g.restart(g.primary()) }},
		"each run is preempted too": {disturb: func(*group) {}, preempt: true},
		"all restart":               {disturb: (*group).restartAll},
		"the primary is replaced, then all restart": {disturb: func(g *group) {
			g.restart(g.primary())
			time.Sleep(100 * time.Millisecond)
			g.restartAll()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const attempts = 3 // As the route allows.
				c, stop := context.WithCancel(t.Context())
				g := newIdleGroup(c)
				v := failingServer{runs: make(chan struct{}, 100), onEnd: func(b bulrushlug.Backend) {
					if x.preempt {
						g.processes[g.primary()].runner.Preempt(b.ID(), 1)
					}
				}}
				g.client = v
				g.run("a", "b", "c", "d", "e")
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				if err := g.processes["a"].manager.Submit(c, l); err != nil {
					t.Fatal(err)
				}
				for n := range attempts - 1 {
					for begun := time.Now(); len(v.runs) <= n && time.Since(begun) < 30*time.Second; {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(150 * time.Millisecond) // The replicas learn of it; the next run is due after initialBackoff.
					x.disturb(g)
				}
				time.Sleep(30 * time.Second)
				if n := len(v.runs); n != attempts {
					t.Errorf("%d runs", n)
				}
				if m := g.processes[g.primary()].manager; !m.HasResult("lot", 0) {
					t.Error("the item is left lying")
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
