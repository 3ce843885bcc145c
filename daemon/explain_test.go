package daemon

import (
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
)

func TestExplain(t *testing.T) {
	s := newSystem(t, 1, 1, 2)
	s.waitUntil("the entry knows the data process", func() bool { return len(s.entries[0].daemon.membership.LiveDataPeers()) == 1 })
	for name, x := range map[string]struct {
		host, path string
		data       bool // The data process is asked.
		status     int
		want       []string
	}{
		"a request":        {host: "h.example", path: "/ask/x", status: 200, want: []string{"route ask, service s", "b0", "b1", "lowestScore"}},
		"a request's port": {host: "h.example:80", path: "/ask/x", status: 200, want: []string{"lowestScore"}},
		"a lot":            {host: "h.example", path: "/in/x", status: 200, want: []string{"LOT GOES TO", "d0", "route lots"}},
		"a data process":   {host: "h.example", path: "/in/x", data: true, status: 200, want: []string{"lots come to entries"}},
		"no route":         {host: "h.example", path: "/none", status: 404},
	} {
		t.Run(name, func(t *testing.T) {
			p := s.entries[0]
			if x.data {
				p = s.data[0]
			}
			w := httptest.NewRecorder()
			p.daemon.serveExplanation(w, httptest.NewRequest("GET", "/explain?"+url.Values{"host": {x.host}, "path": {x.path}}.Encode(), nil))
			if w.Code != x.status {
				t.Errorf("status %d, want %d", w.Code, x.status)
			}
			for _, n := range x.want {
				if !strings.Contains(w.Body.String(), n) {
					t.Errorf("no %q in\n%s", n, w.Body)
				}
			}
		})
	}
	for _, b := range s.backends {
		b.mu.Lock()
		if len(b.ran) > 0 {
			t.Errorf("server %s ran %v", b.id, b.ran)
		}
		b.mu.Unlock()
	}
}
