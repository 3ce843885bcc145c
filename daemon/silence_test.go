package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestSilentServerBesideManifest guards against streams that an entry ends beside a change of the configuration, though their server
// only pauses: no other one can go on for it.
func TestSilentServerBesideManifest(t *testing.T) {
	const (
		events  = 20
		perSlot = 10 // Requests that a server of 8 slots takes.
		pause   = 2400 * time.Millisecond
	)
	moved := strings.ReplaceAll(onlineRoutes, `"service":"s"`, `"service":"other"`)
	for name, x := range map[string]struct {
		servers int // All of them pause.
		change  func(s *testSystem)
	}{
		"no change":         {servers: 1, change: func(*testSystem) {}},
		"a new key":         {servers: 1, change: func(s *testSystem) { s.manifest("k2") }},
		"the route moves":   {servers: 1, change: func(s *testSystem) { s.manifestWith("k1", moved, lotRoute) }},
		"the route is gone": {servers: 1, change: func(s *testSystem) { s.manifestWith("k1", lotRoute) }},
		"resumption is withdrawn": {servers: 1, change: func(s *testSystem) {
			s.manifestWith("k1", strings.ReplaceAll(onlineRoutes, `,"resumable":true`, ""), lotRoute)
		}},
		"versions follow closely": {servers: 1, change: func(s *testSystem) {
			for range 5 {
				s.manifest("k1")
				time.Sleep(200 * time.Millisecond)
			}
		}},
		"two servers pause":   {servers: 2, change: func(s *testSystem) { s.manifest("k2") }},
		"three servers pause": {servers: 3, change: func(s *testSystem) { s.manifest("k2") }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 1, 1, x.servers)
			for _, b := range s.backends {
				b.set(func(b *fakeBackend) { b.eventCount, b.eventInterval = events, 50*time.Millisecond })
			}
			var w sync.WaitGroup
			for i := range perSlot * len(s.backends) {
				w.Go(func() {
					if n, b := s.call(0, "POST", "/ask/x", fmt.Sprint("r", i), "k1", "body"); n != 200 || strings.Count(b, "\n\n") != events {
						t.Errorf("request %d got status %d and %d of %d events", i, n, strings.Count(b, "\n\n"), events)
					}
				})
				time.Sleep(5 * time.Millisecond)
			}
			s.waitUntil("all requests are at servers", func() bool {
				n := 0
				for _, b := range s.backends {
					b.set(func(b *fakeBackend) { n += b.running })
				}
				return n == perSlot*len(s.backends)
			})
			for _, b := range s.backends {
				b.set(func(b *fakeBackend) { b.pausedUntil = time.Now().Add(pause) })
			}
			x.change(s)
			w.Wait()
		})
	}
}
