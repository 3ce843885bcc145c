package daemon

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/ports"
	"bulrushlug.dev/bulrushlug/setup"
)

const waitTimeout = 20 * time.Second // Time limit of waitUntil.

// testSystem is a small system whose processes run in the test process and listen on loopback addresses.
type testSystem struct {
	t            *testing.T
	store        *memtxn.Store
	kv           *kvServer
	storeAddress string
	storeProxies map[string]*faultProxy // Between each process and the key-value service, by VM; nil if there are none.
	backends     []*fakeBackend
	entries      []*process
	data         []*process
	folder       string
	version      int
	all          []*process
}

// process is one Daemon of the system.
type process struct {
	settings map[string]string
	daemon   *Daemon
	stop     context.CancelFunc
	done     chan error
}

func newSystem(t *testing.T, entries, data, backends int) *testSystem {
	s := &testSystem{t: t, store: memtxn.New(), folder: t.TempDir()}
	s.boot(entries, data, backends)
	return s
}

// newSystemWithStoreProxies is newSystem with a proxy between each process and the key-value service.
func newSystemWithStoreProxies(t *testing.T, entries, data, backends int) *testSystem {
	s := &testSystem{t: t, store: memtxn.New(), folder: t.TempDir(), storeProxies: map[string]*faultProxy{}}
	s.boot(entries, data, backends)
	return s
}

// boot starts the system and waits until all entries are ready.
func (s *testSystem) boot(entries, data, backends int) {
	t := s.t
	t.Cleanup(s.end)
	s.kv = &kvServer{store: s.store, renewed: map[string]time.Time{}, keys: map[uint64]string{}}
	s.storeAddress = serveHTTP(t, "127.0.0.1:0", s.kv)
	for i := range backends {
		b := &fakeBackend{id: fmt.Sprint("b", i), ran: map[string]int{}, tenants: map[string]string{}, eventCount: 5, eventInterval: 5 * time.Millisecond}
		b.address = serveHTTP(t, "127.0.0.1:0", b)
		s.backends = append(s.backends, b)
		s.register(b, "ready")
	}
	s.manifest("k1")
	for i := range data {
		s.data = append(s.data, s.start(map[string]string{"vm": fmt.Sprint("d", i), "zone": fmt.Sprint("z", i), "role": "data", "dataFolder": filepath.Join(s.folder, fmt.Sprint("d", i))}))
	}
	for i := range entries {
		s.entries = append(s.entries, s.start(map[string]string{"vm": fmt.Sprint("e", i), "zone": fmt.Sprint("z", i), "role": "entry", "http": freeAddress(), "ready": freeAddress()}))
	}
	for i := range entries {
		s.waitUntil("an entry is ready", func() bool { return s.ready(i) })
	}
}

var loopback = ports.New()

// freeAddress returns an unused loopback address.
func freeAddress() string {
	a, err := loopback.Next()
	if err != nil {
		panic(err)
	}
	return a
}

func (s *testSystem) write(k, v string) {
	s.t.Helper()
	if _, err := s.store.Commit(context.Background(), nil, []bulrushlug.Write{bulrushlug.PutWrite(k, []byte(v), 0)}); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testSystem) register(b *fakeBackend, state string) { s.registerStart(b, state, 1) }

