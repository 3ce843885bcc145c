package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// boundsRequest is a request on a connection that has served another one.
type boundsRequest struct {
	head, body int           // Bytes beside the usual ones.
	idle       time.Duration // Before its first byte.
	pause      time.Duration // Before the end of its head.
}

// send sends r on c, and returns the status of the response; zero if there is none.
func (r boundsRequest) send(c net.Conn, in *bufio.Reader) int {
	time.Sleep(r.idle)
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.WriteString(c, crowdHead(0)+fill(r.head, func(i int) string { return fmt.Sprintf("x-%d: %s\r\n", i, letters(90)) }))
	time.Sleep(r.pause)
	_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", r.body, letters(r.body))
	w, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, w.Body)
	return w.StatusCode
}

// TestBoundsOfNewManifest guards against a process that holds callers to the bounds of an earlier version of the manifest.
func TestBoundsOfNewManifest(t *testing.T) {
	const (
		short = 300
		long  = 8000
		pause = time.Second
	)
	for name, x := range map[string]struct {
		bound         string // Its name in the manifest.
		before, after int
		request       boundsRequest
		was, want     int // Status with each of them; zero for a connection that closes.
	}{
		"larger heads":          {bound: "maxHeaderBytes", before: 4096, after: 32768, request: boundsRequest{head: 20000}, was: 431, want: 200},
		"smaller heads":         {bound: "maxHeaderBytes", before: 32768, after: 4096, request: boundsRequest{head: 20000}, was: 200, want: 431},
		"much larger heads":     {bound: "maxHeaderBytes", before: 4096, after: 1 << 20, request: boundsRequest{head: 500000}, was: 431, want: 200},
		"larger bodies":         {bound: "maxBodyBytes", before: 1000, after: 100000, request: boundsRequest{body: 50000}, was: 413, want: 200},
		"smaller bodies":        {bound: "maxBodyBytes", before: 100000, after: 1000, request: boundsRequest{body: 50000}, was: 200, want: 413},
		"more time for a head":  {bound: "headerTimeoutMs", before: short, after: long, request: boundsRequest{pause: pause}, was: 408, want: 200},
		"less time for a head":  {bound: "headerTimeoutMs", before: long, after: short, request: boundsRequest{pause: pause}, was: 200, want: 408},
		"more time when idle":   {bound: "idleTimeoutMs", before: short, after: long, request: boundsRequest{idle: pause}, was: 0, want: 200},
		"less time when idle":   {bound: "idleTimeoutMs", before: long, after: short, request: boundsRequest{idle: pause}, was: 200, want: 0},
		"no bound of heads now": {bound: "maxHeaderBytes", before: 4096, after: 0, request: boundsRequest{head: 12000}, was: 431, want: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 1, 1, 1)
			set := func(n int) {
				s.version++
				limits := map[string]int{"maxBodyBytes": 2 << 20, x.bound: n}
				var l []string
				for k, v := range limits {
					l = append(l, fmt.Sprintf("%q:%d", k, v))
				}
				s.write("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","maxConnections":100}],"limits":{%s},"tenants":[{"name":"o","apiKeys":["k1"]}]}`,
					s.version, onlineRoutes, strings.Join(l, ",")))
			}
			// open returns a connection on which a request was served.
			open := func() (net.Conn, *bufio.Reader) {
				c, err := net.Dial("tcp", s.entries[0].settings["http"])
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = c.Close() })
				in := bufio.NewReader(c)
				if n := (boundsRequest{}).send(c, in); n != 200 {
					t.Fatalf("status %d to an ordinary request", n)
				}
				return c, in
			}
			for _, v := range []struct{ bound, want int }{{x.before, x.was}, {x.after, x.want}} {
				kept, in := open()
				set(v.bound)
				s.waitUntil(fmt.Sprintf("%s of %d is in force", x.bound, v.bound), func() bool { return x.request.send(open()) == v.want })
				if x.request.idle > 0 {
					continue
				}
				// An earlier connection may have been idle for too long meanwhile, but never has the earlier bound.
				if n := x.request.send(kept, in); n != v.want && n != 0 {
					t.Errorf("status %d with %s of %d on an earlier connection, want %d", n, x.bound, v.bound, v.want)
				}
			}
		})
	}
}
