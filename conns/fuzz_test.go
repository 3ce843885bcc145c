package conns

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// canned is a connection whose peer sent in.
type canned struct {
	net.Conn
	in *strings.Reader
}

func (c canned) Read(p []byte) (int, error)    { return c.in.Read(p) }
func (canned) Write(p []byte) (int, error)     { return len(p), nil }
func (canned) Close() error                    { return nil }
func (canned) SetDeadline(time.Time) error     { return nil }
func (canned) SetReadDeadline(time.Time) error { return nil }

// FuzzExchange has a server send arbitrary bytes on a new connection and on one that was used before.
func FuzzExchange(f *testing.F) {
	f.Add(encodeResponse("a", "", "to a"), true)
	f.Add(encodeResponse("z", "", "to z")+chunked("a", "to a"), true)
	f.Add("HTTP/1.1 103 Early Hints\r\n\r\n"+anonymous("", "to a")+"more", false)
	f.Add("HTTP/1.1 503 Full\r\n"+header+": a\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n", true)
	f.Fuzz(func(t *testing.T, b string, reused bool) {
		p := New(header, func() {})
		c := newConn(canned{in: strings.NewReader(b)})
		c.reused = reused
		r := &http.Request{Method: "POST", URL: &url.URL{Opaque: "/p"}, Host: "h", Header: http.Header{header: {"a"}}}
		w, err := p.exchange(c, r, []byte("body"), noHead)
		if err != nil {
			return
		}
		defer func() { _ = w.Body.Close() }()
		id := w.Header.Get(header)
		if id != "a" && (id != "" || reused) || w.StatusCode < http.StatusOK {
			t.Errorf("status %d with identifier %q", w.StatusCode, id)
		}
		n, err := io.Copy(io.Discard, w.Body)
		if n > int64(len(b)) || err == nil && w.ContentLength > 0 && n != w.ContentLength {
			t.Errorf("%d of %d bytes, %v", n, w.ContentLength, err)
		}
		if reusable(c, w) && (id != "a" || c.in.Buffered() > 0 || time.Until(c.expires) <= 0) {
			t.Errorf("the connection is used again after %q", b)
		}
	})
}
