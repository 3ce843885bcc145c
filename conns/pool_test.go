package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const header = "X-Id"

// serve accepts connections and calls f with the number of each.
func serve(t *testing.T, f func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// encodeResponse returns a complete response to request id; headers are further header lines.
func encodeResponse(id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", header, id, headers, len(body), body)
}

// request reads one request and returns its identifier.
func request(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get(header)
}

func noHead(*http.Response, bool) {}

// send sends request id and returns the body of the response.
func send(p *Pool, a, id string) (string, error) { return sendObserved(p, a, id, noHead) }

// sendObserved sends request id, calls onHead with the heads of the responses, and returns the body of the response. A
// connect that takes longer than dialTimeout, as the test's server gets no processor, is repeated.
func sendObserved(p *Pool, a, id string, onHead func(w *http.Response, stale bool)) (string, error) {
	for end := time.Now().Add(20 * time.Second); ; {
		b, err := sendOnce(p, a, id, onHead)
		var o *net.OpError
		if !errors.As(err, &o) || o.Op != "dial" || !o.Timeout() || time.Now().After(end) {
			return b, err
		}
	}
}

// sendOnce is sendObserved without a repetition.
func sendOnce(p *Pool, a, id string, onHead func(w *http.Response, stale bool)) (string, error) {
	c, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	w, err := p.Send(c, a, &http.Request{Method: "POST", URL: &url.URL{Opaque: "/p"}, Host: "h", Header: http.Header{header: {id}}}, []byte("body"), onHead)
	if err != nil {
		return "", err
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	return string(b), err
}

func identified(id, body string) string { return encodeResponse(id, "", body) }

func anonymous(_, body string) string {
	return strings.Replace(encodeResponse("", "", body), header+": \r\n", "", 1)
}

func chunked(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", header, id, len(body), body)
}

// lateDuplicate returns a server that encodes its responses by encode, and before each but the first sends the last one
// again, by again.
func lateDuplicate(again, encode func(id, body string) string) func(n int, c net.Conn, r *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		last := ""
		for id := request(r); id != ""; id = request(r) {
			if last != "" {
				_, _ = io.WriteString(c, again(last, "again to "+last))
			}
			_, _ = io.WriteString(c, encode(id, "to "+id))
			last = id
		}
	}
}

func TestAnswers(t *testing.T) {
	done := make(chan bool, 3) // A value for each response after which the server did more.
	for name, x := range map[string]struct {
		serve func(n int, c net.Conn, r *bufio.Reader)
		want  []string // Bodies of the responses to requests a, b and c; empty for an error.
		conns int64    // Connections made; zero for any number.
		more  bool     // The server does more after each response; the next request waits for that.
	}{
		"reused connection": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			for id := request(r); id != ""; id = request(r) {
				_, _ = io.WriteString(c, encodeResponse(id, "", "to "+id))
			}
		}, want: []string{"to a", "to b", "to c"}, conns: 1},
		"a duplicate response at once": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			for id := request(r); id != ""; id = request(r) {
				_, _ = io.WriteString(c, encodeResponse(id, "", "to "+id)+encodeResponse(id, "", "again to "+id))
			}
		}, want: []string{"to a", "to b", "to c"}},
		"a late duplicate response":                          {serve: lateDuplicate(identified, identified), want: []string{"to a", "to b", "to c"}, conns: 1},
		"a late duplicate response without an identifier":    {serve: lateDuplicate(anonymous, anonymous), want: []string{"to a", "to b", "to c"}, conns: 3},
		"a late duplicate response that lost its identifier": {serve: lateDuplicate(anonymous, identified), want: []string{"to a", "to b", "to c"}, conns: 1},
		"a late duplicate response in chunks":                {serve: lateDuplicate(chunked, chunked), want: []string{"to a", "to b", "to c"}, conns: 1},
		"bytes after the response": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			for id := request(r); id != ""; id = request(r) {
				_, _ = io.WriteString(c, encodeResponse(id, "", "to "+id))
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(c, "more bytes")
				done <- true
			}
		}, want: []string{"to a", "to b", "to c"}, conns: 3, more: true},
		"only stale responses": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			request(r)
			for range 5 {
				_, _ = io.WriteString(c, encodeResponse("z", "", "to z"))
			}
		}, want: []string{"", "", ""}},
		"malformed response": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			request(r)
			_, _ = io.WriteString(c, "\x00\x01 garbage\r\n\r\n")
		}, want: []string{"", "", ""}},
		"a truncated response": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			id := request(r)
			_, _ = io.WriteString(c, strings.TrimSuffix(encodeResponse(id, "", "to "+id), "a"))
		}, want: []string{"", "to b", "to c"}},
		"a close without a response": {serve: func(n int, c net.Conn, r *bufio.Reader) {
			if id := request(r); n > 0 {
				_, _ = io.WriteString(c, encodeResponse(id, "", "to "+id))
			}
		}, want: []string{"", "to b", "to c"}},
		"a close after each response": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			id := request(r)
			_, _ = io.WriteString(c, encodeResponse(id, "Connection: close\r\n", "to "+id))
		}, want: []string{"to a", "to b", "to c"}, conns: 3},
		"an unannounced close": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			id := request(r)
			_, _ = io.WriteString(c, encodeResponse(id, "", "to "+id))
			_ = c.Close()
			done <- true
		}, want: []string{"to a", "to b", "to c"}, conns: 3, more: true},
		"a response without a length": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			id := request(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+": "+id+"\r\n\r\nto "+id)
		}, want: []string{"to a", "to b", "to c"}, conns: 3},
		"an expired idle time": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			for id := request(r); id != ""; id = request(r) {
				_, _ = io.WriteString(c, encodeResponse(id, "Keep-Alive: timeout=0\r\n", "to "+id))
			}
		}, want: []string{"to a", "to b", "to c"}, conns: 3},
		"a response before the body was read": {serve: func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				id := q.Header.Get(header)
				_, _ = io.WriteString(c, encodeResponse(id, "", "to "+id))
				b, _ := io.ReadAll(q.Body)
				if string(b) != "body" {
					t.Errorf("the body is %q", b)
				}
			}
		}, want: []string{"to a", "to b", "to c"}},
	} {
		t.Run(name, func(t *testing.T) {
			var made atomic.Int64
			p := New(header, func() { made.Add(1) })
			a := serve(t, x.serve)
			for i, id := range []string{"a", "b", "c"} {
				got, err := send(p, a, id)
				if err != nil {
					got = ""
				}
				if got != x.want[i] && (err == nil || x.want[i] != "") {
					t.Errorf("request %s: response %q, %v", id, got, err)
				}
				if x.more {
					select {
					case <-done:
					case <-time.After(20 * time.Second):
						t.Fatal("the server does no more")
					}
				}
				time.Sleep(20 * time.Millisecond) // Lets late bytes and closes arrive.
			}
			if x.conns > 0 && made.Load() != x.conns {
				t.Errorf("%d connections were made", made.Load())
			}
		})
	}
}

