// Package pipe chains filters in front of a final stage.
package pipe

import (
	"context"

	"bulrushlug.dev/bulrushlug"
)

// Pipe passes a request through its filters in order and then to its final stage.
type Pipe struct {
	filter bulrushlug.Filter // Nil if the pipe consists of the final stage only.
	next   bulrushlug.Stage
}

// New returns the pipe of the filters l, in order, and the final stage s.
func New(s bulrushlug.Stage, l ...bulrushlug.Filter) *Pipe {
	if len(l) == 0 {
		return &Pipe{next: s}
	}
	return &Pipe{filter: l[0], next: New(s, l[1:]...)}
}

// Run passes r to the first filter, or to the final stage if there are no filters.
func (p *Pipe) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if p.filter == nil {
		return p.next.Run(c, r, s)
	}
	return p.filter.Pass(c, r, s, p.next)
}
