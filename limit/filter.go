// Package limit admits no more online requests of an organisation than its rate and burst allow.
package limit

import (
	"context"

	"bulrushlug.dev/bulrushlug"
)

// Filter asks a limiter for each request; batch items were counted when their job was accepted.
type Filter struct{ limiter bulrushlug.Limiter }

// New returns a filter over l.
func New(l bulrushlug.Limiter) *Filter { return &Filter{limiter: l} }

// Pass takes one admission for r.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if r.Organisation() != "" && !r.Batch() {
		if err := f.limiter.Take(c, r.Organisation()); err != nil {
			return err
		}
	}
	return n.Run(c, r, s)
}
