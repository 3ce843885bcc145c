package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runnerSlots is the number of requests that a runner runs at once.
const runnerSlots = 8

// reply is what a runner does with one request.
type reply struct {
	refuse bool          // It is refused as not run.
	status int           // Status of the answer.
	work   time.Duration // Time before the answer.
	events int           // Events of a stream.
	size   int           // Bytes of an event.
	gap    time.Duration // Time between two events.
	spoil  int           // Event in which a byte is wrong; zero for none.
}

// run is one request that a runner began to work on.
type run struct {
	id, path, tenant, after string
	at                      time.Time
	status                  int
}

// runner is a stand-in for a model runner.
type runner struct {
	id, address string
	behave      func(r *http.Request) reply
	record      *record
	mu          sync.Mutex
	running     int
	runs        []run
}

// startRunner starts a runner of a service and enters it into the store.
func startRunner(s *kvStore, rec *record, service, id, zone string, f func(r *http.Request) reply) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	x := &runner{id: id, address: l.Addr().String(), behave: f, record: rec}
	h := &http.Server{Handler: x, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 8 * time.Second}
	go func() { _ = h.Serve(l) }()
	s.set("servers/"+id, map[string]any{"service": service, "address": x.address, "zone": zone, "version": "v1", "slots": runnerSlots,
		"state": "ready", "coldLeftMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "callSeq": 0,
		"born": time.Now().UnixMilli()})
	return x
}

// take reserves a slot, or returns false.
func (x *runner) take() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running >= runnerSlots {
		return false
	}
	x.running++
	return true
}

func (x *runner) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running--
}

// ServeHTTP runs one request.
func (x *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if n := r.Header.Get("X-Expect-Instance"); n != "" && n != x.id {
		w.Header().Set("X-Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	a := x.behave(r)
	if a.refuse || !x.take() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer x.release()
	x.mu.Lock()
	x.runs = append(x.runs, run{id: id, path: r.RequestURI, tenant: r.Header.Get("X-Tenant"), after: r.Header.Get("Last-Event-Id"), at: time.Now(), status: a.status})
	x.mu.Unlock()
	x.record.line("runner %s runs %s %s tenant=%s after=%q, will answer %d", x.id, id, r.RequestURI, r.Header.Get("X-Tenant"), r.Header.Get("Last-Event-Id"), a.status)
	select {
	case <-time.After(a.work):
	case <-r.Context().Done():
		x.record.line("runner %s: the channel of %s closed before the answer", x.id, id)
		return
	}
	w.Header().Set("X-Server-Stamp", x.id+"."+id)
	if a.status != http.StatusOK {
		w.WriteHeader(a.status)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= a.events; n++ {
		if a.gap > 0 {
			time.Sleep(a.gap)
		}
		p := piece(id, n, a.size)
		if n == a.spoil {
			p = p[:len(p)-1] + "\xff"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, p); err != nil {
			return
		}
		if n%16 == 0 || a.gap > 0 {
			_ = http.NewResponseController(w).Flush()
		}
	}
	x.record.line("runner %s ends %s", x.id, id)
}

// piece returns the data of event n of request id, of at least size bytes.
func piece(id string, n, size int) string {
	s := id + "-" + strconv.Itoa(n)
	if len(s) < size {
		s += strings.Repeat("x", size-len(s))
	}
	return s
}

// runsOf returns the runs of request id at the runners l.
func runsOf(l []*runner, id string) (all []run) {
	for _, x := range l {
		x.mu.Lock()
		for _, y := range x.runs {
			if y.id == id {
				all = append(all, y)
			}
		}
		x.mu.Unlock()
	}
	return all
}
