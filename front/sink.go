package front

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

// sink writes the response of a stage to an http.ResponseWriter.
type sink struct {
	w       http.ResponseWriter
	id      string // Request identifier for the X-Request-Id header.
	started bool   // The status was written.
	events  bool   // The response is a stream of server-sent events.
}

// Head writes the status n and the headers.
func (s *sink) Head(n int, t string) error {
	s.started = true
	s.events = strings.HasPrefix(t, "text/event-stream")
	s.w.Header().Set("Content-Type", t)
	s.w.Header().Set("X-Request-Id", s.id)
	if s.events {
		s.w.Header().Set("Cache-Control", "no-cache")
	}
	s.w.WriteHeader(n)
	return nil
}

// Write writes p, and flushes it if the response is a stream.
func (s *sink) Write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindCancelled, "caller", err)
	}
	if !s.events {
		return nil
	}
	return http.NewResponseController(s.w).Flush()
}

// fail reports err; if the response has started, it sends an error event or aborts the connection, so that the caller
// does not take the response for complete.
func (s *sink) fail(err error) {
	b := errorBody(err)
	switch {
	case s.events:
		_ = s.Write([]byte("data: " + string(b) + "\n\n"))
		return
	case s.started:
		panic(http.ErrAbortHandler)
	}
	if d := bulrushlug.RetryAfterOf(err); d > 0 {
		s.w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
		s.w.Header().Set("Retry-After-Ms", strconv.FormatInt(int64(d/time.Millisecond)+1, 10))
	}
	_ = s.Head(bulrushlug.KindOf(err).Response().Status(), "application/json")
	_, _ = s.w.Write(b)
}

// errorBody returns err in the JSON error format of the OpenAI API.
func errorBody(err error) []byte {
	k := bulrushlug.KindOf(err)
	a := k.Response()
	b, e := codec.SnakeJSON(&wire.ApiError{Error: &wire.ApiFault{
		Message:   err.Error(),
		Type:      errorType(a.Status()),
		Code:      k.String(),
		Kind:      k.String(),
		Ran:       a.MayHaveRun(),
		Retryable: a.Retryable(),
	}})
	if e != nil {
		return []byte(`{"error":{"message":"internal"}}`)
	}
	return b
}

// errorType returns the error type of the OpenAI API for HTTP status n.
func errorType(n int) string {
	switch {
	case n == http.StatusUnauthorized:
		return "authentication_error"
	case n == http.StatusForbidden:
		return "permission_error"
	case n == http.StatusTooManyRequests:
		return "rate_limit_error"
	case n >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}
