package drain

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// hookListener calls afterRead with the number of reads of its connections that returned bytes, before the server sees
// the bytes.
type hookListener struct {
	*net.TCPListener
	acceptDelay time.Duration // Before a connection leaves the queue.
	returnDelay time.Duration // After it left the queue, before the server has it.
	afterRead   func(n int)
}

func (l *hookListener) Accept() (net.Conn, error) {
	time.Sleep(l.acceptDelay)
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	time.Sleep(l.returnDelay)
	return &hookConn{TCPConn: c, afterRead: l.afterRead}, nil
}

type hookConn struct {
	*net.TCPConn
	reads     int
	afterRead func(n int)
}

func (c *hookConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.reads++
		c.afterRead(c.reads)
	}
	return n, err
}

// caller sends requests on one connection.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, a string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) send(s string) { _, _ = io.WriteString(c, s) }

// response reads one response, and returns its body and whether it closes the connection.
func (c *caller) response() (string, bool, error) {
	w, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return "", false, err
	}
	b, err := io.ReadAll(w.Body)
	return string(b), w.Close, err
}

const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

func TestShutdown(t *testing.T) {
	for name, x := range map[string]struct {
		acceptDelay time.Duration
		returnDelay time.Duration
		stopAt      int // The server stops as this read of the connection has returned; zero if run stops it.
		run         func(t *testing.T, c *caller, stop func()) (string, bool, error)
		want        string // Body of the last response; empty if the connection closes without one.
		keeps       bool   // The response, whose handler began before the stop, does not announce the close.
	}{
		"the request is read as the server stops": {stopAt: 2, want: "ok", run: func(_ *testing.T, c *caller, _ func()) (string, bool, error) {
			c.send(request)
			_, _, _ = c.response()
			time.Sleep(50 * time.Millisecond)
			c.send(request)
			return c.response()
		}},
		"the first request is read as the server stops": {stopAt: 1, want: "ok", run: func(_ *testing.T, c *caller, _ func()) (string, bool, error) {
			c.send(request)
			return c.response()
		}},
		"a new connection": {want: "ok", run: func(_ *testing.T, c *caller, stop func()) (string, bool, error) {
			time.Sleep(50 * time.Millisecond)
			stop()
			c.send(request)
			return c.response()
		}},
		"a connection in the accept queue": {acceptDelay: 200 * time.Millisecond, want: "ok", run: func(_ *testing.T, c *caller, stop func()) (string, bool, error) {
			c.send(request)
			stop()
			return c.response()
		}},
		"a connection that left the accept queue": {returnDelay: 200 * time.Millisecond, want: "ok", run: func(_ *testing.T, c *caller, stop func()) (string, bool, error) {
			c.send(request)
			time.Sleep(50 * time.Millisecond)
			stop()
			return c.response()
		}},
		"half a request": {want: "ok", run: func(_ *testing.T, c *caller, stop func()) (string, bool, error) {
			c.send(request)
			_, _, _ = c.response()
			c.send(request[:20])
			time.Sleep(50 * time.Millisecond)
			stop()
			c.send(request[20:])
			return c.response()
		}},
		"a request in progress": {want: "slow", keeps: true, run: func(_ *testing.T, c *caller, stop func()) (string, bool, error) {
			c.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			stop()
			return c.response()
		}},
		"an idle connection": {run: func(_ *testing.T, c *caller, stop func()) (string, bool, error) {
			c.send(request)
			_, _, _ = c.response()
			time.Sleep(50 * time.Millisecond)
			stop()
			return c.response()
		}},
		"a connection without a request": {run: func(_ *testing.T, c *caller, stop func()) (string, bool, error) {
			stop()
			return c.response()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			m := http.NewServeMux()
			m.HandleFunc("/x", func(w http.ResponseWriter, r *http.Request) {
				if r.Context().Err() == nil {
					_, _ = io.WriteString(w, "ok")
				}
			})
			m.HandleFunc("/slow", func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(300 * time.Millisecond):
					_, _ = io.WriteString(w, "slow")
				case <-r.Context().Done():
				}
			})
			ended := make(chan error, 2)
			var s *Server
			stop := func() {
				go func() { ended <- s.Shutdown(t.Context()) }()
				time.Sleep(50 * time.Millisecond)
			}
			h := &hookListener{TCPListener: l.(*net.TCPListener), acceptDelay: x.acceptDelay, returnDelay: x.returnDelay, afterRead: func(n int) {
				if n == x.stopAt {
					stop()
				}
			}}
			s = New(&http.Server{Handler: m, IdleTimeout: 10 * time.Second}, h)
			go func() { ended <- s.Serve() }()
			c := dial(t, l.Addr().String())
			got, closes, err := x.run(t, c, stop)
			if got != x.want || x.want != "" && closes == x.keeps || x.want == "" && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("response %q, closes %v, error %v", got, closes, err)
			}
			for range 2 {
				select {
				case err := <-ended:
					if err != nil && !errors.Is(err, http.ErrServerClosed) {
						t.Errorf("the server ended with %v", err)
					}
				case <-time.After(5 * time.Second):
					t.Fatal("the server does not end")
				}
			}
		})
	}
}

// TestShutdownTimeout has a request that does not end.
func TestShutdownTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}, l)
	go func() { _ = s.Serve() }()
	c := dial(t, l.Addr().String())
	c.send(request)
	x, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	if err := s.Shutdown(x); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Shutdown returned %v", err)
	}
	if _, _, err := c.response(); err == nil {
		t.Error("the open request got a response")
	}
}

