// Package limit applies the rate limits of organisations to online requests.
package limit

import (
	"context"

	"bulrushlug.dev/bulrushlug"
)

// Filter takes one admission from a limiter for each request; batch items are not limited again here, since they were
// counted when their job was accepted.
type Filter struct{ limiter bulrushlug.Limiter }

// New returns a filter that uses l.
func New(l bulrushlug.Limiter) *Filter { return &Filter{limiter: l} }

// Pass hands r on once it is admitted.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if r.Organisation() != "" && !r.Batch() {
		if err := f.limiter.Take(c, r.Organisation()); err != nil {
			return err
		}
	}
	return n.Run(c, r, s)
}
