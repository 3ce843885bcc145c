package engine

import (
	"net/http"
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// TestHeadBreaksOff guards against a response that looks whole although the engine closed the connection within its head:
// the head is cut at every byte.
func TestHeadBreaksOff(t *testing.T) {
	for name, head := range map[string]string{
		"a stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"a length": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(head) {
				k := &caller{}
				r := bulrushlug.NewRequest("r", bulrushlug.WithCall(http.MethodPost, "/v1/completions", "application/json", []byte("{}")))
				err := New(serve(t, head[:cut])).Run(t.Context(), r, k)
				if bulrushlug.KindOf(err) != bulrushlug.KindUncertain || k.status != 0 || k.data.Len() > 0 {
					t.Errorf("cut after %q: %v, the caller got %d and %q", head[:cut], err, k.status, k.data.String())
				}
			}
		})
	}
}

// TestLargeHead guards against an engine whose response heads take memory without bound.
func TestLargeHead(t *testing.T) {
	for name, x := range map[string]struct {
		head string
		err  bulrushlug.Kind // KindInternal for none.
	}{
		"one that fits": {head: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 32)},
		"many lines":    {head: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 1000), err: bulrushlug.KindUncertain},
		"one line":      {head: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", 1<<20) + "\r\n", err: bulrushlug.KindUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			k := &caller{}
			r := bulrushlug.NewRequest("r", bulrushlug.WithCall(http.MethodPost, "/v1/completions", "application/json", []byte("{}")))
			err := New(serve(t, x.head+"Content-Length: 2\r\n\r\nok")).Run(t.Context(), r, k)
			if bulrushlug.KindOf(err) != x.err || (err == nil) != (x.err == bulrushlug.KindInternal) || (err == nil) != (k.data.String() == "ok") {
				t.Errorf("%v, the caller got %q", err, k.data.String())
			}
		})
	}
}
