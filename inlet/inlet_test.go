package inlet

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/crowd"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/pace"
)

// server is an HTTP server behind an inlet, whose handler answers with the length of the body.
type server struct {
	address string
	crowd   *crowd.Crowd
	heads   *memory.Budget
	mu      sync.Mutex
	refused map[string]int
}

// limits are those of the inlet of a test.
type limits struct {
	places, heads, headBytes int
	pace                     pace.Pace
	response                 int           // Bytes of each response, if not that of the length.
	unread                   bool          // The handler reads no body.
	idle, header             time.Duration // Times of net/http, if not the usual ones.
}

func serve(t *testing.T, x limits) *server {
	s := &server{crowd: crowd.New(x.places), heads: memory.New(x.heads), refused: map[string]int{}}
	b := bulrushlug.NewBounds(x.headBytes, 0, cmp.Or(x.header, time.Second), cmp.Or(x.idle, 5*time.Second))
	i := New(s.crowd, s.heads, func() bulrushlug.Bounds { return b }, func() pace.Pace { return x.pace }, "X-Id", func(reason string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused[reason]++
	})
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b []byte
		var err error
		if !x.unread {
			b, err = io.ReadAll(r.Body)
		}
		if err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		if x.response > 0 {
			_, _ = io.CopyN(w, zeros{}, int64(x.response))
			return
		}
		_, _ = fmt.Fprint(w, len(b))
	})}
	i.Attach(h)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	go func() { _ = h.Serve(i.Listener(l)) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func (s *server) waitRefused(t *testing.T, reason string) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		n := s.refused[reason]
		s.mu.Unlock()
		if n > 0 {
			return
		}
	}
	t.Errorf("nothing was refused as %s: %v", reason, s.refused)
}

const (
	post    = "POST / HTTP/1.1\r\nHost: h\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

// sized returns the request with a body of n bytes.
func sized(n int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, n, strings.Repeat("b", n))
}

// calm is the pace of callers that are not ended.
var calm = pace.New(10*time.Second, 10*time.Second, 100, 10*time.Second)

// TestRequests sends requests in parts of several sizes: each is answered, also if it comes together with others.
func TestRequests(t *testing.T) {
	for name, x := range map[string]struct {
		sent string
		want []string // Status and body of each response.
	}{
		"no body":                     {sent: post + "\r\n", want: []string{"200 0"}},
		"a body":                      {sent: sized(10), want: []string{"200 10"}},
		"a body of line feeds":        {sent: post + "Content-Length: 4\r\n\r\n\r\n\r\n" + sized(3), want: []string{"200 4", "200 3"}},
		"chunks":                      {sent: post + chunked + "3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n" + sized(2), want: []string{"200 4", "200 2"}},
		"trailers":                    {sent: post + chunked + "1\r\nx\r\n0\r\na: b\r\n\r\n" + sized(2), want: []string{"200 1", "200 2"}},
		"several at once":             {sent: strings.Repeat(sized(0)+sized(7), 3), want: []string{"200 0", "200 7", "200 0", "200 7", "200 0", "200 7"}},
		"a body as large as a buffer": {sent: sized(8192) + sized(1), want: []string{"200 8192", "200 1"}},
		"a large head":                {sent: post + "a: " + strings.Repeat("x", 7000) + "\r\n\r\n" + sized(1), want: []string{"200 0", "200 1"}},
		"many lines":                  {sent: post + strings.Repeat("a:\r\n", 1500) + "\r\n" + sized(1), want: []string{"200 0", "200 1"}},
		"bare line feeds":             {sent: "POST / HTTP/1.1\nHost: h\n\n" + sized(1), want: []string{"200 0", "200 1"}},
		"a head that is too large":    {sent: post + strings.Repeat("a:\r\n", 5000) + "\r\n", want: []string{`431 {"error":"tooLarge"}`}},
		"no request":                  {sent: "hello\r\n\r\n", want: []string{"400 400 Bad Request"}},
	} {
		for _, size := range []int{1, 7, 1000, 4096, 1 << 20} {
			t.Run(fmt.Sprint(name, " in parts of ", size), func(t *testing.T) {
				t.Parallel()
				s := serve(t, limits{places: 4, heads: 8 << 20, headBytes: 8 << 10, pace: calm})
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				go func() {
					for b := x.sent; b != ""; {
						n := min(size, len(b))
						if _, err := io.WriteString(c, b[:n]); err != nil {
							return
						}
						b = b[n:]
					}
				}()
				in := bufio.NewReader(c)
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
				for i, want := range x.want {
					w, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatalf("response %d: %v", i, err)
					}
					b, err := io.ReadAll(w.Body)
					if got := fmt.Sprint(w.StatusCode, " ", string(b)); err != nil || got != want {
						t.Errorf("response %d: %q, %v, want %q", i, got, err, want)
					}
				}
			})
		}
	}
}

