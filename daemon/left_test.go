package daemon

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// leftBound is the time after a caller has left within which nothing may work for it any more.
const leftBound = 500 * time.Millisecond

// runsOf returns the runs of request id at all servers, and the requests in progress there.
func (s *testSystem) runsOf(id string) (runs, running int) {
	for _, b := range s.backends {
		b.set(func(b *fakeBackend) { runs, running = runs+b.ran[id], running+b.running })
	}
	return runs, running
}

// countOf returns the counter k of m.
func countOf(m *expvar.Map, k string) int {
	if m.Get(k) == nil {
		return 0
	}
	n, _ := strconv.Atoi(m.Get(k).String())
	return n
}

// TestCallersLeave has a caller close its connection while something works for it: the work ends, its place is free and no
// other attempt begins.
func TestCallersLeave(t *testing.T) {
	const ask = "/ask/x"
	stall := func(n int) func(b *fakeBackend) { return func(b *fakeBackend) { b.stalls = n } }
	long := func(b *fakeBackend) { b.eventCount, b.eventInterval = 200, 20*time.Millisecond }
	for name, x := range map[string]struct {
		path    string
		servers func(b *fakeBackend) // What the servers do, of which there are two.
		runs    int                  // Runs of the request when its caller leaves.
		lines   int                  // Lines of the response that the caller reads before it leaves.
		after   time.Duration        // Time from then on at which it leaves.
		next    bool                 // The caller has sent its next request by then.
		half    bool                 // The caller closes only its side of the connection.
		reset   bool                 // The connection ends with a reset.
	}{
		"while the server reads the prompt":                {path: ask, servers: stall(9), runs: 1},
		"while the server reads the prompt, reset":         {path: ask, servers: stall(9), runs: 1, reset: true},
		"while the server reads the prompt, one attempt":   {path: "/once/x", servers: stall(9), runs: 1},
		"while the server reads the prompt, half-closed":   {path: ask, servers: stall(9), runs: 1, half: true},
		"just before another attempt":                      {path: ask, servers: stall(9), runs: 1, after: 1100 * time.Millisecond},
		"in the second attempt":                            {path: ask, servers: stall(9), runs: 2},
		"in the middle of a stream":                        {path: ask, servers: long, runs: 1, lines: 9},
		"in the middle of a stream, reset":                 {path: ask, servers: long, runs: 1, lines: 9, reset: true},
		"in the middle of a stream, the next request sent": {path: ask, servers: long, runs: 1, lines: 9, next: true},
		"in a pause of a stream":                           {path: ask, servers: func(b *fakeBackend) { b.eventCount, b.eventInterval = 9, 800*time.Millisecond }, runs: 1, lines: 9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 0, 1, 2)
			for _, b := range s.backends {
				b.set(x.servers)
			}
			m := map[string]string{"vm": "e0", "zone": "z0", "role": "entry", "http": freeAddress(), "ready": freeAddress(), "metrics": freeAddress()}
			s.entries = append(s.entries, s.start(m))
			s.waitUntil("the entry is ready", func() bool { return s.ready(0) })
			table := s.entries[0].daemon.slotTable
			send := func(id, path string) net.Conn {
				c, err := net.Dial("tcp", m["http"])
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = c.Close() })
				_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Api-Key: k1\r\nX-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody", path, id)
				return c
			}
			c := send("q", x.path)
			s.waitUntil("the request runs", func() bool { n, _ := s.runsOf("q"); return n == x.runs })
			r := bufio.NewReader(c)
			for range x.lines {
				if _, err := r.ReadString('\n'); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(x.after)
			if x.next {
				_, _ = io.WriteString(c, "POST /ask/y HTTP/1.1\r\nHost: h.example\r\n")
			}
			begun := time.Now()
			switch k := c.(*net.TCPConn); {
			case x.half:
				_ = k.CloseWrite()
			case x.reset:
				_ = k.SetLinger(0)
				fallthrough
			default:
				_ = k.Close()
			}
			online := func() (n int) {
				for _, u := range table.Usages() {
					n += int(u.Online())
				}
				return n
			}
			s.waitUntil("the work has ended", func() bool { _, n := s.runsOf("q"); return n == 0 && online() == 0 })
			if d := time.Since(begun); d > leftBound {
				t.Errorf("the work ended %v after the caller had left", d)
			}
			counts := s.entries[0].daemon.counters
			s.waitUntil("the request counts as cancelled", func() bool { return countOf(counts, "cancelled") == 1 })
			if n, want := countOf(counts, "callersLeft"), min(x.runs, 1); n != want || countOf(counts, "broken") > 0 {
				t.Errorf("%d callers left, %d responses broken", n, countOf(counts, "broken"))
			}
			time.Sleep(1500 * time.Millisecond)
			if n, _ := s.runsOf("q"); n != x.runs {
				t.Errorf("%d runs in the end, %d when the caller left", n, x.runs)
			}
		})
	}
}

// reading returns the number of goroutines that serve reads of lots.
func reading() int {
	b := make([]byte, 16<<20)
	return strings.Count(string(b[:runtime.Stack(b, true)]), "lots.(*ReplicaManager).Read(")
}

// TestReadersLeave has a caller leave while a process with a disk waits for the first result of its lot: the wait ends there.
func TestReadersLeave(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 1, 2, 1)
			s.backends[0].set(func(b *fakeBackend) { b.stalls = 99 })
			s.waitUntil("a lot is accepted", func() bool { n, _ := s.call(0, "POST", "/in/l", "lot1", "k1", lotBody("lot1", 2)); return n == 202 })
			s.waitUntil("the lot can be read", func() bool { return s.resultCount(0, "lot1") == 0 })
			c, err := net.Dial("tcp", s.entries[0].settings["http"])
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, "GET /lots/lot1?after=0 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: read\r\nX-Api-Key: k1\r\nX-Wait-Ms: 1500\r\n\r\n")
			s.waitUntil("the read waits", func() bool { return reading() > 0 })
			begun := time.Now()
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
			s.waitUntil("the read has ended", func() bool { return reading() == 0 })
			if d := time.Since(begun); d > leftBound {
				t.Errorf("the read ended %v after the caller had left", d)
			}
		})
	}
}
