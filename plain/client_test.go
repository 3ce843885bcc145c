package plain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// caller records what it receives.
type caller struct {
	status int
	data   strings.Builder
}

func (k *caller) Head(n int, _ string) error {
	k.status = n
	return nil
}

func (k *caller) Write(p []byte) error {
	_, err := k.data.Write(p)
	return err
}

// serve accepts connections and calls f for each.
func serve(t *testing.T, f func(c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer func() { _ = c.Close() }()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestLateDuplicate has a service that, before each answer but the first on a connection, writes the one before again.
func TestLateDuplicate(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			p := New(serve(t, func(c net.Conn, in *bufio.Reader) {
				last := ""
				for q, err := http.ReadRequest(in); err == nil; q, err = http.ReadRequest(in) {
					b, _ := io.ReadAll(q.Body)
					next := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
					_, _ = io.WriteString(c, last+next)
					last = next
				}
			}))
			for _, body := range []string{"a", "b", "c"} {
				k := &caller{}
				r := bulrushlug.NewRequest(body, bulrushlug.WithCall(http.MethodPost, "/x", "text/plain", []byte(body)), bulrushlug.WithIdempotent(idempotent))
				if err := p.Run(t.Context(), r, k); err != nil || k.data.String() != body {
					t.Errorf("request %q got %q, %v", body, k.data.String(), err)
				}
				time.Sleep(20 * time.Millisecond) // Lets the connection become idle.
			}
		})
	}
}

// TestResponseEnds has responses that end in several ways.
func TestResponseEnds(t *testing.T) {
	for name, x := range map[string]struct {
		response string
		want     string
		kind     bulrushlug.Kind
		ok       bool
	}{
		"a length":                   {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: "ok", ok: true},
		"a short length":             {response: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", want: "ok", kind: bulrushlug.KindBroken},
		"chunks":                     {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: "ok", ok: true},
		"chunks without their end":   {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", want: "ok", kind: bulrushlug.KindBroken},
		"neither":                    {response: "HTTP/1.1 200 OK\r\n\r\nok", want: "ok", ok: true},
		"neither, reset":             {response: "HTTP/1.1 200 OK\r\n\r\nokRESET", want: "ok", kind: bulrushlug.KindBroken},
		"a redirect":                 {response: "HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n", ok: true},
		"bytes that are no response": {response: "failed\r\n\r\n", kind: bulrushlug.KindUncertain},
		"no response":                {kind: bulrushlug.KindUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := New(serve(t, func(c net.Conn, in *bufio.Reader) {
				q, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, q.Body)
				b, reset := strings.CutSuffix(x.response, "RESET")
				_, _ = io.WriteString(c, b)
				if reset {
					time.Sleep(50 * time.Millisecond) // Lets the bytes be read: a reset discards those that are not.
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}))
			k := &caller{}
			r := bulrushlug.NewRequest("r", bulrushlug.WithCall(http.MethodPost, "/x", "text/plain", []byte("b")))
			err := p.Run(t.Context(), r, k)
			if (err == nil) != x.ok || err != nil && bulrushlug.KindOf(err) != x.kind || k.data.String() != x.want {
				t.Errorf("%v, the caller got %d and %q", err, k.status, k.data.String())
			}
		})
	}
}
