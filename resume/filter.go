// Package resume has an agent take up a stream again that its engine broke off.
package resume

import (
	"bytes"
	"context"
	"expvar"

	"bulrushlug.dev/bulrushlug"
)

// maxBreaks is the number of breaks after which a stream ends.
const maxBreaks = 2

// Filter resumes server-sent events of model requests.
type Filter struct{ counts *expvar.Map }

// New returns a filter that counts in m.
func New(m *expvar.Map) *Filter { return &Filter{counts: m} }

// Pass runs r again from the event after the last one that was passed on.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if !r.Stream() || r.Route() != "" {
		return n.Run(c, r, s)
	}
	k := &counter{sink: s, events: r.Resume()}
	for b := 0; ; b++ {
		err := n.Run(c, r, k)
		if bulrushlug.KindOf(err) != bulrushlug.KindBroken || k.events == 0 || b >= maxBreaks || c.Err() != nil {
			return err
		}
		f.counts.Add("resumed", 1)
		r.SkipEvents(k.events)
	}
}

// counter counts the events that it passes on.
type counter struct {
	sink   bulrushlug.Sink
	events uint64
	headed bool // The head was passed on.
}

// Head passes the first head on.
func (k *counter) Head(n int, t string) error {
	if k.headed {
		return nil
	}
	k.headed = true
	return k.sink.Head(n, t)
}

// Write passes p on.
func (k *counter) Write(p []byte) error {
	if err := k.sink.Write(p); err != nil {
		return err
	}
	if bytes.HasPrefix(p, []byte("data:")) {
		k.events++
	}
	return nil
}
