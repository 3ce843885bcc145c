// Package park requeues preempted batch items at their agent until a slot is free again.
package park

import (
	"context"
	"expvar"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// maxParkTime is the time after which a preempted item is returned to its sender, which can run it again.
const maxParkTime = 10 * time.Second

// Filter reruns preempted batch items at the same agent, since its engine can resume them where they stopped.
type Filter struct{ counts *expvar.Map }

// New returns a filter that counts parked items in m.
func New(m *expvar.Map) *Filter { return &Filter{counts: m} }

// Pass runs r again after each preemption, until it ends otherwise or maxParkTime has passed.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	err := n.Run(c, r, s)
	for t := time.Now(); r.Batch() && bulrushlug.KindOf(err) == bulrushlug.KindPreempted && time.Since(t) < maxParkTime; {
		f.counts.Add("parked", 1)
		err = n.Run(c, r, s)
	}
	return err
}
