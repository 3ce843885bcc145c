package guard

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
)

// TestHTTP has handlers panic; the server answers the next request.
func TestHTTP(t *testing.T) {
	for name, x := range map[string]struct {
		handler http.HandlerFunc
		status  int // Zero if the response breaks off.
		lines   int
	}{
		"no panic": {status: 200, handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
			_ = http.NewResponseController(w).Flush()
		}},
		"before the response": {status: 500, lines: 1, handler: func(http.ResponseWriter, *http.Request) { panic("no route") }},
		"within the response": {lines: 1, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic("no more")
		}},
		"a response that is broken off": {handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := &bytes.Buffer{}
			m := http.NewServeMux()
			m.Handle("/", New(log.NewLogfmtLogger(log.NewSyncWriter(b))).HTTP(x.handler))
			m.HandleFunc("/next", func(http.ResponseWriter, *http.Request) {})
			s := httptest.NewServer(m)
			defer s.Close()
			r, err := s.Client().Get(s.URL + "/")
			if err == nil {
				_, err = io.ReadAll(r.Body)
				_ = r.Body.Close()
			}
			if (err == nil) != (x.status > 0) || err == nil && r.StatusCode != x.status {
				t.Errorf("response %v, error %v", r, err)
			}
			n, err := s.Client().Get(s.URL + "/next")
			if err != nil || n.StatusCode != http.StatusOK {
				t.Errorf("the next request: %v, error %v", n, err)
			}
			s.Close()
			if got := strings.Count(b.String(), "event=panic"); got != x.lines {
				t.Errorf("%d lines: %s", got, b)
			}
		})
	}
}
