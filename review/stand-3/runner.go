//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runnerMain is a process that stands in for a model runner: it answers each request with a stream of events, as many as the
// request allows tokens, and prints what it runs. Its answers have a length in chunks, or none.
func runnerMain(args []string) {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	id := f.String("id", "", "identifier")
	address := f.String("address", "", "address")
	unframed := f.Bool("unframed", false, "answers have no length and end with their channel")
	early := f.Bool("early", false, "the head of an answer is sent before its first event")
	slots := f.Int("slots", 8, "requests at once")
	first := f.Duration("first", 30*time.Millisecond, "time to the first event")
	gap := f.Duration("gap", 23*time.Millisecond, "time between events")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &runner{id: *id, unframed: *unframed, early: *early, first: *first, gap: *gap, slots: make(chan bool, *slots)}
	fmt.Println("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			continue
		}
		go r.serve(c)
	}
}

type runner struct {
	id              string
	unframed, early bool
	first, gap      time.Duration
	slots           chan bool
	mu              sync.Mutex
}

func (r *runner) say(f string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf(f+"\n", a...)
}

// eventText is the data of event n of request id, the same at each runner.
func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

func (r *runner) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !r.answer(c, in, q) {
			return
		}
	}
}

// answer answers q, and reports whether the channel can be used again.
func (r *runner) answer(c net.Conn, in *bufio.Reader, q *http.Request) bool {
	id := q.Header.Get("X-Attempt-Id")
	refuse := func(status int) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d No\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
		return true
	}
	if x := q.Header.Get("X-Expect-Instance"); x != "" && x != r.id {
		return refuse(421)
	}
	select {
	case r.slots <- true:
		defer func() { <-r.slots }()
	default:
		return refuse(503)
	}
	gone := make(chan bool)
	go func() { // The channel closes: the runner drops the request.
		if _, err := in.Peek(1); err != nil {
			close(gone)
		}
	}()
	_, out, _ := strings.Cut(q.Header.Get("X-Token-Usage"), ",")
	total, _ := strconv.Atoi(strings.TrimSpace(out))
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.say("run %s %s from %d of %d tenant %s", id, r.id, from, total, q.Header.Get("X-Tenant"))
	h := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\n", id, r.id, id)
	if r.unframed {
		h += "Connection: close\r\n\r\n"
	} else {
		h += "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if r.early {
		if _, err := io.WriteString(c, h); err != nil {
			return false
		}
		h = ""
	}
	wait := r.first
	for n := from + 1; n <= total; n++ {
		select {
		case <-time.After(wait):
		case <-gone:
			r.say("dropped %s %s at %d", id, r.id, n)
			return false
		}
		wait = r.gap
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventText(id, n))
		if !r.unframed {
			e = fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		if _, err := io.WriteString(c, h+e); err != nil {
			return false
		}
		h = ""
	}
	if !r.unframed {
		h += "0\r\n\r\n"
	}
	if _, err := io.WriteString(c, h); err != nil {
		return false
	}
	r.say("done %s %s", id, r.id)
	return false // Each answer ends its channel.
}
