package daemon

import (
	"fmt"
	"testing"
	"time"
)

// TestHealthChecks guards against a server that turns cold and says so to one process alone, and against checks that are not
// asked for or that each process makes.
func TestHealthChecks(t *testing.T) {
	const coldService = `{"name":"s","coldPerS":7.6,"coldStartS":3,"healthPath":"/healthz"}`
	for name, x := range map[string]struct {
		rate    string // Setting healthChecksPerSecond.
		service string
		checked bool
	}{
		"checked":                   {rate: "5", service: coldService, checked: true},
		"not called for":            {rate: "0", service: coldService},
		"servers without warm-up":   {rate: "5", service: `{"name":"s","healthPath":"/healthz"}`},
		"servers without the check": {rate: "5", service: `{"name":"s","coldPerS":7.6,"coldStartS":3}`},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0, 0, 1)
			s.write("op/config", fmt.Sprintf(`{"version":9,"routes":[%s],"services":[%s],"tenants":[{"name":"o","apiKeys":["k1"]}]}`, onlineRoutes, x.service))
			for i := range 3 {
				s.entries = append(s.entries, s.start(map[string]string{"vm": fmt.Sprint("e", i), "zone": fmt.Sprint("z", i%2), "role": "entry", "http": freeAddress(), "ready": freeAddress(), "healthChecksPerSecond": x.rate}))
			}
			for i := range s.entries {
				s.waitUntil("an entry is ready", func() bool { return s.ready(i) })
			}
			cold := func() (n int) {
				for _, p := range s.entries {
					n += p.daemon.gate.Cold()
				}
				return n
			}
			s.waitUntil("no process counts the server as cold any more", func() bool { return cold() == 0 })
			b := s.backends[0]
			const span = 1500 * time.Millisecond
			time.Sleep(time.Second) // Lets the processes hear each other.
			b.set(func(b *fakeBackend) { b.checks = 0 })
			time.Sleep(span)
			n := 0
			b.set(func(b *fakeBackend) { n = b.checks })
			if !x.checked {
				if n > 0 {
					t.Errorf("%d health checks", n)
				}
				return
			}
			if most := int(2 * 5 * span.Seconds()); n == 0 || n > most {
				t.Errorf("%d health checks in %v, want up to %d", n, span, most)
			}
			b.set(func(b *fakeBackend) { b.coldUntil = time.Now().Add(time.Minute) })
			s.waitUntil("all processes count the server as cold", func() bool { return cold() == len(s.entries) })
		})
	}
}