// endless writes s until the connection closes, and reports the number of bytes.
func endless(c net.Conn, first, s string, written chan<- int) {
	n, err := io.WriteString(c, first)
	s = strings.Repeat(s, 1+(16<<10)/len(s))
	for err == nil {
		var m int
		m, err = io.WriteString(c, s)
		n += m
	}
	written <- n
}

// TestEndless has servers that send bytes without end; the caller reads a bounded part of them.
func TestEndless(t *testing.T) {
	const maxTaken = 16 << 20 // Bytes that a server can send, most of them into the buffers of the kernel.
	for name, x := range map[string]struct{ first, more string }{
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"one header line":     {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
		"a status line":       {"HTTP/1.1 200 ", "a"},
		"no line end":         {"", "\x00"},
		"a continued line":    {"HTTP/1.1 200 OK\r\nX-A: b\r\n", " b\r\n"},
		"interim responses":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk extensions":    {"HTTP/1.1 200 OK\r\n" + header + ": a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
		"a chunk size":        {"HTTP/1.1 200 OK\r\n" + header + ": a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailers":            {"HTTP/1.1 200 OK\r\n" + header + ": a\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n0\r\n", "X-A: b\r\n"},
		"a body past its end": {"HTTP/1.1 200 OK\r\n" + header + ": a\r\nContent-Length: 2\r\n\r\nok", "more"},
		"stale responses":     {"", encodeResponse("z", "", "to z")},
		"a stale body":        {"HTTP/1.1 200 OK\r\n" + header + ": z\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			written := make(chan int, 1)
			a := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				request(r)
				endless(c, x.first, x.more, written)
			})
			b, err := send(New(header, func() {}), a, "a")
			if err == nil && b != "ok" || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("response %q, %v", b, err)
			}
			select {
			case n := <-written:
				if n > maxTaken {
					t.Errorf("the server sent %d bytes", n)
				}
			case <-time.After(defaultIdleTime):
				t.Error("the connection is still open")
			}
		})
	}
}

