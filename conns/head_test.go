package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// heads are heads of successful responses to request %s, by their framing; the body is "whole".
var heads = map[string]string{
	"with a length":      "HTTP/1.1 200 OK\r\n" + header + ": %s\r\nContent-Length: 5\r\n\r\n",
	"a longer length":    "HTTP/1.1 200 OK\r\nContent-Length: 0005\r\n" + header + ": %s\r\nKeep-Alive: timeout=5\r\n\r\n",
	"length first":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + header + ": %s\r\n\r\n",
	"in chunks":          "HTTP/1.1 200 OK\r\n" + header + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"until it closes":    "HTTP/1.1 200 OK\r\n" + header + ": %s\r\nConnection: close\r\n\r\n",
	"an older protocol":  "HTTP/1.0 200 OK\r\n" + header + ": %s\r\n\r\n",
	"after an interim":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + header + ": %s\r\nContent-Length: 5\r\n\r\n",
	"bare line feeds":    "HTTP/1.1 200 OK\n" + header + ": %s\nContent-Length: 5\n\n",
	"a continued line":   "HTTP/1.1 200 OK\r\n" + header + ": %s\r\nX-A: b\r\n c\r\nContent-Length: 5\r\n\r\n",
	"an empty last line": "HTTP/1.1 200 OK\r\n" + header + ": %s\r\nX-A:\r\n\r\n",
	"no content":         "HTTP/1.1 204 No Content\r\n" + header + ": %s\r\n\r\n",
}

// TestHeadBreaksOff guards against a response that looks whole although its server closed the connection within its head:
// each head is cut at every byte, on a new connection and on one that was used before.
func TestHeadBreaksOff(t *testing.T) {
	for name, h := range heads {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", used ", used), func(t *testing.T) {
				t.Parallel()
				whole := fmt.Sprintf(h, "a")
				for cut := range len(whole) {
					a := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
						if id := request(r); used && id == "z" {
							_, _ = io.WriteString(c, encodeResponse(id, "", "to z"))
							request(r)
						}
						_, _ = io.WriteString(c, whole[:cut])
					})
					p := New(header, func() {})
					if used {
						if b, err := send(p, a, "z"); err != nil || b != "to z" {
							t.Fatalf("first response %q, %v", b, err)
						}
					}
					status := 0
					b, err := sendObserved(p, a, "a", func(w *http.Response, _ bool) { status = w.StatusCode })
					if err == nil || status != 0 {
						t.Errorf("cut after %q: status %d, body %q, error %v", whole[:cut], status, b, err)
					}
				}
			})
		}
	}
}
