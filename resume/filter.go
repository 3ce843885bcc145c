// Package resume continues event streams that break between an agent and its engine.
package resume

import (
	"bytes"
	"context"
	"expvar"

	"bulrushlug.dev/bulrushlug"
)

// maxResumes is the largest number of times that one stream is resumed.
const maxResumes = 2

// Filter resumes streams of server-sent events from the engine.
type Filter struct{ counts *expvar.Map }

// New returns a filter that counts resumed streams in m.
func New(m *expvar.Map) *Filter { return &Filter{counts: m} }

// Pass runs r, and after a break runs it again from the first event that was not passed on.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if !r.Stream() || r.Route() != "" {
		return n.Run(c, r, s)
	}
	k := &eventCounter{sink: s, events: r.ResumeFrom()}
	for b := 0; ; b++ {
		err := n.Run(c, r, k)
		if err != nil && b > 0 && !bulrushlug.KindOf(err).Response().MayHaveRun() {
			return bulrushlug.WrapError(bulrushlug.KindBroken, "the stream was not resumed", err)
		}
		if bulrushlug.KindOf(err) != bulrushlug.KindBroken || k.events == 0 || b >= maxResumes || c.Err() != nil {
			return err
		}
		f.counts.Add("resumed", 1)
		r.SkipEvents(k.events)
	}
}

// eventCounter is a sink that counts the events that it passes on.
type eventCounter struct {
	sink     bulrushlug.Sink
	events   uint64
	headSent bool // The head was passed on.
	status   int
	mimeType string
}

// Head passes on only the first head; a resumption with another one is an error, whose body is no part of the stream.
func (k *eventCounter) Head(n int, t string) error {
	if k.headSent {
		if n != k.status || t != k.mimeType {
			return bulrushlug.Errorf(bulrushlug.KindBroken, "the engine answered %d with type %s to a request to resume a stream", n, t)
		}
		return nil
	}
	k.headSent, k.status, k.mimeType = true, n, t
	return k.sink.Head(n, t)
}

// Write passes on p and counts it if it is an event.
func (k *eventCounter) Write(p []byte) error {
	if err := k.sink.Write(p); err != nil {
		return err
	}
	if bytes.HasPrefix(p, []byte("data:")) {
		k.events++
	}
	return nil
}
