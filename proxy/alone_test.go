package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/slots"
)

const quick = 100 * time.Millisecond // Time in which the other servers answer.

// slowServer is a set of servers of which server a answers late.
type slowServer struct {
	late time.Duration
	mu   sync.Mutex
	ran  map[string]int // Runs by server.
}

func (v *slowServer) Call(c context.Context, b bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.mu.Lock()
	v.ran[b.ID()]++
	v.mu.Unlock()
	d := quick
	if b.ID() == "a" {
		d = v.late
	}
	if bulrushlug.Sleep(c, d) != nil {
		return nil, c.Err()
	}
	return (&servers{steps: []step{steps["ok"]}}).Call(c, b, r)
}

// TestSlowServer guards against requests that are cut at a slow server, and fail, as no other server has a place for them.
func TestSlowServer(t *testing.T) {
	const late = 3 * time.Second
	for name, x := range map[string]struct {
		places   int           // Places at server b; zero if there is no such server.
		free     time.Duration // Time until they are free.
		requests int
		moved    int // Requests that run at b too.
		within   time.Duration
	}{
		"the only server":                  {requests: 2, within: late},
		"the other one has places":         {places: 8, requests: 2, moved: 2, within: responseTimeout + quick},
		"the other one is full":            {places: 8, free: time.Hour, requests: 2, within: late},
		"the other one is full for a bit":  {places: 8, free: 2 * time.Second, requests: 2, moved: 2, within: 2*responseTimeout + quick},
		"the other one has a single place": {places: 1, requests: 5, moved: 2, within: late},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := slots.New("e", func() []string { return nil })
				l := []bulrushlug.Backend{bulrushlug.NewBackend("a", "s", "h:1", bulrushlug.BackendZoneSlots("z", 8))}
				b.Update(l)
				v := &slowServer{late: late, ran: map[string]int{}}
				g := New(b, v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30))
				route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)),
					bulrushlug.RouteTraffic(bulrushlug.TrafficStream, false, true), bulrushlug.RouteLimits(2, 0, time.Second))
				began := time.Now()
				var w sync.WaitGroup
				for i := range x.requests {
					w.Go(func() {
						r := bulrushlug.NewRequest(fmt.Sprint("r", i), bulrushlug.WithTarget(route), bulrushlug.WithDeadline(time.Now().Add(5*time.Second)))
						if err := g.Run(t.Context(), r, &caller{}); err != nil || time.Since(began) > x.within {
							t.Errorf("%v after %v", err, time.Since(began))
						}
					})
				}
				synctest.Wait()
				if x.places > 0 {
					b.Update(append(l, bulrushlug.NewBackend("b", "s", "h:2", bulrushlug.BackendZoneSlots("z", uint32(x.places)))))
				}
				var held []*slots.Reservation
				for x.free > 0 {
					n, _ := b.AcquireOnline("s", map[string]bool{"a": true})
					if n == nil {
						break
					}
					held = append(held, n)
				}
				time.AfterFunc(x.free, func() {
					for _, n := range held {
						n.Release()
					}
				})
				w.Wait()
				if v.ran["a"] != x.requests || v.ran["b"] != x.moved {
					t.Errorf("runs %v", v.ran)
				}
			})
		})
	}
}
