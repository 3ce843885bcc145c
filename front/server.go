// Package front is the HTTP front end for callers, in the manner of the OpenAI interface.
package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/copies"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/upload"
)

const (
	defaultTimeout = 10 * time.Minute // Bounds a request that names no timeout.
	maxTimeout     = time.Hour
	affinityBytes  = 512 // Bytes of a prompt that identify its prefix.
)

// Server answers callers.
type Server struct {
	source  bulrushlug.ConfigSource
	serve   bulrushlug.Stage                        // Pipe to the backend servers.
	guarded func(bulrushlug.Stage) bulrushlug.Stage // Puts authentication and limits before a stage.
	jobs    *jobs.Store
	copies  *copies.Replicator
	upload  *upload.Uploader
	maxBody int64 // Bytes.
	mux     *http.ServeMux
}

// option sets one part of a server.
type option func(s *Server)

// WithPipes sends requests to p, and puts g before the server's own stages.
func WithPipes(p bulrushlug.Stage, g func(bulrushlug.Stage) bulrushlug.Stage) option {
	return func(s *Server) { s.serve, s.guarded = p, g }
}

// WithBatch keeps files and jobs in x and j.
func WithBatch(j *jobs.Store, x *copies.Replicator) option {
	return func(s *Server) { s.jobs, s.copies, s.upload = j, x, upload.New(x) }
}

// WithMaxBody bounds the body of a request to n bytes.
func WithMaxBody(n int64) option { return func(s *Server) { s.maxBody = n } }

// New returns a server by the configuration in f.
func New(f bulrushlug.ConfigSource, o ...option) *Server {
	s := &Server{source: f, mux: http.NewServeMux()}
	for _, g := range o {
		g(s)
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.model)
	s.mux.HandleFunc("POST /v1/completions", s.model)
	s.mux.HandleFunc("GET /v1/models", s.own(s.listModels))
	s.mux.HandleFunc("GET /v1/models/{id...}", s.own(s.getModel))
	s.mux.HandleFunc("POST /v1/files", s.own(s.addFile))
	s.mux.HandleFunc("GET /v1/files", s.own(s.listFiles))
	s.mux.HandleFunc("GET /v1/files/{id}", s.own(s.getFile))
	s.mux.HandleFunc("DELETE /v1/files/{id}", s.own(s.deleteFile))
	s.mux.HandleFunc("GET /v1/files/{id}/content", s.own(s.content))
	s.mux.HandleFunc("POST /v1/batches", s.own(s.addBatch))
	s.mux.HandleFunc("GET /v1/batches", s.own(s.listBatches))
	s.mux.HandleFunc("GET /v1/batches/{id}", s.own(s.getBatch))
	s.mux.HandleFunc("POST /v1/batches/{id}/cancel", s.own(s.cancelBatch))
	s.mux.HandleFunc("/", s.plain)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// key returns the bearer token of r, or nothing.
func key(r *http.Request) string {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return k
}

// body reads the body up to the limit.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBody))
	var m *http.MaxBytesError
	switch {
	case errors.As(err, &m):
		return nil, bulrushlug.Errorf(bulrushlug.KindTooLarge, "the body is larger than %d bytes", s.maxBody)
	case err != nil:
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, "body", err)
	}
	return b, nil
}

func deadline(r *http.Request) time.Time {
	d := defaultTimeout
	if n, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms")); err == nil && n > 0 {
		d = min(time.Duration(n)*time.Millisecond, maxTimeout)
	}
	return time.Now().Add(d)
}

// model serves a request for a model.
func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	k := &sink{w: w, id: id}
	b, err := s.body(w, r)
	if err != nil {
		k.fail(err)
		return
	}
	if err := checkModelBody(b, r.URL.Path); err != nil {
		k.fail(err)
		return
	}
	q := bulrushlug.NewRequest(id,
		bulrushlug.WithKey(key(r)),
		bulrushlug.WithModel(gjson.GetBytes(b, "model").String()),
		bulrushlug.WithCall(r.Method, r.URL.Path, "application/json", b),
		bulrushlug.WithStream(gjson.GetBytes(b, "stream").Bool()),
		bulrushlug.WithIdempotent(true),
		bulrushlug.WithDeadline(deadline(r)),
		bulrushlug.WithAffinity(affinity(b)))
	s.run(r, q, k)
}

func checkModelBody(b []byte, path string) error {
	if !gjson.ValidBytes(b) || !gjson.ParseBytes(b).IsObject() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "the body is no JSON object")
	}
	if m := gjson.GetBytes(b, "model"); m.Type != gjson.String || m.String() == "" {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "model is missing or no string")
	}
	if v := gjson.GetBytes(b, "stream"); v.Exists() && !v.IsBool() && v.Type != gjson.Null {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "stream is no boolean")
	}
	if strings.HasSuffix(path, "/chat/completions") && !gjson.GetBytes(b, "messages").IsArray() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "messages is missing or no array")
	}
	if strings.HasSuffix(path, "/v1/completions") && !gjson.GetBytes(b, "prompt").Exists() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "prompt is missing")
	}
	return nil
}

// affinity returns a hash of model and start of the prompt.
func affinity(b []byte) uint64 {
	p := gjson.GetBytes(b, "messages").Raw + gjson.GetBytes(b, "prompt").Raw
	return xxhash.Sum64String(gjson.GetBytes(b, "model").String() + p[:min(len(p), affinityBytes)])
}

// plain serves a request for a plain service.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	k := &sink{w: w, id: id}
	t, ok := s.source.Config().Route(r.URL.Path)
	if !ok {
		k.fail(bulrushlug.Errorf(bulrushlug.KindNotFound, "there is nothing at %s", r.URL.Path))
		return
	}
	b, err := s.body(w, r)
	if err != nil {
		k.fail(err)
		return
	}
	p := "/" + strings.TrimLeft(strings.TrimPrefix(r.URL.Path, t.Prefix()), "/")
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	q := bulrushlug.NewRequest(id,
		bulrushlug.WithKey(key(r)),
		bulrushlug.WithRoute(t.Name()),
		bulrushlug.WithCall(r.Method, p, r.Header.Get("Content-Type"), b),
		bulrushlug.WithIdempotent(t.Repeatable(r.Method)),
		bulrushlug.WithIdempotencyKey(r.Header.Get("Idempotency-Key")),
		bulrushlug.WithDeadline(deadline(r)))
	s.run(r, q, k)
}

func (s *Server) run(r *http.Request, q *bulrushlug.Request, k *sink) {
	if err := s.serve.Run(r.Context(), q, k); err != nil {
		k.fail(err)
	}
}

// own puts authentication and limits before f, which serves what needs no backend server.
func (s *Server) own(f func(w http.ResponseWriter, r *http.Request, o string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		k := &sink{w: w, id: id}
		q := bulrushlug.NewRequest(id, bulrushlug.WithKey(key(r)), bulrushlug.WithCall(r.Method, r.URL.Path, "", nil))
		g := s.guarded(bulrushlug.StageFunc(func(_ context.Context, q *bulrushlug.Request, _ bulrushlug.Sink) error {
			return f(w, r, q.Organisation())
		}))
		if err := g.Run(r.Context(), q, k); err != nil {
			k.fail(err)
		}
	}
}