func TestErrorKinds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := l.Addr().String()
	_ = l.Close()
	for name, x := range map[string]struct {
		address string
		kind    bulrushlug.Kind
	}{
		"connection refused: not sent": {address: unused, kind: bulrushlug.KindUnplaceable},
		"reset after the request":      {address: serve(t, func(_ int, c net.Conn, r *bufio.Reader) { request(r); _ = c.(*net.TCPConn).SetLinger(0) }), kind: bulrushlug.KindUncertain},
		"closed before the request":    {address: serve(t, func(_ int, c net.Conn, _ *bufio.Reader) { _ = c.Close() }), kind: bulrushlug.KindUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := send(New(header, func() {}), x.address, "a")
			if err == nil || bulrushlug.KindOf(err) != x.kind {
				t.Errorf("Send returned %v", err)
			}
		})
	}
}

func TestCancel(t *testing.T) {
	serverErr := make(chan error, 1)
	a := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := request(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+": "+id+"\r\nContent-Length: 10\r\n\r\nhalf")
		_, err := r.ReadByte()
		serverErr <- err
	})
	c, stop := context.WithCancel(context.Background())
	w, err := New(header, func() {}).Send(c, a, &http.Request{Method: "POST", URL: &url.URL{Opaque: "/p"}, Host: "h", Header: http.Header{header: {"a"}}}, nil, noHead)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, stop)
	if _, err := io.ReadAll(w.Body); err == nil {
		t.Error("a cancelled response was read to its end")
	}
	_ = w.Body.Close()
	select {
	case err := <-serverErr:
		if !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
			t.Errorf("the server read %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection to the server is still open")
	}
}

// TestRefuses asks at addresses whether their processes have ended.
func TestRefuses(t *testing.T) {
	open := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	for name, x := range map[string]struct {
		c       context.Context
		address string
		want    bool
		dials   int64
	}{
		"accepts":      {c: t.Context(), address: open, dials: 1},
		"ended":        {c: t.Context(), address: ended, want: true},
		"not answered": {c: cancelled, address: ended},
	} {
		t.Run(name, func(t *testing.T) {
			var dials atomic.Int64
			p := New(header, func() { dials.Add(1) })
			if got := p.Refuses(x.c, x.address); got != x.want || dials.Load() != x.dials {
				t.Errorf("refuses: %v, %d connections", got, dials.Load())
			}
		})
	}
}

// TestRefusalWrittenAgain has a server that writes its refusals of requests again before each later answer on the same
// connection. Every request that is sent again has to get the answer to its last run.
func TestRefusalWrittenAgain(t *testing.T) {
	for name, x := range map[string]struct {
		header string // Header line with the identifier of the refusal that is written again, with a %s for it.
		status int    // Status of the refusal.
		ids    []string
		want   []string
		conns  int64 // Connections made.
	}{
		"the same request":                   {header: header + ": %s\r\n", status: 503, ids: []string{"a", "a"}, want: []string{"refused", "to a"}, conns: 2},
		"the same request later":             {header: header + ": %s\r\n", status: 503, ids: []string{"a", "b", "a"}, want: []string{"refused", "to b", "to a"}, conns: 2},
		"after a failure":                    {header: header + ": %s\r\n", status: 500, ids: []string{"a", "b", "a", "b"}, want: []string{"refused", "to b", "to a", "to b"}, conns: 2},
		"another request":                    {header: header + ": %s\r\n", status: 503, ids: []string{"a", "b", "c"}, want: []string{"refused", "to b", "to c"}, conns: 1},
		"without its identifier":             {status: 503, ids: []string{"a", "b", "c"}, want: []string{"refused", "to b", "to c"}, conns: 1},
		"to a request without an identifier": {status: 503, ids: []string{"a", ""}, want: []string{"refused", "to "}, conns: 2},
		"a request that moved":               {header: header + ": %s\r\n", status: 421, ids: []string{"a", "a"}, want: []string{"refused", "to a"}, conns: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var made atomic.Int64
			p := New(header, func() { made.Add(1) })
			refused := make(chan bool, 1) // Holds a token once the first request was refused.
			a := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				again := ""
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					id := q.Header.Get(header)
					select {
					case refused <- true:
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %d No\r\n%s: %s\r\nContent-Length: 7\r\n\r\nrefused", x.status, header, id)
						again = fmt.Sprintf("HTTP/1.1 %d No\r\n%sContent-Length: 5\r\n\r\nagain", x.status, strings.ReplaceAll(x.header, "%s", id))
					default:
						_, _ = io.WriteString(c, again+encodeResponse(id, "", "to "+id))
					}
				}
			})
			for i, id := range x.ids {
				if got, err := send(p, a, id); err != nil || got != x.want[i] {
					t.Errorf("request %d, %q: response %q, %v", i+1, id, got, err)
				}
			}
			if made.Load() != x.conns {
				t.Errorf("%d connections were made", made.Load())
			}
		})
	}
}

