package daemon

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// TestLotOutlivesItsRoute guards against a lot whose results were read and that is answered 404, within the time for which it
// is kept, once a version of the manifest has removed its route.
func TestLotOutlivesItsRoute(t *testing.T) {
	later := map[string]string{"vm": "e9", "zone": "z0", "role": "entry"}
	for name, x := range map[string]struct {
		change func(s *testSystem) // What happens after the route was removed.
		key    string              // Key of the organisation after that; empty for the first one.
	}{
		"the route is gone": {change: func(*testSystem) {}},
		"an entry starts later": {change: func(s *testSystem) {
			m := map[string]string{"http": freeAddress(), "ready": freeAddress()}
			for k, v := range later {
				m[k] = v
			}
			s.entries = append(s.entries, s.start(m))
			s.waitUntil("the new entry is ready", func() bool { return s.ready(len(s.entries) - 1) })
		}},
		"a disk is lost": {change: func(s *testSystem) {
			i := slices.IndexFunc(s.data, func(p *process) bool {
				l, _ := filepath.Glob(filepath.Join(p.settings["dataFolder"], "*.lot"))
				return len(l) > 0
			})
			s.data[i].end()
			if err := os.RemoveAll(s.data[i].settings["dataFolder"]); err != nil {
				s.t.Fatal(err)
			}
			s.start(s.data[i].settings)
		}},
		"a data process starts again": {change: func(s *testSystem) {
			for _, p := range s.data {
				p.end()
			}
			for _, p := range s.data {
				s.start(p.settings)
			}
		}},
		"the key is replaced": {key: "k2", change: func(s *testSystem) { s.manifestWith("k2", onlineRoutes) }},
		"the route is there again, shorter": {change: func(s *testSystem) {
			s.manifestWith("k1", onlineRoutes, `{"name":"lots","host":"h.example","prefix":"/in/","kind":"batch","timeoutMs":5000,"dueMs":1,"retentionS":1,"service":"s"}`)
		}},
		"another route has its prefix": {change: func(s *testSystem) {
			s.manifestWith("k1", onlineRoutes, `{"name":"new","host":"h.example","prefix":"/in/","kind":"idempotent","timeoutMs":5000,"service":"s"}`)
		}},
		"a route takes all paths": {change: func(s *testSystem) {
			s.manifestWith("k1", onlineRoutes, `{"name":"all","host":"h.example","prefix":"/","kind":"idempotent","timeoutMs":5000,"service":"s"}`)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 2, 3, 2)
			s.waitUntil("a lot is accepted", func() bool { n, _ := s.call(0, "POST", "/in/l", "lot1", "k1", lotBody("lot1", 6)); return n == 202 })
			s.waitUntil("all results are listed", func() bool { return s.resultCount(0, "lot1") == 6 })
			_, before := s.call(0, "GET", "/lots/lot1?after=0", "", "k1", "")
			s.manifestWith("k1", onlineRoutes)
			x.change(s)
			key := "k1"
			if x.key != "" {
				key = x.key
			}
			found := make([]bool, len(s.entries))
			for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
				for i := range s.entries {
					n, b := s.call(i, "GET", "/lots/lot1?after=0", "", key, "")
					if n == 404 || n == 410 || n == 200 && b != before {
						t.Errorf("entry %d, %v after the change: status %d, %s", i, time.Since(begun), n, b)
					}
					found[i] = n == 200
				}
			}
			for i := range s.entries {
				if !found[i] {
					t.Errorf("entry %d did not answer in the end", i)
				}
				if n, b := s.call(i, "DELETE", "/lots/lot1", "", key, ""); n != 200 {
					t.Errorf("entry %d: status %d to the end of the lot, %s", i, n, b)
				}
			}
		})
	}
}
