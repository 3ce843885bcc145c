// Package local is the last stage of an agent's pipe: it runs requests on the backend server on the agent's VM.
package local

import (
	"context"
	"sort"

	"bulrushlug.dev/bulrushlug"
)

// Stage sends model requests to the engine, and others to the plain service of their route.
type Stage struct {
	engine   bulrushlug.Engine           // Nil if there is none.
	services map[string]bulrushlug.Stage // By name of the route; not changed after construction.
}

// New returns a stage for the engine e, which may be nil, and the plain services m by name.
func New(e bulrushlug.Engine, m map[string]bulrushlug.Stage) *Stage {
	return &Stage{engine: e, services: m}
}

// Run runs r; it fails with KindUnplaceable if there is no engine or service for it.
func (l *Stage) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if r.Route() == "" {
		if l.engine == nil {
			return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "this agent has no engine")
		}
		return l.engine.Run(c, r, s)
	}
	p, ok := l.services[r.Route()]
	if !ok {
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "this agent has no service %s", r.Route())
	}
	return p.Run(c, r, s)
}

// Services returns the names of the plain services, sorted.
func (l *Stage) Services() []string {
	var n []string
	for k := range l.services {
		n = append(n, k)
	}
	sort.Strings(n)
	return n
}
