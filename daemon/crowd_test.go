package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const crowdParts = 20 // Parts that each connection of a crowd sends after its first bytes, if it has any.

// crowdLimits are the limits of the entry in a test of crowds; its process may not pass them.
type crowdLimits struct{ megabytes, descriptors int }

func (l crowdLimits) settings() string {
	return fmt.Sprintf(`,"memoryMegabytes":%d,"maxDescriptors":%d`, l.megabytes, l.descriptors)
}

var (
	lowLimits      = crowdLimits{megabytes: 80, descriptors: 500}
	smallestLimits = crowdLimits{megabytes: 144, descriptors: 3075} // Of the smallest VM on which an entry runs.
)

// callerCrowd is a number of connections that send much, or odd bytes, and never the end of a request.
type callerCrowd struct {
	size      int
	first     func(i int) string // What connection i sends first.
	part      string             // What it sends then, crowdParts times.
	halfClose bool               // It then closes its sending direction.
	probe     bool               // It connects to the readiness probe.
}

// crowdHead returns the beginning of the head of request i of a crowd.
func crowdHead(i int) string {
	return fmt.Sprintf("POST /ask/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c%d\r\nX-Api-Key: k1\r\n", i)
}

// fill returns lines made by f, of n bytes together or little less.
func fill(n int, f func(i int) string) string {
	var b strings.Builder
	for i := 0; ; i++ {
		l := f(i)
		if b.Len()+len(l) > n {
			return b.String()
		}
		b.WriteString(l)
	}
}

const (
	headRoom    = 15 << 10 // Bytes of header lines that are inside the limit of a head, beside those of crowdHead.
	crowdBody   = 1000000  // Limit of a body in the manifest.
	sized       = "Content-Length: 1000000\r\n\r\n"
	chunked     = "Transfer-Encoding: chunked\r\n\r\n"
	withoutBody = "Content-Length: 0\r\n\r\n"
)

// probeHead returns a head that has no end, for the readiness probe.
var probeHead = sync.OnceValue(func() string { return "GET /readyz HTTP/1.1\r\nHost: h\r\n" + fill(512<<10, shortLine) })

func shortLine(i int) string { return fmt.Sprintf("%x:\r\n", i) }

// crowds are the crowds by what they send.
var crowds = map[string]callerCrowd{
	"short lines":          {size: 800, first: func(i int) string { return crowdHead(i) + fill(headRoom, shortLine) + sized }},
	"one name many times":  {size: 800, first: func(i int) string { return crowdHead(i) + fill(headRoom, func(int) string { return "a:\r\n" }) + sized }},
	"heads without an end": {size: 800, first: func(i int) string { return crowdHead(i) + fill(headRoom, shortLine) }},
	"heads in parts":       {size: 800, first: crowdHead, part: fill(700, shortLine)},
	"continued lines": {size: 800, first: func(i int) string {
		return crowdHead(i) + "a: b\r\n" + fill(headRoom, func(int) string { return " c\r\n" }) + sized
	}},
	"long names": {size: 800, first: func(i int) string { return crowdHead(i) + letters(headRoom) + ": b\r\n" + sized }},
	"empty values": {size: 800, first: func(i int) string {
		return crowdHead(i) + fill(headRoom, func(i int) string { return fmt.Sprintf("x-%d: \r\n", i) }) + sized
	}},
	"heads that are too big": {size: 800, first: func(i int) string { return crowdHead(i) + fill(64<<10, shortLine) }},
	"bare line feeds": {size: 800, first: func(i int) string {
		return crowdHead(i) + fill(headRoom, func(i int) string { return fmt.Sprintf("%x:\n", i) }) + sized
	}},
	"a byte short":     {size: 300, first: func(i int) string { return crowdHead(i) + sized + letters(crowdBody-1) }},
	"bodies that stop": {size: 800, first: func(i int) string { return crowdHead(i) + sized + letters(16<<10) }},
	"bodies in parts":  {size: 800, first: func(i int) string { return crowdHead(i) + sized }, part: letters(2 << 10)},
	"chunks of a byte": {size: 800, first: func(i int) string { return crowdHead(i) + chunked + strings.Repeat("1\r\nx\r\n", 5<<10) }},
	"a large chunk":    {size: 300, first: func(i int) string { return crowdHead(i) + chunked + "f4240\r\n" + letters(crowdBody-1) }},
	"large chunks": {size: 300, first: func(i int) string {
		return crowdHead(i) + chunked + strings.Repeat("4000\r\n"+letters(16<<10)+"\r\n", 60)
	}},
	"chunk extensions": {size: 800, first: func(i int) string {
		return crowdHead(i) + chunked + strings.Repeat("1;"+letters(1<<10)+"\r\nx\r\n", 10)
	}},
	"an endless extension": {size: 800, first: func(i int) string { return crowdHead(i) + chunked + "1;" + letters(32<<10) }},
	"trailers":             {size: 800, first: func(i int) string { return crowdHead(i) + chunked + "1\r\nx\r\n0\r\n" + fill(3<<10, shortLine) }},
	"pipelined requests": {size: 800, first: func(i int) string {
		return crowdHead(i) + withoutBody + strings.Repeat(crowdHead(i)+fill(3<<10, shortLine)+withoutBody, 4) + crowdHead(i) + fill(headRoom, shortLine) + sized
	}},
	"pipelined after chunks": {size: 800, first: func(i int) string {
		return crowdHead(i) + chunked + "1\r\nx\r\n0\r\n\r\n" + crowdHead(i) + fill(3<<10, shortLine) + sized
	}},
	"half-closed":             {size: 800, first: func(i int) string { return crowdHead(i) + sized + letters(16<<10) }, halfClose: true},
	"waiting for a go-ahead":  {size: 800, first: func(i int) string { return crowdHead(i) + "Expect: 100-continue\r\n" + sized }},
	"nothing":                 {size: 800, first: func(int) string { return "" }},
	"nothing, to readiness":   {size: 800, first: func(int) string { return "" }, probe: true},
	"big heads, to readiness": {size: 300, first: func(int) string { return probeHead() }, probe: true},
	"responses that nobody reads": {size: 800, first: func(i int) string {
		return strings.Replace(crowdHead(i), "/ask/", "/flood/", 1) + withoutBody
	}},
	"requests without a stop": {size: 800, first: func(i int) string { return strings.Repeat(crowdHead(i)+withoutBody, 50) }},
}

