// Package simlm simulates a model engine with an OpenAI-compatible API over HTTP.
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

// reportMaxAge is the time for which a load report is cached, and thus the largest age of the load that callers see.
const reportMaxAge = time.Second

// Server serves an engine over HTTP.
type Server struct {
	engine     *memlm.Engine
	mux        *http.ServeMux
	mu         sync.Mutex // Guards the fields below.
	cancels    map[string]context.CancelFunc
	report     *wire.EngineLoad
	reportTime time.Time // Time at which the report was taken.
}

// New returns a handler that serves the engine e.
func New(e *memlm.Engine) *Server {
	s := &Server{engine: e, mux: http.NewServeMux(), cancels: map[string]context.CancelFunc{}}
	s.mux.HandleFunc("POST /v1/chat/completions", s.run)
	s.mux.HandleFunc("POST /v1/completions", s.run)
	s.mux.HandleFunc("POST /v1/cancel/{id}", s.cancel)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("POST /v1/orders", s.loadModel)
	s.mux.HandleFunc("GET /v1/ran", s.ran)
	s.mux.HandleFunc("POST /v1/faults", s.faults)
	return s
}

// ServeHTTP implements http.Handler.
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
		bulrushlug.WithResumeFrom(n))
	c, stop := context.WithCancel(r.Context())
	defer stop()
	s.register(id, stop)
	defer s.unregister(id)
	k := &sink{w: w}
	if err := s.engine.Run(c, q, k); err != nil {
		k.writeError(err)
	}
}

// register makes request id cancellable by f.
func (s *Server) register(id string, f context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[id] = f
}

// unregister removes request id after its response.
func (s *Server) unregister(id string) {
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

// load responds with a load report that is up to reportMaxAge old.
func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report == nil || time.Since(s.reportTime) > reportMaxAge {
		n, _ := s.engine.Slots(r.Context())
		a, q := s.engine.Active()
		s.report = &wire.EngineLoad{Slots: n, Active: uint32(a), Queued: uint32(q)}
		for m := range s.engine.Models() {
			s.report.Models = append(s.report.Models, m)
		}
		s.reportTime = time.Now()
	}
	rest.WriteJSON(w, s.report)
}

// loadModel loads a version of a model; it responds with status 409 if the fencing token is outdated.
func (s *Server) loadModel(w http.ResponseWriter, r *http.Request) {
	o, ok := rest.ReadJSON[wire.Order](w, r)
	if !ok {
		return
	}
	if err := s.engine.Load(r.Context(), o.Model, o.Version, o.Fence); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// ran responds with the execution counts of all requests.
func (s *Server) ran(w http.ResponseWriter, _ *http.Request) {
	l := &wire.RanList{}
	s.engine.ForEachRequest(func(id string, started, finished, cancelled, resumed uint32) {
		l.Ran = append(l.Ran, &wire.Ran{Id: id, Started: started, Finished: finished, Cancelled: cancelled, Resumed: resumed})
	})
	rest.WriteJSON(w, l)
}

// faults sets the injected faults of the engine.
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
