// Package pipe chains filters before a last stage.
package pipe

import (
	"context"

	"bulrushlug.dev/bulrushlug"
)

// Pipe runs a request through its filters in order and then through its last stage.
type Pipe struct {
	filter bulrushlug.Filter // Nil only where the pipe is just its last stage.
	next   bulrushlug.Stage
}

// New returns the pipe that ends with s.
func New(s bulrushlug.Stage, l ...bulrushlug.Filter) *Pipe {
	if len(l) == 0 {
		return &Pipe{next: s}
	}
	return &Pipe{filter: l[0], next: New(s, l[1:]...)}
}

// Run hands r to the first filter.
func (p *Pipe) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if p.filter == nil {
		return p.next.Run(c, r, s)
	}
	return p.filter.Pass(c, r, s, p.next)
}
