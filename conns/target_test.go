package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// TestPathIsUnchanged guards against a request that reaches its server with another path than its caller sent.
func TestPathIsUnchanged(t *testing.T) {
	for name, path := range map[string]string{
		"plain":                       "/a/x",
		"one slash":                   "/",
		"a query":                     "/a/x?y=%20&z=1",
		"an empty query":              "/a/x?",
		"two slashes":                 "//a/x",
		"two slashes and a query":     "//a/x?y=//b",
		"three slashes":               "///a",
		"only slashes":                "//",
		"two slashes, escaped slash":  "//a%2Fb/c",
		"two slashes, a colon":        "//a:b/c",
		"two slashes, a user":         "//u@h/c",
		"two slashes, escaped letter": "//%61",
		"two slashes, semicolon":      "//a;b",
		"slashes within":              "/a//b",
		"two slashes, empty query":    "//a?",
		"two slashes, special bytes":  "//a'(b)*!,$&+=|^{}",
	} {
		t.Run(name, func(t *testing.T) {
			lines := make(chan string, 2)
			a := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				l, err := r.ReadString('\n')
				if err != nil {
					return
				}
				lines <- l
				id := request(bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\n"), r)))
				_, _ = io.WriteString(c, encodeResponse(id, "Connection: close\r\n", "ok"))
			})
			c, stop := context.WithTimeout(t.Context(), 2*time.Second)
			defer stop()
			w, err := New(header, func() {}).Send(c, a, &http.Request{Method: "POST", URL: &url.URL{Opaque: path}, Host: "h", Header: http.Header{header: {"a"}}}, []byte("body"), noHead)
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(w.Body)
			if got := <-lines; got != "POST "+path+" HTTP/1.1\r\n" || err != nil || string(b) != "ok" {
				t.Errorf("the server gets %q; response %q, %v", got, b, err)
			}
		})
	}
}
