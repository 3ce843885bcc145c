// Package simsvc stands in for a plain service that counts its calls.
package simsvc

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server answers each call with its count and keeps the headers it saw.
type Server struct {
	mu    sync.Mutex
	calls map[string]int // By method and path.
	seen  []string       // Headers and bodies of all calls.
	delay time.Duration
	cut   bool // Calls run, but their connections are cut before the answer.
}

// New returns a service.
func New() *Server { return &Server{calls: map[string]int{}} }

// SetDelay makes each answer take d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetCut makes calls run without an answer while v is true.
func (s *Server) SetCut(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = v
}

// Calls returns how often calls ran, by method and path.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string]int{}
	for k, v := range s.calls {
		m[k] = v
	}
	return m
}

// Seen returns everything that came with the calls.
func (s *Server) Seen() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.seen, "\n")
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	n, d, cut := s.count(r, b)
	time.Sleep(d)
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s call %d for %s\n", r.Method, r.URL.Path, n, r.Header.Get("X-Organisation"))
}

func (s *Server) count(r *http.Request, b []byte) (int, time.Duration, bool) {
	k := r.Method + " " + r.URL.Path
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[k]++
	s.seen = append(s.seen, fmt.Sprintf("%s %v %s", r.URL, r.Header, b))
	return s.calls[k], s.delay, s.cut
}
