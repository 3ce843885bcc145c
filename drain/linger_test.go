package drain

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// bufferListener gives its connections a send buffer that holds a whole response.
type bufferListener struct{ *net.TCPListener }

func (l bufferListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return c, c.SetWriteBuffer(4 << 20)
}

// TestCallerGoesOnWriting has a caller send bytes that the server never reads while the last response of the connection is
// on its way: the response arrives whole.
func TestCallerGoesOnWriting(t *testing.T) {
	const size = 256 << 10
	for name, x := range map[string]struct {
		before string // Sent while the request is handled.
		after  bool   // More is sent while the response is read.
		leaves bool   // The server leaves while the request is handled; otherwise the request asks for the close.
	}{
		"nothing":                       {leaves: true},
		"the next request":              {before: request, leaves: true},
		"the next request, later":       {after: true, leaves: true},
		"many requests":                 {before: strings.Repeat(request, 1000), after: true, leaves: true},
		"after a request for the close": {before: request, after: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			began, goOn := make(chan bool), make(chan bool)
			s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				began <- true
				<-goOn
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			})}, bufferListener{l.(*net.TCPListener)})
			go func() { _ = s.Serve() }()
			c := dial(t, l.Addr().String())
			if err := c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				t.Fatal(err)
			}
			if x.leaves {
				s.Leave()
				c.send(request)
			} else {
				c.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			}
			<-began
			c.send(x.before)
			time.Sleep(50 * time.Millisecond)
			goOn <- true
			ended := make(chan error, 1)
			go func() { ended <- s.Shutdown(t.Context()) }()
			time.Sleep(100 * time.Millisecond)
			if x.after {
				c.send(request)
				time.Sleep(50 * time.Millisecond)
			}
			if err := c.Conn.(*net.TCPConn).SetReadBuffer(1 << 20); err != nil {
				t.Fatal(err)
			}
			got, closes, err := c.response()
			if len(got) != size || !closes || err != nil {
				t.Errorf("%d of %d bytes, closes %v, error %v", len(got), size, closes, err)
			}
			_ = c.Close()
			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("Shutdown returned %v", err)
				}
			case <-time.After(5 * time.Second):
				t.Error("the server does not end")
			}
		})
	}
}