// TestQueueCutAtTimeout has a connection that is not accepted before the timeout.
func TestQueueCutAtTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &hookListener{TCPListener: l.(*net.TCPListener), acceptDelay: 300 * time.Millisecond}
	s := New(&http.Server{}, h)
	c := dial(t, l.Addr().String())
	c.send(request)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	x, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	if err := s.Shutdown(x); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Shutdown returned %v", err)
	}
	if _, _, err := c.response(); err == nil {
		t.Error("the connection got a response")
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("Serve returned %v", err)
	}
}

// TestEndlessConnections has connections come faster than they are accepted, without an end: the shutdown ends by itself, and the
// requests that came before it are answered.
func TestEndlessConnections(t *testing.T) {
	const pause = 10 * time.Millisecond
	for name, x := range map[string]struct {
		sent string // What each connection of the crowd sends.
		path string // Of the request that came before.
		want string
	}{
		"nothing is sent":        {path: "/x", want: "ok"},
		"half requests":          {sent: request[:20], path: "/x", want: "ok"},
		"requests":               {sent: request, path: "/x", want: "ok"},
		"one request is running": {path: "/slow", want: "slow"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			h := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(50 * pause)
					_, _ = io.WriteString(w, "slow")
					return
				}
				_, _ = io.WriteString(w, "ok")
			})}
			s := New(h, &hookListener{TCPListener: l.(*net.TCPListener), acceptDelay: pause, afterRead: func(int) {}})
			go func() { _ = s.Serve() }()
			c := dial(t, l.Addr().String())
			c.send(strings.Replace(request, "/x", x.path, 1))
			var crowd, request sync.WaitGroup
			request.Go(func() {
				if b, _, err := c.response(); b != x.want || err != nil {
					t.Errorf("response %q, %v, want %q", b, err, x.want)
				}
			})
			ended := make(chan bool)
			crowd.Go(func() {
				var open []net.Conn
				for {
					select {
					case <-ended:
						for _, n := range open {
							_ = n.Close()
						}
						return
					case <-time.After(pause / 4):
					}
					if n, err := net.DialTimeout("tcp", l.Addr().String(), time.Second); err == nil {
						_, _ = io.WriteString(n, x.sent)
						open = append(open, n)
					}
				}
			})
			time.Sleep(20 * pause)
			d, stop := context.WithTimeout(t.Context(), 15*time.Second)
			defer stop()
			if err := s.Shutdown(d); err != nil {
				t.Errorf("Shutdown returned %v", err)
			}
			close(ended)
			crowd.Wait()
			request.Wait()
		})
	}
}

// TestShutdownBeforeServe stops a server whose goroutine has not reached Serve yet.
func TestShutdownBeforeServe(t *testing.T) {
	for name, x := range map[string]struct {
		queued bool // A request waits in the accept queue.
	}{
		"a connection in the accept queue": {queued: true},
		"no connection":                    {},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}, l)
			var c *caller
			if x.queued {
				c = dial(t, l.Addr().String())
				c.send(request)
			}
			ended := make(chan error, 1)
			go func() { ended <- s.Shutdown(t.Context()) }()
			select {
			case err := <-ended:
				t.Fatalf("Shutdown returned %v before Serve", err)
			case <-time.After(50 * time.Millisecond):
			}
			served := make(chan error, 1)
			go func() { served <- s.Serve() }()
			if x.queued {
				if got, closes, err := c.response(); got != "ok" || !closes || err != nil {
					t.Errorf("response %q, closes %v, error %v", got, closes, err)
				}
			}
			for what, e := range map[string]struct {
				got  chan error
				want error
			}{"Shutdown": {ended, nil}, "Serve": {served, http.ErrServerClosed}} {
				select {
				case err := <-e.got:
					if !errors.Is(err, e.want) {
						t.Errorf("%s returned %v, want %v", what, err, e.want)
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("%s does not return", what)
				}
			}
		})
	}
}

// TestStopsUnderLoad stops a server many times while callers send requests on kept connections: each request that the
// handler saw gets its response.
func TestStopsUnderLoad(t *testing.T) {
	const stops, callers = 300, 8
	x, stop := context.WithTimeout(t.Context(), 2*time.Minute)
	defer stop()
	for range stops {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var seen, answered, failed sync.Map
		s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen.Store(r.URL.Path, true)
			_, _ = io.WriteString(w, r.URL.Path)
		})}, l)
		go func() { _ = s.Serve() }()
		var w sync.WaitGroup
		for i := range callers {
			c := dial(t, l.Addr().String())
			// A deadline that passes as the process gets no processor looks like a cut; all callers end with the server.
			_ = c.SetDeadline(time.Time{})
			w.Go(func() {
				for n := 0; ; n++ {
					id := fmt.Sprintf("/%d-%d", i, n)
					c.send("GET " + id + " HTTP/1.1\r\nHost: h\r\n\r\n")
					got, closes, err := c.response()
					if err != nil {
						failed.Store(id, err)
						return
					}
					if got != id {
						t.Errorf("response %q to %q", got, id)
					}
					answered.Store(id, true)
					if closes {
						return
					}
					time.Sleep(rand.N(500 * time.Microsecond))
				}
			})
		}
		time.Sleep(rand.N(4 * time.Millisecond))
		if err := s.Shutdown(x); err != nil {
			t.Fatal(err)
		}
		w.Wait()
		seen.Range(func(id, _ any) bool {
			if _, ok := answered.Load(id); !ok {
				err, _ := failed.Load(id)
				t.Errorf("request %s reached the handler and got no response: %v", id, err)
			}
			return true
		})
	}
}
