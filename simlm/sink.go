package simlm

import (
	"net/http"

	"bulrushlug.dev/bulrushlug"
)

// sink writes an answer to an HTTP response.
type sink struct {
	w       http.ResponseWriter
	started bool // The status is written.
}

// Head writes the status line.
func (s *sink) Head(n int, t string) error {
	s.started = true
	s.w.Header().Set("Content-Type", t)
	s.w.WriteHeader(n)
	return nil
}

// Write writes and flushes p.
func (s *sink) Write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// fail reports err, or cuts the connection where the answer has begun.
func (s *sink) fail(err error) {
	if s.started {
		panic(http.ErrAbortHandler)
	}
	http.Error(s.w, err.Error(), bulrushlug.KindOf(err).Answer().Status())
}
