// Package front is the HTTP front end for callers; it follows the OpenAI API.
package front

import (
	"context"
	"encoding/json"
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
	defaultTimeout      = 10 * time.Minute // Timeout of a request that sets none.
	maxTimeout          = time.Hour
	affinityPrefixBytes = 512 // Length of the start of a prompt that is hashed for prefix affinity.
)

// Server serves model requests, plain services, files and batches to callers.
type Server struct {
	source      bulrushlug.ConfigSource
	backends    bulrushlug.Stage                        // Pipe to the backend servers.
	withFilters func(bulrushlug.Stage) bulrushlug.Stage // Puts authentication and rate limits before a stage.
	jobs        *jobs.Store
	replicator  *copies.Replicator
	upload      *upload.Uploader
	maxBody     int64 // Largest request body in bytes.
	mux         *http.ServeMux
}

// option sets some fields of a server.
type option func(s *Server)

// WithPipes sends requests for backend servers to p, and wraps the server's own stages with g.
func WithPipes(p bulrushlug.Stage, g func(bulrushlug.Stage) bulrushlug.Stage) option {
	return func(s *Server) { s.backends, s.withFilters = p, g }
}

// WithBatch stores the records of files and jobs in j, and their chunks in x.
func WithBatch(j *jobs.Store, x *copies.Replicator) option {
	return func(s *Server) { s.jobs, s.replicator, s.upload = j, x, upload.New(x) }
}

// WithMaxBody limits request bodies to n bytes.
func WithMaxBody(n int64) option { return func(s *Server) { s.maxBody = n } }

// New returns a server with the configuration of f.
func New(f bulrushlug.ConfigSource, o ...option) *Server {
	s := &Server{source: f, mux: http.NewServeMux()}
	for _, g := range o {
		g(s)
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.model)
	s.mux.HandleFunc("POST /v1/completions", s.model)
	s.mux.HandleFunc("GET /v1/models", s.authenticated(s.listModels))
	s.mux.HandleFunc("GET /v1/models/{id...}", s.authenticated(s.getModel))
	s.mux.HandleFunc("POST /v1/files", s.authenticated(s.addFile))
	s.mux.HandleFunc("GET /v1/files", s.authenticated(s.listFiles))
	s.mux.HandleFunc("GET /v1/files/{id}", s.authenticated(s.getFile))
	s.mux.HandleFunc("DELETE /v1/files/{id}", s.authenticated(s.deleteFile))
	s.mux.HandleFunc("GET /v1/files/{id}/content", s.authenticated(s.content))
	s.mux.HandleFunc("POST /v1/batches", s.authenticated(s.addBatch))
	s.mux.HandleFunc("GET /v1/batches", s.authenticated(s.listBatches))
	s.mux.HandleFunc("GET /v1/batches/{id}", s.authenticated(s.getBatch))
	s.mux.HandleFunc("POST /v1/batches/{id}/cancel", s.authenticated(s.cancelBatch))
	s.mux.HandleFunc("/", s.service)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// key returns the bearer token of r, or an empty string.
func key(r *http.Request) string {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return k
}

// body reads the request body; it fails with KindTooLarge if that exceeds maxBody.
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

// deadline returns the deadline of r from its X-Timeout-Ms header or the default.
func deadline(r *http.Request) time.Time {
	d := defaultTimeout
	if n, err := strconv.ParseInt(r.Header.Get("X-Timeout-Ms"), 10, 64); err == nil && n > 0 {
		d = time.Duration(min(n, maxTimeout.Milliseconds())) * time.Millisecond
	}
	return time.Now().Add(d)
}

// model serves a model request.
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
		bulrushlug.WithAffinity(prefixHash(b)))
	s.run(r, q, k)
}

func checkModelBody(b []byte, path string) error {
	if !json.Valid(b) || !gjson.ParseBytes(b).IsObject() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "the body is not a JSON object")
	}
	if m := gjson.GetBytes(b, "model"); m.Type != gjson.String || m.String() == "" {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "model is missing or not a string")
	}
	if v := gjson.GetBytes(b, "stream"); v.Exists() && !v.IsBool() && v.Type != gjson.Null {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "stream is not a boolean")
	}
	if strings.HasSuffix(path, "/chat/completions") && !gjson.GetBytes(b, "messages").IsArray() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "messages is missing or not an array")
	}
	if strings.HasSuffix(path, "/v1/completions") && !gjson.GetBytes(b, "prompt").Exists() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "prompt is missing")
	}
	return nil
}

// prefixHash returns a hash of the model and the start of the prompt.
func prefixHash(b []byte) uint64 {
	p := gjson.GetBytes(b, "messages").Raw + gjson.GetBytes(b, "prompt").Raw
	return xxhash.Sum64String(gjson.GetBytes(b, "model").String() + p[:min(len(p), affinityPrefixBytes)])
}

// service serves a request for a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	k := &sink{w: w, id: id}
	path := r.URL.EscapedPath() // The service gets the bytes by which the route is selected.
	t, ok := s.source.Config().Route(path)
	if !ok {
		k.fail(bulrushlug.Errorf(bulrushlug.KindNotFound, "no route for path %s", path))
		return
	}
	b, err := s.body(w, r)
	if err != nil {
		k.fail(err)
		return
	}
	p := "/" + strings.TrimLeft(strings.TrimPrefix(path, t.Prefix()), "/")
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	q := bulrushlug.NewRequest(id,
		bulrushlug.WithKey(key(r)),
		bulrushlug.WithRoute(t.Name()),
		bulrushlug.WithCall(r.Method, p, r.Header.Get("Content-Type"), b),
		bulrushlug.WithIdempotent(t.IdempotentMethod(r.Method)),
		bulrushlug.WithIdempotencyKey(r.Header.Get("Idempotency-Key")),
		bulrushlug.WithDeadline(deadline(r)))
	s.run(r, q, k)
}

func (s *Server) run(r *http.Request, q *bulrushlug.Request, k *sink) {
	if err := s.backends.Run(r.Context(), q, k); err != nil {
		k.fail(err)
	}
}

// authenticated returns a handler that runs f, which needs no backend server, behind authentication and rate limits.
func (s *Server) authenticated(f func(w http.ResponseWriter, r *http.Request, o string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		k := &sink{w: w, id: id}
		q := bulrushlug.NewRequest(id, bulrushlug.WithKey(key(r)), bulrushlug.WithCall(r.Method, r.URL.Path, "", nil))
		g := s.withFilters(bulrushlug.StageFunc(func(_ context.Context, q *bulrushlug.Request, _ bulrushlug.Sink) error {
			return f(w, r, q.Organisation())
		}))
		if err := g.Run(r.Context(), q, k); err != nil {
			k.fail(err)
		}
	}
}