// TestRefusals has callers that send too little, too much or read nothing: each is refused for that, and the next one is
// answered.
func TestRefusals(t *testing.T) {
	const moment = 100 * time.Millisecond
	lines := post + strings.Repeat("a:\r\n", 1500)
	for name, x := range map[string]struct {
		limits  limits
		sent    string
		callers int
		reason  string
	}{
		"no memory for heads":     {limits: limits{places: 8, heads: 64 << 10, headBytes: 8 << 10, pace: calm}, sent: lines + "\r\n", callers: 1, reason: headRefused},
		"no memory for pipelined": {limits: limits{places: 8, heads: 64 << 10, headBytes: 8 << 10, pace: calm}, sent: post + "\r\n" + post + strings.Repeat("a:\r\n", 900) + "\r\n", callers: 1, reason: headRefused},
		"a head that stops":       {limits: limits{places: 8, heads: 1 << 20, headBytes: 8 << 10, pace: pace.New(moment, time.Minute, 100, time.Minute)}, sent: lines, callers: 1, reason: headSlow},
		"a body that stops":       {limits: limits{places: 8, heads: 1 << 20, headBytes: 8 << 10, pace: pace.New(time.Minute, moment, 1<<20, time.Minute)}, sent: post + "Content-Length: 9\r\n\r\nx", callers: 1, reason: bodySlow},
		"a chunk that stops":      {limits: limits{places: 8, heads: 1 << 20, headBytes: 8 << 10, pace: pace.New(time.Minute, moment, 1<<20, time.Minute)}, sent: post + chunked + "9\r\nx", callers: 1, reason: bodySlow},
		"a response that is not read": {limits: limits{places: 8, heads: 1 << 20, headBytes: 8 << 10, pace: pace.New(time.Minute, time.Minute, 100, moment),
			response: 64 << 20}, sent: post + "\r\n", callers: 1, reason: responseUnread},
		"more callers than places": {limits: limits{places: 4, heads: 1 << 20, headBytes: 8 << 10, pace: calm}, callers: 20, reason: connectionYielded},
		"heads without an end":     {limits: limits{places: 4, heads: 1 << 20, headBytes: 8 << 10, pace: calm}, sent: lines, callers: 20, reason: connectionYielded},
		"bodies without an end":    {limits: limits{places: 4, heads: 1 << 20, headBytes: 8 << 10, pace: calm}, sent: post + "Content-Length: 9\r\n\r\nx", callers: 20, reason: connectionYielded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, x.limits)
			for range x.callers {
				if x.callers > 1 {
					time.Sleep(10 * time.Millisecond) // All together take longer than the bytes of one head put it ahead.
				}
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = c.Close() })
				if _, err := io.WriteString(c, x.sent); err != nil {
					t.Fatal(err)
				}
			}
			s.waitRefused(t, x.reason)
			if x.limits.response > 0 {
				return
			}
			ok := false
			for begun := time.Now(); !ok && time.Since(begun) < 20*time.Second; {
				if w, err := http.Post("http://"+s.address, "", strings.NewReader("12345")); err == nil {
					b, _ := io.ReadAll(w.Body)
					_ = w.Body.Close()
					ok = string(b) == "5"
				}
			}
			if !ok {
				t.Error("an ordinary request is not answered")
			}
			if n := s.crowd.Open(); n > x.limits.places {
				t.Errorf("%d connections are open", n)
			}
		})
	}
}

