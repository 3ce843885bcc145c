// Package simkv stands in for the platform's key-value service over HTTP.
package simkv

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memkv"
	"bulrushlug.dev/bulrushlug/rest"
	"bulrushlug.dev/bulrushlug/wire"
)

// progressInterval is the time between two signs of progress of a watch.
const progressInterval = 500 * time.Millisecond

// Server serves a table over HTTP.
type Server struct {
	table  *memkv.Store
	leases leases
	budget budget
	mux    *http.ServeMux
}

// New returns a server over t.
func New(t *memkv.Store) *Server {
	s := &Server{table: t, mux: http.NewServeMux()}
	s.leases.drop = s.expire
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.get)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.remove)
	s.mux.HandleFunc("GET /v1/list", s.list)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("POST /v1/leases", s.grant)
	s.mux.HandleFunc("PUT /v1/leases/{id}", s.renew)
	s.mux.HandleFunc("POST /v1/faults", s.faults)
	s.mux.HandleFunc("GET /v1/calls", s.calls)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.budget.read(w) {
		return
	}
	i, err := s.table.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	if i.Revision() == 0 {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Revision", strconv.FormatUint(i.Revision(), 10))
	_, _ = w.Write(i.Value())
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	if !s.budget.write(w) {
		return
	}
	v, err := io.ReadAll(http.MaxBytesReader(w, r.Body, memkv.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	k := r.PathValue("key")
	n, err := s.table.CompareAndSwap(r.Context(), k, v, previous(r))
	if err != nil {
		fail(w, err)
		return
	}
	s.leases.attach(r.URL.Query().Get("lease"), k)
	w.Header().Set("Revision", strconv.FormatUint(n, 10))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if !s.budget.write(w) {
		return
	}
	if err := s.table.Delete(r.Context(), r.PathValue("key"), previous(r)); err != nil {
		fail(w, err)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.budget.read(w) {
		return
	}
	l, n, err := s.table.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	e := &wire.Entries{Revision: n}
	for _, i := range l {
		e.Entries = append(e.Entries, entry(i))
	}
	rest.WriteJSON(w, e)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	c, stop := s.table.Watch(r.URL.Query().Get("prefix"))
	defer stop()
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	f := http.NewResponseController(w)
	for {
		e := &wire.Entry{Progress: true}
		select {
		case i := <-c:
			e = entry(i)
		case <-t.C:
		case <-r.Context().Done():
			return
		}
		rest.WriteJSON(w, e)
		if _, err := io.WriteString(w, "\n"); err != nil || f.Flush() != nil {
			return
		}
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	if !s.budget.write(w) {
		return
	}
	n, err := strconv.Atoi(r.URL.Query().Get("ttlMs"))
	if err != nil || n <= 0 {
		http.Error(w, "ttlMs must be a positive number of milliseconds", http.StatusBadRequest)
		return
	}
	rest.WriteJSON(w, &wire.Lease{Id: s.leases.grant(time.Duration(n) * time.Millisecond), TtlMs: uint64(n)})
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	if !s.budget.write(w) {
		return
	}
	if !s.leases.renew(r.PathValue("id")) {
		http.NotFound(w, r)
	}
}

// expire removes the keys of a lease that ran out.
func (s *Server) expire(k string) {
	c := context.Background()
	i, err := s.table.Get(c, k)
	if err == nil && i.Revision() > 0 {
		_ = s.table.Delete(c, k, i.Revision())
	}
}

func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	f, ok := rest.ReadJSON[wire.Faults](w, r)
	if !ok {
		return
	}
	s.table.SetOutage(f.Outage)
	s.table.SetDelay(time.Duration(f.DelayMs) * time.Millisecond)
	s.table.DropResponses(int(f.LoseAnswers))
}

func (s *Server) calls(w http.ResponseWriter, r *http.Request) {
	a, b := s.table.Calls()
	rest.WriteJSON(w, &wire.Calls{Reads: a, Writes: b})
}

func previous(r *http.Request) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get("prev"), 10, 64)
	return n
}

func entry(i bulrushlug.KVEntry) *wire.Entry {
	return &wire.Entry{Key: i.Key(), Value: i.Value(), Revision: i.Revision()}
}

// fail reports err; an outage and a lost answer cut the connection.
func fail(w http.ResponseWriter, err error) {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindConflict:
		http.Error(w, err.Error(), http.StatusConflict)
	case bulrushlug.KindTooLarge:
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		if strings.Contains(err.Error(), "lost") {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
