// Package simsvc simulates a plain HTTP service that counts and records its requests.
package simsvc

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Server responds to each request with the number of requests so far for its method and path.
type Server struct {
	mu       sync.Mutex
	calls    map[string]int // Requests by method and path.
	received []string       // URL, headers and body of each request.
}

// New returns a service without requests.
func New() *Server { return &Server{calls: map[string]int{}} }

// Received returns the URLs, headers and bodies of all requests.
func (s *Server) Received() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.received, "\n")
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	n := s.count(r, b)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s call %d for %s\n", r.Method, r.URL.Path, n, r.Header.Get("X-Organisation"))
}

// count records r with its body b and returns the number of requests for its method and path.
func (s *Server) count(r *http.Request, b []byte) int {
	k := r.Method + " " + r.URL.Path
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[k]++
	s.received = append(s.received, fmt.Sprintf("%s %v %s", r.URL, r.Header, b))
	return s.calls[k]
}