// TestRefusalResponses has requests whose heads are refused: the response has the identifier of its request, says when to come
// back if that may help, and closes the connection.
func TestRefusalResponses(t *testing.T) {
	const moment = 100 * time.Millisecond
	little := limits{places: 8, heads: 64 << 10, headBytes: 8 << 10, pace: calm}
	much := limits{places: 8, heads: 8 << 20, headBytes: 8 << 10, pace: calm}
	slow := limits{places: 8, heads: 8 << 20, headBytes: 8 << 10, pace: pace.New(moment, time.Minute, 100, time.Minute)}
	id, many := "X-Id: i1\r\n", strings.Repeat("a:\r\n", 1500)
	for name, x := range map[string]struct {
		limits  limits
		sent    string
		before  int  // Responses to earlier requests on the connection.
		whole   bool // All comes in one part; net/http may have read the identifier otherwise, with the end of the request before.
		status  int
		id      string
		retries bool
	}{
		"no memory":                              {limits: little, sent: post + id + many + "\r\n", status: 503, id: "i1", retries: true},
		"no memory, the identifier comes last":   {limits: little, sent: post + many + id + "\r\n", status: 503, id: "i1", retries: true},
		"no memory for a second request":         {limits: little, sent: post + "\r\n" + post + id + strings.Repeat("a:\r\n", 900) + "\r\n", before: 1, whole: true, status: 503, id: "i1", retries: true},
		"no identifier":                          {limits: little, sent: post + many + "\r\n", status: 503, retries: true},
		"an identifier in lower case and spaces": {limits: little, sent: post + "x-id: \t i1 \r\n" + many + "\r\n", status: 503, id: "i1", retries: true},
		"bare line feeds":                        {limits: little, sent: post + "X-Id:i1\n" + many + "\r\n", status: 503, id: "i1", retries: true},
		"an identifier with other bytes":         {limits: little, sent: post + "X-Id: i\x7f\r\n" + many + "\r\n", status: 503, retries: true},
		"too large":                              {limits: much, sent: post + id + strings.Repeat("a:\r\n", 5000), status: 431, id: "i1"},
		"too slow":                               {limits: slow, sent: post + id + "a: b", status: 408, id: "i1", retries: true},
		"too slow, half an identifier":           {limits: slow, sent: post + "X-Id: i", status: 408, retries: true},
	} {
		for _, size := range []int{100, 1 << 20} {
			if x.whole && size < len(x.sent) {
				continue
			}
			t.Run(fmt.Sprint(name, " in parts of ", size), func(t *testing.T) {
				t.Parallel()
				s := serve(t, x.limits)
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				go func() {
					for b := range slices.Chunk([]byte(x.sent), size) {
						if _, err := c.Write(b); err != nil {
							return
						}
					}
				}()
				in := bufio.NewReader(c)
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
				for range x.before {
					w, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, w.Body)
				}
				w, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				if got := w.Header.Get("X-Id"); w.StatusCode != x.status || got != x.id || !w.Close {
					t.Errorf("status %d, identifier %q, closes %v", w.StatusCode, got, w.Close)
				}
				if d, err := strconv.ParseFloat(w.Header.Get("Retry-After"), 64); (err == nil && d > 0) != x.retries {
					t.Errorf("to be sent again after %q", w.Header.Get("Retry-After"))
				}
				b, err := io.ReadAll(w.Body)
				if err != nil || !json.Valid(b) || w.Header.Get("Content-Type") != "application/json" {
					t.Errorf("body %q of type %q, %v", b, w.Header.Get("Content-Type"), err)
				}
			})
		}
	}
}

