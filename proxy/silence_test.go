package proxy

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/hush"
	"bulrushlug.dev/bulrushlug/memory"
)

// muted is a client whose first response falls silent after two events; the second one is complete.
type muted struct{ calls int }

func (v *muted) Call(c context.Context, _ bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.calls++
	first := v.calls == 1
	p, w := io.Pipe()
	context.AfterFunc(c, func() { _ = w.CloseWithError(c.Err()) })
	go func() {
		for n := r.ResumeFrom() + 1; n <= eventCount; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n); err != nil || first && n == 2 {
				return
			}
		}
		_ = w.Close()
	}()
	return &pipeReply{p}, nil
}

// TestServerFallsSilent has a server fall silent in the middle of a stream whose caller leaves after 2.4 s.
func TestServerFallsSilent(t *testing.T) {
	for name, x := range map[string]struct {
		monitor bool // The stage has one.
		others  int  // Other servers heard all the time.
		wait    time.Duration
	}{
		"other servers are heard":     {monitor: true, others: 5, wait: 1200 * time.Millisecond},
		"none is heard":               {monitor: true, wait: 2400 * time.Millisecond},
		"each stream is judged alone": {others: 5, wait: 2400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := hush.New()
				c, stop := context.WithCancel(t.Context())
				defer stop()
				go func() {
					for bulrushlug.Sleep(c, 100*time.Millisecond) == nil {
						for i := range x.others {
							m.Hear(fmt.Sprint("other", i))
						}
					}
				}()
				v := &muted{}
				g := New(table(), v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30))
				if x.monitor {
					g.WithMonitor(m)
				}
				route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficStream, true, true), bulrushlug.RouteTargets(300*time.Millisecond, 300*time.Millisecond))
				k := &caller{}
				b := time.Now()
				err := g.Run(c, bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(b.Add(5*time.Second))), k)
				if d := time.Since(b); err != nil || d != x.wait || v.calls != 2 || len(k.data) != 4*len("id: 1\ndata: 1\n\n") {
					t.Errorf("%v after %v and %d calls, want %v; the caller got %q", err, d, v.calls, x.wait, k.data)
				}
			})
		})
	}
}

// lateStart is a client whose responses begin at once, and whose first event comes later.
type lateStart struct {
	delay time.Duration
	calls int
}

func (v *lateStart) Call(c context.Context, _ bulrushlug.Backend, _ *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.calls++
	p, w := io.Pipe()
	context.AfterFunc(c, func() { _ = w.CloseWithError(c.Err()) })
	go func() {
		if bulrushlug.Sleep(c, v.delay) != nil {
			return
		}
		for n := 1; n <= eventCount; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n); err != nil {
				return
			}
		}
		_ = w.Close()
	}()
	return &pipeReply{p}, nil
}

// TestSlowFirstEvent has a server read a long prompt while other servers are heard: that is no silence.
func TestSlowFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := hush.New()
		c, stop := context.WithCancel(t.Context())
		defer stop()
		go func() {
			for bulrushlug.Sleep(c, 100*time.Millisecond) == nil {
				for i := range 5 {
					m.Hear(fmt.Sprint("other", i))
				}
			}
		}()
		v := &lateStart{delay: 1900 * time.Millisecond}
		route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficStream, true, true), bulrushlug.RouteTargets(2*time.Second, 100*time.Millisecond))
		k := &caller{}
		err := New(table(), v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30)).WithMonitor(m).
			Run(c, bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(time.Now().Add(5*time.Second))), k)
		if err != nil || v.calls != 1 || len(k.data) != eventCount*len("id: 1\ndata: 1\n\n") {
			t.Errorf("%v after %d calls, want one; the caller got %q", err, v.calls, k.data)
		}
	})
}
