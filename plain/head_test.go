package plain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// TestHeadBreaksOff guards against a response that looks whole although the service closed the connection within its head:
// the head is cut at every byte.
func TestHeadBreaksOff(t *testing.T) {
	for name, head := range map[string]string{
		"a length":  "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(head) {
				p := New(serve(t, func(c net.Conn, in *bufio.Reader) {
					if q, err := http.ReadRequest(in); err == nil {
						_, _ = io.Copy(io.Discard, q.Body)
						_, _ = io.WriteString(c, head[:cut])
					}
				}))
				k := &caller{}
				r := bulrushlug.NewRequest("r", bulrushlug.WithCall(http.MethodPost, "/x", "text/plain", []byte("b")))
				if err := p.Run(t.Context(), r, k); bulrushlug.KindOf(err) != bulrushlug.KindUncertain || k.data.Len() > 0 {
					t.Errorf("cut after %q: %v, the caller got %q", head[:cut], err, k.data.String())
				}
			}
		})
	}
}

// TestLargeHead guards against a service whose response heads take memory without bound.
func TestLargeHead(t *testing.T) {
	for name, x := range map[string]struct {
		head string
		err  bulrushlug.Kind // KindInternal for none.
	}{
		"one that fits":      {head: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 32)},
		"many lines":         {head: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 1000), err: bulrushlug.KindUncertain},
		"one line":           {head: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", 1<<20) + "\r\n", err: bulrushlug.KindUncertain},
		"a status line":      {head: "HTTP/1.1 200 " + strings.Repeat("x", 1<<20) + "\r\n", err: bulrushlug.KindUncertain},
		"many interim heads": {head: strings.Repeat("HTTP/1.1 103 Early\r\nX-A: "+strings.Repeat("x", 1000)+"\r\n\r\n", 1000) + "HTTP/1.1 200 OK\r\n", err: bulrushlug.KindUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(serve(t, func(c net.Conn, in *bufio.Reader) {
				if q, err := http.ReadRequest(in); err == nil {
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, x.head+"Content-Length: 2\r\n\r\nok")
				}
			}))
			k := &caller{}
			err := p.Run(t.Context(), bulrushlug.NewRequest("r", bulrushlug.WithCall(http.MethodPost, "/x", "text/plain", nil)), k)
			if bulrushlug.KindOf(err) != x.err || (err == nil) != (x.err == bulrushlug.KindInternal) || (err == nil) != (k.data.String() == "ok") {
				t.Errorf("%v, the caller got %q", err, k.data.String())
			}
		})
	}
}