// registerStart registers b, which started at the given time.
func (s *testSystem) registerStart(b *fakeBackend, state string, start int) {
	s.write("servers/"+b.id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z0","version":"v1","slots":8,"state":%q,"coldLeftMs":0,"callSeq":1,"born":%d}`, b.address, state, start))
}

// Routes of the manifest.
const (
	onlineRoutes = `{"name":"ask","host":"h.example","prefix":"/ask/","kind":"streaming","timeoutMs":5000,"service":"s","maxAttempts":2,"resumable":true},
{"name":"once","host":"h.example","prefix":"/once/","kind":"streaming","timeoutMs":20000,"service":"s","maxAttempts":1}`
	lotRoute = `{"name":"lots","host":"h.example","prefix":"/in/","kind":"batch","timeoutMs":5000,"dueMs":18000,"retentionS":60,"service":"s","maxAttempts":3}`
)

// manifest writes the next version of the manifest, in which organisation o has API key k.
func (s *testSystem) manifest(k string) { s.manifestWith(k, onlineRoutes, lotRoute) }

// manifestWith writes the next version of the manifest, which has the given routes.
func (s *testSystem) manifestWith(k string, routes ...string) {
	s.version++
	s.write("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],
"services":[{"name":"s","maxConnections":100}],"limits":{"maxBodyBytes":1000000},"tenants":[{"name":"o","apiKeys":[%q]}]}`, s.version, strings.Join(routes, ","), k))
}

// start starts a process with the given settings.
func (s *testSystem) start(m map[string]string) *process {
	s.t.Helper()
	if m["listen"] == "" {
		m["listen"] = freeAddress()
	}
	m["region"], m["store"] = "r", s.storeAddress
	if s.storeProxies != nil {
		s.storeProxies[m["vm"]], m["store"] = newFaultProxy(s.t, s.storeAddress)
	}
	b := "{"
	for k, v := range m {
		if v == "true" {
			b += fmt.Sprintf("%q: true,", k)
			continue
		}
		b += fmt.Sprintf("%q: %q,", k, v)
	}
	c, err := setup.Parse("test", []byte(b+`"toleratedDisks": 1, "firstStart": true, "graceSeconds": 4}`))
	if err != nil {
		s.t.Fatal(err)
	}
	l := log.NewNopLogger()
	if os.Getenv("SITE_LOG") != "" {
		l = log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	}
	x, err := New(c, l)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{settings: m, daemon: x, stop: stop, done: make(chan error, 1)}
	go func() { p.done <- x.Run(ctx) }()
	s.all = append(s.all, p)
	return p
}

// end stops all processes at once and waits until they have ended.
func (s *testSystem) end() {
	for _, p := range s.all {
		p.stop()
	}
	for _, p := range s.all {
		p.end()
	}
}

// end stops the process and waits until it has ended.
func (p *process) end() {
	p.stop()
	if err, ok := <-p.done; ok {
		close(p.done)
		_ = err
	}
}

func (s *testSystem) waitUntil(what string, f func() bool) {
	s.t.Helper()
	for t := time.Now(); time.Since(t) < waitTimeout; time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.t.Fatalf("condition not met after %v: %s", waitTimeout, what)
}

func (s *testSystem) ready(i int) bool {
	w, err := http.Get("http://" + s.entries[i].settings["ready"] + "/readyz")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == 200
}

// call sends one request to entry i.
func (s *testSystem) call(i int, method, path, id, key, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+s.entries[i].settings["http"]+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", "4000")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, err.Error()
	}
	return w.StatusCode, string(b)
}

func lotBody(id string, n int) string {
	var l []string
	for i := range n {
		l = append(l, fmt.Sprintf(`{"id":"%s-%d","path":"/ask/%d","headers":{},"body":%q,"tokenCount":1}`, id, i, i, base64.StdEncoding.EncodeToString([]byte("body"))))
	}
	return `{"items":[` + strings.Join(l, ",") + `]}`
}

// resultCount returns the number of results of the lot that entry i lists; -1 if the call fails.
func (s *testSystem) resultCount(i int, id string) int {
	n, b := s.call(i, "GET", "/lots/"+id+"?after=0", "read", "k1", "")
	if n != 200 {
		return -1
	}
	return int(gjson.Get(b, "next").Int())
}

func TestEndToEnd(t *testing.T) {
	s := newSystem(t, 2, 2, 2)
	n, b := s.call(0, "POST", "/ask/x", "q1", "k1", "body")
	if want := "id: 1\ndata: piece 1\n\n"; n != 200 || !strings.HasPrefix(b, want) || strings.Count(b, "\n\n") != 5 {
		t.Errorf("request: status %d, body %q", n, b)
	}
	if n, _ := s.call(0, "POST", "/ask/x", "q2", "k9", ""); n != 401 {
		t.Errorf("status %d for an unknown API key", n)
	}
	if n, _ := s.call(0, "POST", "/none/x", "q3", "k1", ""); n != 404 {
		t.Errorf("status %d for a path without a route", n)
	}
	s.waitUntil("a lot is accepted", func() bool { n, _ := s.call(0, "POST", "/in/l", "lot1", "k1", lotBody("lot1", 6)); return n == 202 })
	if n, _ := s.call(1, "POST", "/in/l", "lot1", "k1", lotBody("lot1", 6)); n != 202 {
		t.Errorf("status %d for a lot that is resubmitted through another entry", n)
	}
	for i := range 2 {
		s.waitUntil("all results are listed", func() bool { return s.resultCount(i, "lot1") == 6 })
	}
	if n, _ := s.call(0, "GET", "/lots/none", "r", "k1", ""); n != 404 {
		t.Errorf("status %d for a lot that does not exist", n)
	}
	for _, x := range s.backends {
		x.mu.Lock()
		if x.keyCount > 0 || x.ran["q2"]+x.ran["q3"] > 0 {
			t.Errorf("backend server %s received %d API keys and ran %v", x.id, x.keyCount, x.ran)
		}
		for id, o := range x.tenants {
			if o != "o" {
				t.Errorf("request %s arrived with organisation %q", id, o)
			}
		}
		x.mu.Unlock()
	}
}

// TestReadyBeforeListening has a process with a manifest and servers that does not listen for callers yet.
func TestReadyBeforeListening(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	c, err := setup.Parse("test", []byte(fmt.Sprintf(`{"vm": "e9", "zone": "z0", "region": "r", "role": "entry", "listen": %q, "http": %q, "ready": %q, "store": %q, "graceSeconds": 4}`,
		freeAddress(), freeAddress(), freeAddress(), s.storeAddress)))
	if err != nil {
		t.Fatal(err)
	}
	x, err := New(c, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	for p, f := range map[string]func(l []bulrushlug.KVEntry){"op/": x.setManifest, "servers/": x.setBackends} {
		l, _, err := s.store.List(t.Context(), p)
		if err != nil {
			t.Fatal(err)
		}
		f(l)
	}
	e := x.roleHandler.(*entry)
	status := func() int {
		w := httptest.NewRecorder()
		e.serveReadiness(w, httptest.NewRequest("GET", "/readyz", nil))
		return w.Code
	}
	if n := status(); n != http.StatusServiceUnavailable {
		t.Errorf("status %d before the process listens", n)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.serve(ctx) }()
	s.waitUntil("the process is ready", func() bool { return status() == 200 })
	n, err := net.Dial("tcp", c.HTTP())
	if err != nil {
		t.Error(err)
	} else {
		_ = n.Close()
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestManifestChange(t *testing.T) {
	s := newSystem(t, 2, 1, 1)
	if n, _ := s.call(0, "POST", "/ask/x", "q", "k1", ""); n != 200 {
		t.Fatalf("status %d for the API key of the first manifest", n)
	}
	s.manifest("k2")
	for i := range 2 {
		s.waitUntil("the old key is refused", func() bool { n, _ := s.call(i, "POST", "/ask/x", "q", "k1", ""); return n == 401 })
		if n, _ := s.call(i, "POST", "/ask/x", "q", "k2", ""); n != 200 {
			t.Errorf("status %d for the new API key", n)
		}
	}
	s.store.SetOutage(true)
	time.Sleep(time.Second)
	for i := range 2 {
		if n, _ := s.call(i, "POST", "/ask/x", "q", "k2", ""); n != 200 {
			t.Errorf("status %d during an outage of the key-value service", n)
		}
	}
	s.store.SetOutage(false)
}

// TestStartWithoutService checks that a process that starts during an outage of the key-value service gets the manifest and
// the backend servers from a peer.
func TestStartWithoutService(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	s.waitUntil("the processes have discovered each other", func() bool {
		return len(s.data[0].daemon.membership.LiveDataPeers()) == 0 && len(s.data[0].daemon.membership.All()) == 1 && len(s.entries[0].daemon.membership.LiveDataPeers()) == 1
	})
	s.entries[0].end()
	s.store.SetOutage(true)
	d := s.data[0].settings["listen"]
	p := s.start(map[string]string{"vm": "e0", "zone": "z0", "role": "entry", "http": freeAddress(), "ready": freeAddress(), "listen": s.entries[0].settings["listen"]})
	s.entries[0] = p
	s.waitUntil("the entry is ready, with manifest and backend servers from "+d, func() bool { return s.ready(0) })
	if n, _ := s.call(0, "POST", "/ask/x", "q", "k1", ""); n != 200 {
		t.Errorf("status %d for a request to the restarted entry", n)
	}
	s.store.SetOutage(false)
}

func TestPlannedStop(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	s.backends[0].eventCount, s.backends[0].eventInterval = 30, 50*time.Millisecond
	var w sync.WaitGroup
	cut := make(chan string, 100)
	for i := range 5 {
		w.Go(func() {
			if n, b := s.call(0, "POST", "/ask/x", fmt.Sprint("q", i), "k1", ""); n != 200 || strings.Count(b, "\n\n") != 30 {
				cut <- fmt.Sprint(n, " ", b)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	s.entries[0].stop()
	s.waitUntil("the entry is not ready", func() bool { return !s.ready(0) })
	if n, _ := s.call(0, "POST", "/ask/x", "late", "k1", ""); n != 200 {
		t.Errorf("status %d right after the request to stop", n)
	}
	w.Wait()
	s.entries[0].end()
	close(cut)
	for x := range cut {
		t.Errorf("request was cut off: %s", x)
	}
}

func TestDiskLost(t *testing.T) {
	s := newSystem(t, 1, 3, 1)
	s.backends[0].eventInterval = 100 * time.Millisecond
	s.waitUntil("a lot is accepted", func() bool { n, _ := s.call(0, "POST", "/in/l", "lot1", "k1", lotBody("lot1", 30)); return n == 202 })
	s.waitUntil("some results are listed", func() bool { return s.resultCount(0, "lot1") >= 3 })
	before := s.resultCount(0, "lot1")
	var holder *process
	for _, p := range s.data {
		if l, _ := filepath.Glob(filepath.Join(p.settings["dataFolder"], "*.lot")); len(l) > 0 {
			holder = p
		}
	}
	holder.end()
	if err := os.RemoveAll(holder.settings["dataFolder"]); err != nil {
		t.Fatal(err)
	}
	s.start(holder.settings)
	s.waitUntil("all results are listed", func() bool {
		n := s.resultCount(0, "lot1")
		if n >= 0 && n < before {
			t.Fatalf("%d results are listed after %d were read", n, before)
		}
		before = max(n, before)
		return n == 30
	})
}
