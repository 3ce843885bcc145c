// Package simsvc stands in for a plain service that counts its calls.
package simsvc

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Server answers each call with its count and keeps what came with it.
type Server struct {
	mu    sync.Mutex
	calls map[string]int // By method and path.
	seen  []string       // URLs, headers and bodies of all calls.
}

// New returns a service.
func New() *Server { return &Server{calls: map[string]int{}} }

// Received returns everything that came with the calls.
func (s *Server) Received() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.seen, "\n")
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	n := s.count(r, b)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s call %d for %s\n", r.Method, r.URL.Path, n, r.Header.Get("X-Organisation"))
}

func (s *Server) count(r *http.Request, b []byte) int {
	k := r.Method + " " + r.URL.Path
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[k]++
	s.seen = append(s.seen, fmt.Sprintf("%s %v %s", r.URL, r.Header, b))
	return s.calls[k]
}
