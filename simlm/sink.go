package simlm

import (
	"net/http"

	"bulrushlug.dev/bulrushlug"
)

// sink streams a response to an HTTP client.
type sink struct {
	w       http.ResponseWriter
	started bool // The status line has been written.
}

// Head writes the status line and the content type.
func (s *sink) Head(n int, t string) error {
	s.started = true
	s.w.Header().Set("Content-Type", t)
	s.w.WriteHeader(n)
	return nil
}

// Write writes p and flushes it.
func (s *sink) Write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// writeError responds with the status for err, or aborts the connection if the response has already started.
func (s *sink) writeError(err error) {
	if s.started {
		panic(http.ErrAbortHandler)
	}
	http.Error(s.w, err.Error(), bulrushlug.KindOf(err).Response().Status())
}
