package admit

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// oneSecond runs each request for one second.
var oneSecond = bulrushlug.StageFunc(func(c context.Context, _ *bulrushlug.Request, _ bulrushlug.Sink) error {
	return bulrushlug.Sleep(c, time.Second)
})

func request(o string, i int) *bulrushlug.Request {
	return bulrushlug.NewRequest(fmt.Sprint(o, i), bulrushlug.WithOrganisation(o))
}

// TestOverloadIsSharedFairly guards against one organisation's flood pushing another's few requests out of the queue.
func TestOverloadIsSharedFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(4, new(expvar.Map).Init())
		served := map[string]int{}
		refused := map[string]int{}
		var mu sync.Mutex
		var g sync.WaitGroup
		send := func(o string, n int) {
			for i := range n {
				g.Go(func() {
					err := f.Pass(context.Background(), request(o, i), nil, oneSecond)
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						served[o]++
					} else if k := bulrushlug.KindOf(err); k == bulrushlug.KindOverloaded && !k.Response().MayHaveRun() {
						refused[o]++
					} else {
						t.Errorf("%v", err)
					}
				})
			}
		}
		send("flood", 100)
		time.Sleep(10 * time.Millisecond)
		send("quiet", 5)
		g.Wait()
		if served["quiet"] != 5 || refused["flood"] < 70 {
			t.Errorf("served %v, refused %v", served, refused)
		}
	})
}

// TestDrainLetsRequestsFinish guards against a drain that ends running or queued online requests.
func TestDrainLetsRequestsFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(2, new(expvar.Map).Init())
		var g sync.WaitGroup
		for i := range 4 {
			g.Go(func() {
				if err := f.Pass(context.Background(), request("o", i), nil, oneSecond); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		idle := f.Drain()
		if err := f.Pass(context.Background(), request("late", 0), nil, oneSecond); bulrushlug.KindOf(err) != bulrushlug.KindLeaving {
			t.Errorf("a draining agent answered %v", err)
		}
		<-idle
		g.Wait()
	})
}
