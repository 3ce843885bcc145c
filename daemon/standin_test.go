package daemon

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtab"
)

// service speaks the protocol of the platform's key-value service over a table in memory.
type service struct {
	table *memtab.Store
}

func row(i bulrushlug.KVEntry) map[string]any {
	if i.Value() == nil {
		return map[string]any{"key": i.Key(), "revision": i.Revision(), "tombstone": true}
	}
	return map[string]any{"key": i.Key(), "revision": i.Revision(), "value": base64.StdEncoding.EncodeToString(i.Value())}
}

func rows(l []bulrushlug.KVEntry) []any {
	a := []any{}
	for _, i := range l {
		a = append(a, row(i))
	}
	return a
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var b gjson.Result
	if r.Body != nil {
		var x json.RawMessage
		_ = json.NewDecoder(r.Body).Decode(&x)
		b = gjson.ParseBytes(x)
	}
	status, x := s.answer(r, q.Get, b)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(x)
}

func (s *service) answer(r *http.Request, q func(string) string, b gjson.Result) (int, any) {
	c := r.Context()
	switch p := r.URL.Path; {
	case p == "/kv-key":
		i, err := s.table.Get(c, q("key"))
		if err == nil && i.Revision() == 0 {
			return 404, nil
		}
		return code(err), row(i)
	case p == "/kv-range":
		l, n, err := s.table.List(c, q("prefix"))
		return code(err), map[string]any{"items": rows(l), "morePages": false, "currentRev": n}
	case p == "/kv-watch":
		after, _ := strconv.ParseUint(q("after"), 10, 64)
		ms, _ := strconv.Atoi(q("waitMs"))
		l, n, err := s.table.Watch(c, q("prefix"), after, time.Duration(ms)*time.Millisecond)
		return code(err), map[string]any{"events": rows(l), "currentRev": n}
	case p == "/kv-txn":
		n, err := s.commit(c, b)
		return code(err), map[string]any{"revision": n}
	case p == "/kv-lease":
		n, err := s.table.Grant(c, time.Duration(b.Get("ttlMs").Int())*time.Millisecond)
		return code(err), map[string]any{"lease": n}
	case strings.HasPrefix(p, "/kv-keep/"):
		n, _ := strconv.ParseUint(strings.TrimPrefix(p, "/kv-keep/"), 10, 64)
		if err := s.table.Renew(c, n); err != nil {
			return 404, nil
		}
		return 200, map[string]any{}
	case strings.HasPrefix(p, "/kv-lease-end/"):
		n, _ := strconv.ParseUint(strings.TrimPrefix(p, "/kv-lease-end/"), 10, 64)
		return code(s.table.Revoke(c, n)), map[string]any{}
	}
	return 404, nil
}

func (s *service) commit(c context.Context, b gjson.Result) (uint64, error) {
	var on []bulrushlug.Condition
	for _, x := range b.Get("precondition").Array() {
		on = append(on, bulrushlug.NewCondition(x.Get("key").String(), x.Get("revision").Uint()))
	}
	var w []bulrushlug.Write
	for _, x := range b.Get("setKeys").Array() {
		v, err := base64.StdEncoding.DecodeString(x.Get("value").String())
		if err != nil {
			return 0, err
		}
		w = append(w, bulrushlug.PutWrite(x.Get("key").String(), v, x.Get("lease").Uint()))
	}
	for _, x := range b.Get("remove").Array() {
		w = append(w, bulrushlug.RemoveWrite(x.String()))
	}
	return s.table.Commit(c, on, w)
}

// code returns the status of an answer.
func code(err error) int {
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

// backend stands in for one backend server: it sends events with pauses and notes what it ran.
type backend struct {
	id, address string
	mu          sync.Mutex
	ran         map[string]int    // Runs by request.
	tenants     map[string]string // Organisation that came with each request.
	keys        int               // Requests that carried a key.
	pieces      int
	pause       time.Duration
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.ran[id]++
	b.tenants[id] = r.Header.Get("X-Tenant")
	if r.Header.Get("X-Api-Key") != "" {
		b.keys++
	}
	b.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Stamp", b.id+"-stamp")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= b.pieces; n++ {
		if bulrushlug.Sleep(r.Context(), b.pause) != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// serveHTTP serves h on address a until the test ends.
func serveHTTP(t *testing.T, a string, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}
