package bulrushlug

import "context"

// Stage handles a request and writes its answer to a sink.
type Stage interface {
	// Run handles r; an error means that the answer on s is not complete.
	Run(c context.Context, r *Request, s Sink) error
}

// StageFunc is a function that serves as a stage.
type StageFunc func(c context.Context, r *Request, s Sink) error

// Run calls f.
func (f StageFunc) Run(c context.Context, r *Request, s Sink) error { return f(c, r, s) }

// Filter is one step of a pipe; it hands the request on to the next stage or refuses it.
type Filter interface {
	// Pass handles r and hands it to n at most once, unless it is a retrying filter.
	Pass(c context.Context, r *Request, s Sink, n Stage) error
}

// Sink receives one answer, piece by piece.
type Sink interface {
	// Head starts the answer with an HTTP status and a content type; it is called once, before Write.
	Head(status int, contentType string) error
	// Write adds data to the answer; the sink doesn't keep p.
	Write(p []byte) error
}
