// Package tally counts requests by outcome and records their ends in the event log.
package tally

import (
	"context"
	"expvar"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Filter counts open requests and ended ones by outcome.
type Filter struct {
	counts   *expvar.Map
	recorder bulrushlug.Recorder
}

// New returns a filter that counts in m and records events in e.
func New(m *expvar.Map, e bulrushlug.Recorder) *Filter { return &Filter{counts: m, recorder: e} }

// Pass runs r and counts its outcome; successful batch items record no event, since their chunks do.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	t := time.Now()
	f.counts.Add("open", 1)
	err := n.Run(c, r, s)
	f.counts.Add("open", -1)
	o := "ok"
	if err != nil {
		o = bulrushlug.KindOf(err).String()
	}
	f.counts.Add(o, 1)
	d := o + " after " + time.Since(t).Round(time.Millisecond).String()
	if err != nil {
		d += ": " + err.Error()
	}
	if !r.Batch() || err != nil {
		f.recorder.Record(bulrushlug.NewEvent("requestEnd", bulrushlug.ForRequest(r), bulrushlug.WithDetail(d)))
	}
	return err
}
