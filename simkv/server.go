// Package simkv simulates the platform's key-value service over HTTP, with its rate limits and with fault injection.
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

// progressInterval is the time between progress notifications of an idle watch.
const progressInterval = 500 * time.Millisecond

// Server serves a store over HTTP.
type Server struct {
	store   *memkv.Store
	leases  leases
	limiter rateLimiter
	mux     *http.ServeMux
}

// New returns a handler that serves the store t.
func New(t *memkv.Store) *Server {
	s := &Server{store: t, mux: http.NewServeMux()}
	s.leases.deleteKey = s.deleteExpired
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

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.limiter.allowRead(w) {
		return
	}
	i, err := s.store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
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
	if !s.limiter.allowWrite(w) {
		return
	}
	v, err := io.ReadAll(http.MaxBytesReader(w, r.Body, memkv.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	k := r.PathValue("key")
	n, err := s.store.CompareAndSwap(r.Context(), k, v, prevRevision(r))
	if err != nil {
		writeError(w, err)
		return
	}
	s.leases.attach(r.URL.Query().Get("lease"), k)
	w.Header().Set("Revision", strconv.FormatUint(n, 10))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if !s.limiter.allowWrite(w) {
		return
	}
	if err := s.store.Delete(r.Context(), r.PathValue("key"), prevRevision(r)); err != nil {
		writeError(w, err)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.limiter.allowRead(w) {
		return
	}
	l, n, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	e := &wire.Entries{Revision: n}
	for _, i := range l {
		e.Entries = append(e.Entries, encodeEntry(i))
	}
	rest.WriteJSON(w, e)
}

// watch streams changes as JSON lines, with a progress notification whenever there is none for progressInterval.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	c, stop := s.store.Watch(r.URL.Query().Get("prefix"))
	defer stop()
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	f := http.NewResponseController(w)
	for {
		e := &wire.Entry{Progress: true}
		select {
		case i := <-c:
			e = encodeEntry(i)
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
	if !s.limiter.allowWrite(w) {
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
	if !s.limiter.allowWrite(w) {
		return
	}
	if !s.leases.renew(r.PathValue("id")) {
		http.NotFound(w, r)
	}
}

// deleteExpired deletes key k after its lease expired, unless it is written at the same time.
func (s *Server) deleteExpired(k string) {
	c := context.Background()
	i, err := s.store.Get(c, k)
	if err == nil && i.Revision() > 0 {
		_ = s.store.Delete(c, k, i.Revision())
	}
}

// faults sets the injected outage, latency and dropped responses.
func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	f, ok := rest.ReadJSON[wire.Faults](w, r)
	if !ok {
		return
	}
	s.store.SetOutage(f.Outage)
	s.store.SetDelay(time.Duration(f.DelayMs) * time.Millisecond)
	s.store.DropResponses(int(f.LoseAnswers))
}

func (s *Server) calls(w http.ResponseWriter, r *http.Request) {
	a, b := s.store.Calls()
	rest.WriteJSON(w, &wire.Calls{Reads: a, Writes: b})
}

// prevRevision returns the revision that the caller expects; zero if the key must not exist.
func prevRevision(r *http.Request) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get("prev"), 10, 64)
	return n
}

func encodeEntry(i bulrushlug.KVEntry) *wire.Entry {
	return &wire.Entry{Key: i.Key(), Value: i.Value(), Revision: i.Revision()}
}

// writeError responds with the status for err; a dropped response aborts the connection without one.
func writeError(w http.ResponseWriter, err error) {
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