// TestMemoryComesBack has requests with large heads on kept connections, one after the other, and closes these.
func TestMemoryComesBack(t *testing.T) {
	s := serve(t, limits{places: 8, heads: 4 << 20, headBytes: 8 << 10, pace: calm})
	var l []net.Conn
	for range 4 {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		l = append(l, c)
		in := bufio.NewReader(c)
		for range 20 {
			_, _ = io.WriteString(c, post+strings.Repeat("a:\r\n", 1500)+"\r\n")
			w, err := http.ReadResponse(in, nil)
			if err != nil || w.StatusCode != http.StatusOK {
				t.Fatalf("response %v, %v", w, err)
			}
			_, _ = io.Copy(io.Discard, w.Body)
		}
	}
	for _, c := range l {
		_ = c.Close()
	}
	for begun := time.Now(); s.crowd.Open() > 0 || s.heads.Used() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > 20*time.Second {
			t.Fatalf("%d connections and %d bytes are left", s.crowd.Open(), s.heads.Used())
		}
	}
}

// TestHeadsInParts has callers send the rest of a head late: within the time for a head, however little is left of that for an
// idle connection.
func TestHeadsInParts(t *testing.T) {
	const pause = 300 * time.Millisecond
	for name, x := range map[string]struct {
		idle   time.Duration // Time for an idle connection.
		header time.Duration // Time that net/http gives a head, from the accept on.
	}{
		"a kept connection": {idle: 2 * pause, header: 20 * time.Second},
		"a new connection":  {idle: 20 * time.Second, header: 2 * pause},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, limits{places: 4, heads: 1 << 20, headBytes: 8 << 10, pace: calm, idle: x.idle, header: x.header})
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if x.idle < x.header {
				_, _ = io.WriteString(c, sized(1))
				if _, err := http.ReadResponse(in, nil); err != nil {
					t.Fatal(err)
				}
				_, _ = in.ReadByte()
			}
			for _, b := range []string{"POST / HTTP/1.1\r\n", "Host: h\r\n", "Content-Length: 0\r\n", "\r\n"} {
				time.Sleep(pause)
				_, _ = io.WriteString(c, b)
			}
			if w, err := http.ReadResponse(in, nil); err != nil || w.StatusCode != http.StatusOK {
				t.Errorf("response %v, %v", w, err)
			}
		})
	}
}

// TestPipelinedHeads has a head begin behind another request, in the same segment: all of it is counted.
func TestPipelinedHeads(t *testing.T) {
	const lines = 900
	s := serve(t, limits{places: 4, heads: 16 << 20, headBytes: 8 << 10, pace: calm})
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, sized(1)+post+strings.Repeat("a:\r\n", lines))
	if w, err := http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	} else if _, err := io.Copy(io.Discard, w.Body); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	if l, err := in.ReadString('\n'); err != nil || !strings.Contains(l, " 100 ") {
		t.Fatalf("%q, %v", l, err)
	}
	if n := s.heads.Used(); n < lines*200 {
		t.Errorf("%d bytes are counted for %d lines", n, lines)
	}
}

// TestEarlyResponses has a handler answer before it has read the body, and the next request come meanwhile.
func TestEarlyResponses(t *testing.T) {
	s := serve(t, limits{places: 4, heads: 1 << 20, headBytes: 8 << 10, pace: calm, response: 1 << 20, unread: true})
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, post+"Content-Length: 3\r\n\r\nab")
	for range 20 {
		_, _ = io.WriteString(c, "c")
		w, err := http.ReadResponse(in, nil)
		if err != nil || w.StatusCode != http.StatusOK {
			t.Fatalf("response %v, %v", w, err)
		}
		_, _ = io.WriteString(c, post+"Content-Length: 3\r\n\r\nab")
		if n, err := io.Copy(io.Discard, w.Body); err != nil || n != 1<<20 {
			t.Fatalf("%d bytes, %v", n, err)
		}
	}
}
