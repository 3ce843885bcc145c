package bulrushlug

import "context"

// Stage handles a request and writes its response to a sink.
type Stage interface {
	// Run handles r; an error means that the response on s is incomplete.
	Run(c context.Context, r *Request, s Sink) error
}

// StageFunc adapts a function to the Stage interface.
type StageFunc func(c context.Context, r *Request, s Sink) error

// Run calls f.
func (f StageFunc) Run(c context.Context, r *Request, s Sink) error { return f(c, r, s) }

// Filter is one step of a pipe (middleware): it passes the request on to the next stage or rejects it.
type Filter interface {
	// Pass handles r and calls n at most once, unless the filter retries.
	Pass(c context.Context, r *Request, s Sink, n Stage) error
}

// Sink receives one response incrementally.
type Sink interface {
	// Head starts the response with an HTTP status and a content type; it is called once, before Write.
	Head(status int, contentType string) error
	// Write appends p to the response body; the sink must not retain p.
	Write(p []byte) error
}
