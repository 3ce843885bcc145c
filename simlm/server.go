// Package simlm stands in for a model engine over HTTP.
package simlm

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memlm"
	"bulrushlug.dev/bulrushlug/rest"
	"bulrushlug.dev/bulrushlug/wire"
)

// loadLag is the age of a load report.
const loadLag = time.Second

// Server serves an engine over HTTP.
type Server struct {
	engine  *memlm.Engine
	mux     *http.ServeMux
	mu      sync.Mutex // Guards the fields below.
	cancels map[string]context.CancelFunc
	report  *wire.EngineLoad
	taken   time.Time // When the report was made.
}

// New returns a server over e.
func New(e *memlm.Engine) *Server {
	s := &Server{engine: e, mux: http.NewServeMux(), cancels: map[string]context.CancelFunc{}}
	s.mux.HandleFunc("POST /v1/chat/completions", s.run)
	s.mux.HandleFunc("POST /v1/completions", s.run)
	s.mux.HandleFunc("POST /v1/cancel/{id}", s.cancel)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("POST /v1/orders", s.order)
	s.mux.HandleFunc("GET /v1/ran", s.ran)
	s.mux.HandleFunc("POST /v1/faults", s.faults)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	n, _ := strconv.ParseUint(r.Header.Get("X-Resume-From"), 10, 64)
	q := bulrushlug.NewRequest(id,
		bulrushlug.WithCall(r.Method, r.URL.Path, r.Header.Get("Content-Type"), b),
		bulrushlug.WithStream(gjson.GetBytes(b, "stream").Bool()),
		bulrushlug.WithResume(n))
	c, stop := context.WithCancel(r.Context())
	defer stop()
	s.open(id, stop)
	defer s.close(id)
	k := &sink{w: w}
	if err := s.engine.Run(c, q, k); err != nil {
		k.fail(err)
	}
}

func (s *Server) open(id string, f context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[id] = f
}

func (s *Server) close(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, id)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f, ok := s.cancels[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	f()
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report == nil || time.Since(s.taken) > loadLag {
		n, _ := s.engine.Slots(r.Context())
		a, q := s.engine.Active()
		s.report = &wire.EngineLoad{Slots: n, Active: uint32(a), Queued: uint32(q)}
		for m := range s.engine.Models() {
			s.report.Models = append(s.report.Models, m)
		}
		s.taken = time.Now()
	}
	rest.WriteJSON(w, s.report)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	o, ok := rest.ReadJSON[wire.Order](w, r)
	if !ok {
		return
	}
	if err := s.engine.Load(r.Context(), o.Model, o.Version, o.Fence); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func (s *Server) ran(w http.ResponseWriter, _ *http.Request) {
	l := &wire.RanList{}
	s.engine.ForEachRequest(func(id string, started, finished, cancelled, resumed uint32) {
		l.Ran = append(l.Ran, &wire.Ran{Id: id, Started: started, Finished: finished, Cancelled: cancelled, Resumed: resumed})
	})
	rest.WriteJSON(w, l)
}

func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	f, ok := rest.ReadJSON[wire.Faults](w, r)
	if !ok {
		return
	}
	s.engine.SetOutage(f.Outage)
	s.engine.SetIgnoreFence(f.IgnoreFence)
	s.engine.SetBreakAfter(int(f.BreakAfter))
	if f.TokenMs > 0 {
		s.engine.SetTokenInterval(time.Duration(f.TokenMs) * time.Millisecond)
	}
}
