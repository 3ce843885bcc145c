package daemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
)

// Parts of the manifests that the processes of TestManifestsOfProcesses know.
const (
	behindTenant = `{"name":"o","apiKeys":["k1"]}`
	lateRoutes   = `{"name":"more","host":"h.example","prefix":"/more/","kind":"streaming","timeoutMs":5000,"service":"s","maxAttempts":2},
{"name":"late","host":"h.example","prefix":"/late/","kind":"batch","timeoutMs":5000,"dueMs":18000,"retentionS":60,"service":"s","maxAttempts":3}`
)

// writeManifest writes the next version of the manifest with two services.
func (s *testSystem) writeManifest(tenants string, routes ...string) {
	s.version++
	s.write("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","maxConnections":100},{"name":"t","maxConnections":100}],
"limits":{"maxBodyBytes":1000000},"tenants":[%s]}`, s.version, strings.Join(routes, ","), tenants))
}

// hold writes a manifest by f and returns once all processes know it, but for those in l, which keep the one that they have until
// release is called.
func (s *testSystem) hold(l []*process, f func()) (release func()) {
	s.t.Helper()
	held := map[*process]*bulrushlug.Manifest{}
	for _, p := range l {
		held[p] = p.daemon.manifest.Load()
	}
	f()
	for _, p := range s.all {
		s.waitUntil("a process has the manifest", func() bool { return p.daemon.manifestVersion() == uint64(s.version) })
		if m, ok := held[p]; ok {
			held[p] = p.daemon.manifest.Swap(m)
		}
	}
	return func() {
		for p, m := range held {
			p.daemon.manifest.Store(m)
		}
	}
}

// states returns the states of the results of a lot as entry i lists them; nil if the call fails.
func (s *testSystem) states(i int, id, key string) (l []string) {
	n, b := s.call(i, "GET", "/lots/"+id+"?after=0", "read", key, "")
	if n != 200 {
		return nil
	}
	for _, x := range gjson.Get(b, "results.#.state").Array() {
		l = append(l, x.String())
	}
	return l
}

// TestManifestsOfProcesses guards against items that are given up, and lots and requests that are denied, because some processes know a
// version of the manifest already that others don't.
func TestManifestsOfProcesses(t *testing.T) {
	const items = 6
	type call struct {
		entry        int
		path, id     string
		key          string
		lot          bool
		want         int
		resultsByKey string // Key with which the results of an accepted lot are read later.
	}
	online := func(entry int, path, key string) call {
		return call{entry: entry, path: path, id: "q" + fmt.Sprint(entry) + path, key: key, want: 200}
	}
	lot := func(entry int, path, key string) call {
		return call{entry: entry, path: path, id: fmt.Sprint("lot-", entry), key: key, lot: true, want: 202, resultsByKey: key}
	}
	moved := strings.Replace(lotRoute, `"service":"s"`, `"service":"t"`, 1)
	split := strings.Replace(lotRoute, `"service":"s"`, `"trafficSplit":[{"service":"s","weight":1},{"service":"t","weight":1}]`, 1)
	short := strings.Replace(strings.Replace(lotRoute, `"retentionS":60`, `"retentionS":1`, 1), `"dueMs":18000`, `"dueMs":500`, 1)
	for change, x := range map[string]struct {
		write   func(s *testSystem)
		calls   []call // Made while some processes are behind; entry 1 may be one.
		key     string // With which the first lot is read after the change.
		givenUp bool   // Its items may be given up, as its route is gone.
	}{
		"a route is added": {write: func(s *testSystem) { s.writeManifest(behindTenant, onlineRoutes, lotRoute, lateRoutes) }, key: "k1",
			calls: []call{online(0, "/more/x", "k1"), lot(0, "/late/l", "k1"), online(1, "/ask/x", "k1")}},
		"a route is removed": {write: func(s *testSystem) { s.writeManifest(behindTenant, onlineRoutes) }, key: "k1", givenUp: true,
			calls: []call{online(0, "/ask/x", "k1"), online(1, "/ask/x", "k1")}},
		"a route moves": {write: func(s *testSystem) { s.writeManifest(behindTenant, onlineRoutes, moved) }, key: "k1",
			calls: []call{lot(0, "/in/l", "k1"), lot(1, "/in/l", "k1")}},
		"a route is split": {write: func(s *testSystem) { s.writeManifest(behindTenant, onlineRoutes, split) }, key: "k1",
			calls: []call{lot(0, "/in/l", "k1"), lot(1, "/in/l", "k1")}},
		"times get shorter": {write: func(s *testSystem) { s.writeManifest(behindTenant, onlineRoutes, short) }, key: "k1",
			calls: []call{online(0, "/ask/x", "k1"), online(1, "/ask/x", "k1")}},
		"a key is added": {write: func(s *testSystem) {
			s.writeManifest(`{"name":"o","apiKeys":["k1","k2"]}`, onlineRoutes, lotRoute)
		}, key: "k2",
			calls: []call{online(0, "/ask/x", "k2"), lot(0, "/in/l", "k2"), lot(1, "/in/l", "k1")}},
		"a key is withdrawn": {write: func(s *testSystem) { s.writeManifest(`{"name":"o","apiKeys":["k2"]}`, onlineRoutes, lotRoute) }, key: "k2",
			calls: []call{online(0, "/ask/x", "k2"), lot(0, "/in/l", "k2")}},
		"an organisation is added": {write: func(s *testSystem) {
			s.writeManifest(behindTenant+`,{"name":"p","apiKeys":["k9"],"ratePerS":50,"burst":50}`, onlineRoutes, lotRoute)
		}, key: "k1",
			calls: []call{online(0, "/ask/x", "k9"), lot(0, "/in/l", "k9"), lot(1, "/in/l", "k1")}},
	} {
		for who, behind := range map[string]func(s *testSystem) []*process{
			"an entry":              func(s *testSystem) []*process { return s.entries[1:] },
			"the data processes":    func(s *testSystem) []*process { return s.data },
			"a data process":        func(s *testSystem) []*process { return s.data[:1] },
			"all but the one entry": func(s *testSystem) []*process { return slices.Concat(s.entries[1:], s.data) },
		} {
			t.Run(change+", behind: "+who, func(t *testing.T) {
				t.Parallel()
				s := newSystem(t, 2, 2, 2)
				b := &fakeBackend{id: "bt", ran: map[string]int{}, tenants: map[string]string{}, eventCount: 5, eventInterval: 5 * time.Millisecond}
				b.address = serveHTTP(t, "127.0.0.1:0", b)
				s.write("servers/bt", fmt.Sprintf(`{"service":"t","address":%q,"zone":"z0","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`, b.address))
				s.hold(nil, func() { s.writeManifest(behindTenant, onlineRoutes, lotRoute) })
				for _, b := range s.backends {
					b.set(func(b *fakeBackend) { b.eventInterval = 300 * time.Millisecond })
				}
				s.waitUntil("the first lot is accepted", func() bool {
					n, _ := s.call(0, "POST", "/in/l", "first", "k1", lotBody("first", items))
					return n == 202
				})
				release := s.hold(behind(s), func() { x.write(s) })
				lots := map[string]string{"first": x.key}
				for _, c := range x.calls {
					body := "body"
					if c.lot {
						body = lotBody(c.id, items)
						lots[c.id] = c.resultsByKey
					}
					for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
						n, text := s.call(c.entry, "POST", c.path, c.id, c.key, body)
						if n == c.want {
							break
						}
						if n == 404 || n == 401 || n == 403 || time.Since(begun) > waitTimeout {
							t.Fatalf("entry %d answered %s with status %d, %s", c.entry, c.path, n, text)
						}
					}
				}
				for begun := time.Now(); time.Since(begun) < time.Second; time.Sleep(100 * time.Millisecond) {
					if n, text := s.call(0, "GET", "/lots/first?after=0", "read", x.key, ""); n == 404 || n == 401 {
						t.Errorf("entry 0 answered a read with status %d, %s", n, text)
					}
				}
				release()
				for id, key := range lots {
					s.waitUntil("all results are listed", func() bool { return len(s.states(0, id, key)) == items })
					if l := s.states(0, id, key); slices.Contains(l, "abandoned") && !(id == "first" && x.givenUp) {
						t.Errorf("results of %s: %v", id, l)
					}
				}
			})
		}
	}
}
