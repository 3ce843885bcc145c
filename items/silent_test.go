package items

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/platform"
)

type noObserver struct{}

func (noObserver) ObserveDeparture(bulrushlug.Departure) {}

func (noObserver) ObserveCold(bulrushlug.Backend, time.Duration) {}

// writeAll writes parts, which are repeated without end if there is a pause or endless is set, until the connection is closed.
func writeAll(w io.Writer, pause time.Duration, endless bool, head string, parts ...string) {
	if _, err := io.WriteString(w, head); err != nil {
		return
	}
	for n := 0; endless || n < len(parts); n++ {
		if _, err := io.WriteString(w, parts[n%len(parts)]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// TestRunEnds guards against a run that never ends, so that its item lies although no server works on it: the first answers of
// a server make no progress, by real connections. The item is run again, and completed.
func TestRunEnds(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		pause   = 100 * time.Millisecond
		limit   = 20 * time.Second
	)
	for name, x := range map[string]struct {
		serve func(c net.Conn) // Answers; the connection stays open afterwards.
		deaf  bool             // The request is not read.
		body  int              // Bytes of the item.
	}{
		"nothing":                       {},
		"the request is not read":       {deaf: true, body: 4 << 20},
		"a byte of the head at a time":  {serve: func(c net.Conn) { writeAll(c, pause, true, "", strings.Split(head, "")...) }},
		"a line of the head at a time":  {serve: func(c net.Conn) { writeAll(c, pause, true, head, "X-A: b\r\n") }},
		"a head without end":            {serve: func(c net.Conn) { writeAll(c, 0, true, head, "X-A: b\r\n") }},
		"interim responses":             {serve: func(c net.Conn) { writeAll(c, pause, true, "", "HTTP/1.1 103 Early Hints\r\n\r\n") }},
		"nothing after the head":        {serve: func(c net.Conn) { writeAll(c, 0, false, head+"\r\n") }},
		"blank lines at a time":         {serve: func(c net.Conn) { writeAll(c, pause, true, head+"\r\n", "\n") }},
		"blank lines without end":       {serve: func(c net.Conn) { writeAll(c, 0, true, head+"\r\n", strings.Repeat("\n", 4096)) }},
		"comments at a time":            {serve: func(c net.Conn) { writeAll(c, pause, true, head+"\r\n", ": on it\n\n") }},
		"comments without end":          {serve: func(c net.Conn) { writeAll(c, 0, true, head+"\r\n", strings.Repeat(": on it\n\n", 400)) }},
		"lines of an event at a time":   {serve: func(c net.Conn) { writeAll(c, pause, true, head+"\r\n", "data: x\n") }},
		"a byte of an event at a time":  {serve: func(c net.Conn) { writeAll(c, pause, true, head+"\r\n", "x") }},
		"a chunk without end":           {serve: func(c net.Conn) { writeAll(c, pause, true, chunked+"fffffff\r\n", "x") }},
		"a chunk size without end":      {serve: func(c net.Conn) { writeAll(c, pause, true, chunked, "0") }},
		"a chunk extension without end": {serve: func(c net.Conn) { writeAll(c, pause, true, chunked+"1;", "x") }},
		"trailers at a time":            {serve: func(c net.Conn) { writeAll(c, pause, true, chunked+"0\r\n", "X-A: b\r\n") }},
		"no end after the events": {serve: func(c net.Conn) {
			writeAll(c, 0, false, head+"Content-Length: 1000\r\n\r\nid: 1\ndata: 1\n\n")
		}},
		"a failure whose body stalls":   {serve: func(c net.Conn) { writeAll(c, 0, false, "HTTP/1.1 500 E\r\nContent-Length: 9\r\n\r\n") }},
		"a failure, a byte at a time":   {serve: func(c net.Conn) { writeAll(c, pause, true, "HTTP/1.1 500 E\r\n\r\n", "x") }},
		"a rejection whose body stalls": {serve: func(c net.Conn) { writeAll(c, 0, false, "HTTP/1.1 422 E\r\nContent-Length: 9\r\n\r\n") }},
		"a refusal whose body stalls":   {serve: func(c net.Conn) { writeAll(c, 0, false, "HTTP/1.1 503 E\r\nContent-Length: 9\r\n\r\n") }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, stop := context.WithCancel(t.Context())
			defer stop()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			var faulty, ended atomic.Int64
			go func() {
				for n, err := l.Accept(); err == nil; n, err = l.Accept() {
					go func() {
						defer func() { _ = n.Close() }()
						if x.deaf && faulty.CompareAndSwap(0, 1) {
							<-c.Done()
							return
						}
						in := bufio.NewReader(n)
						q, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, q.Body)
						if !x.deaf && faulty.CompareAndSwap(0, 1) {
							if x.serve != nil {
								go x.serve(n)
							}
							_, _ = in.ReadByte() // Until the process closes the connection.
							ended.Add(1)
							return
						}
						after := 0
						if name == "no end after the events" {
							after = 1
						}
						_, _ = io.WriteString(n, head+"Connection: close\r\n\r\n")
						for i := after + 1; i <= eventCount; i++ {
							_, _ = fmt.Fprintf(n, "id: %d\ndata: %d\n\n", i, i)
						}
					}()
				}
			}()
			s := newSystem(c, nil)
			s.runner.client = platform.New("127.0.0.1:1", func() {}).BackendClient(noObserver{})
			s.table.Update([]bulrushlug.Backend{bulrushlug.NewBackend("b", "s", l.Addr().String(), bulrushlug.BackendZoneSlots("z", 4))})
			i := bulrushlug.NewLotItem("i0", "/p", nil, make([]byte, x.body))
			if err := s.manager.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{i})); err != nil {
				t.Fatal(err)
			}
			begun := time.Now()
			for s.listed(t)["i0"] != whole() && time.Since(begun) < limit {
				time.Sleep(50 * time.Millisecond)
			}
			if got := s.listed(t)["i0"]; got != whole() {
				t.Errorf("after %v the result is %q", limit, got)
			}
			if faulty.Load() != 1 || !x.deaf && ended.Load() != 1 {
				t.Errorf("%d faulty answers, %d were given up", faulty.Load(), ended.Load())
			}
		})
	}
}
