package daemon

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
)

// kvServer serves the HTTP protocol of the platform's key-value service from an in-memory store.
type kvServer struct {
	store   *memtxn.Store
	mu      sync.Mutex
	keys    map[uint64]string    // Key written last under each lease; nil if renewals are not recorded.
	renewed map[string]time.Time // Last renewal of the lease of each key.
}

// recordRenewal records a renewal of lease l, or that key k was written under it unless k is empty.
func (s *kvServer) recordRenewal(l uint64, k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		return
	}
	if k != "" {
		s.keys[l] = k
	}
	s.renewed[s.keys[l]] = time.Now()
}

// sinceRenewal returns the time since the last renewal of the lease of key k.
func (s *kvServer) sinceRenewal(k string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.renewed[k])
}

func encodeEntry(i bulrushlug.KVEntry) map[string]any {
	if i.Value() == nil {
		return map[string]any{"key": i.Key(), "revision": i.Revision(), "tombstone": true}
	}
	return map[string]any{"key": i.Key(), "revision": i.Revision(), "value": base64.StdEncoding.EncodeToString(i.Value())}
}

func encodeEntries(l []bulrushlug.KVEntry) []any {
	a := []any{}
	for _, i := range l {
		a = append(a, encodeEntry(i))
	}
	return a
}

func (s *kvServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var b gjson.Result
	if r.Body != nil {
		var x json.RawMessage
		_ = json.NewDecoder(r.Body).Decode(&x)
		b = gjson.ParseBytes(x)
	}
	status, x := s.handle(r, q.Get, b)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(x)
}

func (s *kvServer) handle(r *http.Request, q func(string) string, b gjson.Result) (int, any) {
	c := r.Context()
	switch p := r.URL.Path; {
	case p == "/kv-key":
		i, err := s.store.Get(c, q("key"))
		if err == nil && i.Revision() == 0 {
			return 404, nil
		}
		return statusCode(err), encodeEntry(i)
	case p == "/kv-range":
		l, n, err := s.store.List(c, q("prefix"))
		return statusCode(err), map[string]any{"items": encodeEntries(l), "morePages": false, "currentRev": n}
	case p == "/kv-watch":
		after, _ := strconv.ParseUint(q("after"), 10, 64)
		ms, _ := strconv.Atoi(q("waitMs"))
		l, n, err := s.store.Watch(c, q("prefix"), after, time.Duration(ms)*time.Millisecond)
		return statusCode(err), map[string]any{"events": encodeEntries(l), "currentRev": n}
	case p == "/kv-txn":
		n, err := s.commit(c, b)
		return statusCode(err), map[string]any{"revision": n}
	case p == "/kv-lease":
		n, err := s.store.Grant(c, time.Duration(b.Get("ttlMs").Int())*time.Millisecond)
		return statusCode(err), map[string]any{"lease": n}
	case strings.HasPrefix(p, "/kv-keep/"):
		n, _ := strconv.ParseUint(strings.TrimPrefix(p, "/kv-keep/"), 10, 64)
		if err := s.store.Renew(c, n); err != nil {
			return 404, nil
		}
		s.recordRenewal(n, "")
		return 200, map[string]any{}
	case strings.HasPrefix(p, "/kv-lease-end/"):
		n, _ := strconv.ParseUint(strings.TrimPrefix(p, "/kv-lease-end/"), 10, 64)
		return statusCode(s.store.Revoke(c, n)), map[string]any{}
	}
	return 404, nil
}

func (s *kvServer) commit(c context.Context, b gjson.Result) (uint64, error) {
	var l []bulrushlug.Condition
	for _, x := range b.Get("precondition").Array() {
		l = append(l, bulrushlug.NewCondition(x.Get("key").String(), x.Get("revision").Uint()))
	}
	var w []bulrushlug.Write
	for _, x := range b.Get("setKeys").Array() {
		v, err := base64.StdEncoding.DecodeString(x.Get("value").String())
		if err != nil {
			return 0, err
		}
		w = append(w, bulrushlug.PutWrite(x.Get("key").String(), v, x.Get("lease").Uint()))
		if l := x.Get("lease").Uint(); l != 0 {
			s.recordRenewal(l, x.Get("key").String())
		}
	}
	for _, x := range b.Get("remove").Array() {
		w = append(w, bulrushlug.RemoveWrite(x.String()))
	}
	return s.store.Commit(c, l, w)
}

// statusCode returns the HTTP status for err.
func statusCode(err error) int {
	switch {
	case err == nil:
		return 200
	case bulrushlug.KindOf(err) == bulrushlug.KindConflict:
		return 412
	case bulrushlug.KindOf(err) == bulrushlug.KindHistoryLost:
		return 410
	}
	return 503
}

// fakeBackend is a fake backend server that streams events at a fixed interval and records the requests that it ran.
type fakeBackend struct {
	id, address   string
	mu            sync.Mutex
	ran           map[string]int    // Number of runs by request.
	tenants       map[string]string // Organisation header of each request.
	keyCount      int               // Number of requests that carried an API key.
	received      int               // Number of requests to this instance, refused ones included.
	running       int               // Requests in progress.
	eventCount    int
	eventInterval time.Duration
	leaving       bool      // All answers say that the server is leaving.
	refusals      int       // Number of requests to refuse as not run.
	breaks        int       // Number of streams to break off after their first event.
	stalls        int       // Number of requests that get no answer.
	pausedUntil   time.Time // Until then no event of any stream is sent.
	coldUntil     time.Time
	checks        int // Health checks received.
}

// serveHealth answers a health check.
func (b *fakeBackend) serveHealth(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.checks++
	w.Header().Set("X-Instance-Id", b.id)
	if d := time.Until(b.coldUntil); d > 0 {
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(d.Milliseconds(), 10))
	}
}

// set changes the server under its lock.
func (b *fakeBackend) set(f func(b *fakeBackend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

// pauseLeft returns how much longer the server sends no event.
func (b *fakeBackend) pauseLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, time.Until(b.pausedUntil))
}

// total returns the number of runs and refusals.
func (b *fakeBackend) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

// sayLeaving sets the header by which a backend server says that it is leaving.
func sayLeaving(w http.ResponseWriter) { w.Header().Set("Server-Leaving", "1") }

func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		b.serveHealth(w)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.received++
	if b.leaving {
		sayLeaving(w)
	}
	w.Header().Set("X-Attempt-Id", id)
	if b.refusals > 0 {
		b.refusals--
		b.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	broken := b.breaks > 0
	if broken {
		b.breaks--
	}
	stalled := b.stalls > 0
	if stalled {
		b.stalls--
	}
	b.running++
	defer b.set(func(b *fakeBackend) { b.running-- })
	b.ran[id]++
	b.tenants[id] = r.Header.Get("X-Tenant")
	if r.Header.Get("X-Api-Key") != "" {
		b.keyCount++
	}
	b.mu.Unlock()
	if stalled {
		_, _ = io.Copy(io.Discard, r.Body) // Only then net/http notices that the connection was closed.
		<-r.Context().Done()
		return
	}
	w.Header().Set("X-Server-Stamp", b.id+"-stamp")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= b.eventCount; n++ {
		if bulrushlug.Sleep(r.Context(), b.eventInterval) != nil || bulrushlug.Sleep(r.Context(), b.pauseLeft()) != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		if broken {
			panic(http.ErrAbortHandler)
		}
	}
}

// serveHTTP serves h on address a until the test ends and returns the address that it listens on. A connection without a
// request stays open for longer than an entry keeps one.
func serveHTTP(t *testing.T, a string, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}
