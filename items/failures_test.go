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
type failingServer struct{ runs chan struct{} }

func (v failingServer) Call(context.Context, bulrushlug.Backend, *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.runs <- struct{}{}
	p, w := io.Pipe()
	go func() {
		_, _ = io.Copy(w, strings.NewReader("failed"))
		_ = w.Close()
	}()
	return &run{status: statusError, PipeReader: p}, nil
}

// TestFailuresOutliveTheirPrimary replaces or restarts the primary of an item after each of its runs, all of which a server
// fails: the item is given up after as many runs as its route allows.
func TestFailuresOutliveTheirPrimary(t *testing.T) {
	for name, disturb := range map[string]func(g *group){
		"nothing":                 func(*group) {},
		"the primary is replaced": func(g *group) { g.kill(g.primary()) },
		"the primary restarts":    func(g *group) { g.restart(g.primary()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const attempts = 3 // As the route allows.
				c, stop := context.WithCancel(t.Context())
				g := newIdleGroup(c)
				v := failingServer{runs: make(chan struct{}, 100)}
				g.client = v
				g.run("a", "b", "c", "d", "e")
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				if err := g.processes["a"].manager.Submit(c, l); err != nil {
					t.Fatal(err)
				}
				for n := range attempts - 1 {
					for len(v.runs) <= n {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(150 * time.Millisecond) // The replicas learn of it; the next run is due after initialBackoff.
					disturb(g)
				}
				time.Sleep(30 * time.Second)
				if n := len(v.runs); n != attempts {
					t.Errorf("%d runs", n)
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
