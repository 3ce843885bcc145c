// Package park keeps batch items at their agent while online requests need the slots.
package park

import (
	"context"
	"expvar"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// maxParked is the time after which an item goes back unharmed.
const maxParked = 10 * time.Second

// Filter runs preempted batch items again, since the engine beside the agent can take them up where they stopped.
type Filter struct{ counts *expvar.Map }

// New returns a filter that counts in m.
func New(m *expvar.Map) *Filter { return &Filter{counts: m} }

// Pass runs r until it ends, finds no place to wait, or was parked for maxParked.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	err := n.Run(c, r, s)
	for t := time.Now(); r.Batch() && bulrushlug.KindOf(err) == bulrushlug.KindPreempted && time.Since(t) < maxParked; {
		f.counts.Add("parked", 1)
		err = n.Run(c, r, s)
	}
	return err
}