// TestManyRefusals has a server that refuses every request: what a connection remembers of them is bounded.
func TestManyRefusals(t *testing.T) {
	var made atomic.Int64
	p := New(header, func() { made.Add(1) })
	a := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := request(r); id != ""; id = request(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 No\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", header, id)
		}
	})
	for i := range 3 * maxRefused {
		if got, err := send(p, a, fmt.Sprint(i)); err != nil || got != "no" {
			t.Fatalf("response %q, %v", got, err)
		}
	}
	if n := made.Load(); n != 3 {
		t.Errorf("%d connections were made", n)
	}
}

// TestConnectionToLeavingServerIsKept guards against idle connections that stay open after CloseIdle, and against
// connections that are used again although the head of a response ended them.
func TestConnectionToLeavingServerIsKept(t *testing.T) {
	for name, x := range map[string]struct {
		serve func(n int, c net.Conn, r *bufio.Reader)
		last  func(w *http.Response, stale bool) bool // The head of the second response ends its connection.
		idle  bool                                    // CloseIdle is called after the second response.
		other bool                                    // It is called for another address.
		inUse bool                                    // CloseIdle is called before the body of the second response is read.
		conns int64
	}{
		"kept":                   {serve: lateDuplicate(identified, identified), conns: 1},
		"closed while idle":      {serve: lateDuplicate(identified, identified), idle: true, conns: 2},
		"closed while in use":    {serve: lateDuplicate(identified, identified), inUse: true, conns: 2},
		"of another address":     {serve: lateDuplicate(identified, identified), idle: true, other: true, conns: 1},
		"ended by its response":  {serve: lateDuplicate(identified, identified), last: func(_ *http.Response, stale bool) bool { return !stale }, conns: 2},
		"ended by a stale one":   {serve: lateDuplicate(identified, identified), last: func(_ *http.Response, stale bool) bool { return stale }, conns: 2},
		"ended by an anonymous":  {serve: lateDuplicate(anonymous, identified), last: func(w *http.Response, _ bool) bool { return w.Header.Get(header) == "" }, conns: 2},
		"no condition is met":    {serve: lateDuplicate(identified, identified), last: func(*http.Response, bool) bool { return false }, conns: 1},
		"closed twice, one idle": {serve: lateDuplicate(identified, identified), idle: true, last: func(_ *http.Response, stale bool) bool { return !stale }, conns: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var made atomic.Int64
			p := New(header, func() { made.Add(1) })
			a := serve(t, x.serve)
			for i, id := range []string{"a", "b", "c"} {
				onHead := noHead
				if i == 1 && x.last != nil {
					onHead = func(w *http.Response, stale bool) { w.Close = x.last(w, stale) }
				}
				if i == 1 && x.inUse {
					onHead = func(*http.Response, bool) { p.CloseIdle(a) }
				}
				if got, err := sendObserved(p, a, id, onHead); got != "to "+id {
					t.Errorf("request %s: response %q, %v", id, got, err)
				}
				if i == 1 && x.idle {
					if x.other {
						p.CloseIdle("127.0.0.1:1")
					} else {
						p.CloseIdle(a)
					}
				}
			}
			if made.Load() != x.conns {
				t.Errorf("%d connections were made", made.Load())
			}
		})
	}
}
