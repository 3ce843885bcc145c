// Package simvm simulates the platform's VM list over HTTP.
package simvm

import (
	"net/http"
	"strconv"
	"time"

	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/memvm"
	"bulrushlug.dev/bulrushlug/rest"
	"bulrushlug.dev/bulrushlug/wire"
)

// Server serves a VM list over HTTP.
type Server struct {
	list *memvm.List
	mux  *http.ServeMux
}

// New returns a handler that serves the list l.
func New(l *memvm.List) *Server {
	s := &Server{list: l, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/vms", s.get)
	s.mux.HandleFunc("PUT /v1/vms", s.put)
	s.mux.HandleFunc("DELETE /v1/vms/{name}", s.remove)
	s.mux.HandleFunc("POST /v1/vms/{name}/leave", s.leave)
	s.mux.HandleFunc("POST /v1/lag", s.lag)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	l, err := s.list.Members(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	m := &wire.Members{}
	for _, x := range l {
		m.Members = append(m.Members, codec.EncodeMember(x))
	}
	rest.WriteJSON(w, m)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	m, ok := rest.ReadJSON[wire.Member](w, r)
	if !ok {
		return
	}
	s.list.Put(codec.DecodeMember(m))
}

func (s *Server) remove(_ http.ResponseWriter, r *http.Request) { s.list.Remove(r.PathValue("name")) }

func (s *Server) leave(_ http.ResponseWriter, r *http.Request) {
	s.list.MarkLeaving(r.PathValue("name"))
}

// lag sets the propagation delay of later changes.
func (s *Server) lag(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("ms"))
	if err != nil || n < 0 {
		http.Error(w, "ms must be a non-negative number of milliseconds", http.StatusBadRequest)
		return
	}
	s.list.SetLag(time.Duration(n) * time.Millisecond)
}