// join opens the connections of x and returns once they have sent what they can; none of them reads, and all are open until
// the test ends, unless the entry closes them.
func (s *floodSystem) join(x callerCrowd) {
	address := s.front
	if x.probe {
		address = s.ready
	}
	var w sync.WaitGroup
	tokens := make(chan bool, 64) // Connections that send their first bytes at a time.
	for i := range x.size {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue // The entry may refuse it.
		}
		s.t.Cleanup(func() { _ = c.Close() })
		tokens <- true
		w.Go(func() {
			defer func() { <-tokens }()
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, err := c.Write([]byte(x.first(i)))
			for n := 0; x.part != "" && n < crowdParts && err == nil; n++ {
				_ = c.SetWriteDeadline(time.Now().Add(time.Second))
				_, err = c.Write([]byte(x.part))
				time.Sleep(10 * time.Millisecond)
			}
			if x.halfClose {
				_ = c.(*net.TCPConn).CloseWrite()
			}
		})
	}
	w.Wait()
}

// descriptors returns the number of descriptors that the process on VM vm has open; zero if it has ended.
func (s *floodSystem) descriptors(vm string) int {
	p := s.processes[vm]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(l)
}

// served reports whether an ordinary request is answered, which a caller sends again after a refusal.
func (s *floodSystem) served(c context.Context) bool {
	for begun := time.Now(); time.Since(begun) < waitTimeout; time.Sleep(50 * time.Millisecond) {
		if n, b := s.call(c, "POST", "/ask/x", fmt.Sprint("ordinary-", time.Since(begun)), "body"); n == http.StatusOK && strings.Count(b, "\n\n") == 5 {
			return true
		}
	}
	return false
}

// TestCrowds guards against a process that outgrows the memory or the descriptors of its VM because of callers that nobody
// controls. It tells nothing about time: only that the process lives, stays within its limits and answers. CROWD_CONNECTIONS
// sets the size of each crowd; the limits are then those of the smallest VM.
func TestCrowds(t *testing.T) {
	limits, size := lowLimits, 0
	if n, err := strconv.Atoi(os.Getenv("CROWD_CONNECTIONS")); err == nil {
		limits, size = smallestLimits, n
	}
	binary := buildProgram(t)
	for name, x := range crowds {
		t.Run(name, func(t *testing.T) {
			if size > 0 {
				x.size = size
			}
			s := newFloodSystem(t, binary, floods["large events"], limits.settings(), "")
			idle := s.peak("e0")
			var most atomic.Int64
			c, stop := context.WithCancel(t.Context())
			defer stop()
			go func() {
				for ; c.Err() == nil; time.Sleep(20 * time.Millisecond) {
					most.Store(max(most.Load(), int64(s.descriptors("e0"))))
				}
			}()
			s.join(x)
			during := s.served(c)
			peak, n := s.peak("e0"), int(most.Load())
			t.Logf("%d MB at most, %d MB before; %d descriptors", peak>>20, idle>>20, n)
			if !during {
				t.Error("an ordinary request is not answered")
			}
			if peak > limits.megabytes<<20 {
				t.Errorf("the process had %d MB, its VM has %d MB", peak>>20, limits.megabytes)
			}
			if n > limits.descriptors {
				t.Errorf("the process had %d descriptors, its VM has %d", n, limits.descriptors)
			}
		})
	}
}
