//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a runner. Its answers follow PROTOCOL.md.
type server struct {
	id, address, service string
	store                *store // Nil in a process of its own.
	mu                   sync.Mutex
	running              int
	slots                int
	events               int
	gap                  time.Duration
	unframed             bool                                                                // Answers have no length and end with their channel.
	answer               func(s *server, w http.ResponseWriter, r *http.Request) (done bool) // Answers instead of the stream, nil for none.
	onRun                func(s *server, r *http.Request)
	leaving              bool
}

func newServer(st *store, id, service string) *server {
	s := &server{id: id, service: service, store: st, slots: 8, events: 20, gap: 20 * time.Millisecond}
	s.listen("127.0.0.1:0")
	s.register("ready")
	return s
}

func (s *server) listen(a string) {
	l, err := net.Listen("tcp", a)
	check(err)
	s.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s, IdleTimeout: 10 * time.Second}).Serve(l) }()
}

func (s *server) register(state string) {
	s.store.put("servers/"+s.id, registration(s.service, s.address, state))
}

func registration(service, address, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z0","version":"v1","slots":8,"state":%q,"coldLeftMs":0,"callSeq":0,"born":%d}`, service, address, state, began.UnixMilli())
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != s.id {
		w.WriteHeader(421)
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	note("server %s: runs %s after event %d, path %s, tenant %q", s.id, id, after, r.RequestURI, r.Header.Get("X-Tenant"))
	if s.onRun != nil {
		s.onRun(s, r)
	}
	if s.answer != nil && s.answer(s, w, r) {
		return
	}
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	var out interface {
		WriteString(string) (int, error)
		Flush() error
	}
	if s.unframed {
		c, b, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
		_ = w.Header().Write(b)
		_, _ = b.WriteString("\r\n")
		out = b.Writer
	} else {
		out = &flusher{bufio.NewWriter(w), http.NewResponseController(w)}
	}
	for n := after + 1; n <= s.events; n++ {
		time.Sleep(s.gap)
		if r.Context().Err() != nil {
			return
		}
		if _, err := out.WriteString(fmt.Sprintf("id: %d\ndata: %s\n\n", n, piece(id, n))); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
	}
	note("server %s: has ended %s", s.id, id)
}

type flusher struct {
	*bufio.Writer
	c *http.ResponseController
}

func (f *flusher) Flush() error {
	if err := f.Writer.Flush(); err != nil {
		return err
	}
	return f.c.Flush()
}

// piece is the data of event n of the output of request id.
func piece(id string, n int) string { return fmt.Sprintf("%s-piece-%d", id, n) }

// streamed is the body of the answer to request id, with the events after the given one.
func streamed(id string, after, n int) string {
	var b strings.Builder
	for i := after + 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, piece(id, i))
	}
	return b.String()
}

// whole is the whole output of request id.
func whole(id string, n int) string {
	var l []string
	for i := range n {
		l = append(l, piece(id, i+1))
	}
	return strings.Join(l, "\n")
}

// serveRunner is the main function of a server in a process of its own: ID ADDRESS EVENTS GAPMS unframed|framed.
func serveRunner(a []string) {
	record = os.Stdout
	e, _ := strconv.Atoi(a[2])
	g, _ := strconv.Atoi(a[3])
	s := &server{id: a[0], service: "s", slots: 8, events: e, gap: time.Duration(g) * time.Millisecond, unframed: a[4] == "unframed"}
	s.listen(a[1])
	select {}
}
