// Package check enforces selectors and placement at an agent.
package check

import (
	"context"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/match"
)

// Filter repeats the entry's checks of selectors and placement, since the entry may have an older configuration.
type Filter struct {
	self   bulrushlug.Member
	source bulrushlug.ConfigSource
}

// New returns the filter of the agent m with the configuration of f.
func New(m bulrushlug.Member, f bulrushlug.ConfigSource) *Filter { return &Filter{self: m, source: f} }

// Pass refuses r if this VM is draining or r may not be placed on it.
func (k *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	f := k.source.Config()
	v := f.VM(k.self.Name())
	if v.Draining() {
		return bulrushlug.Errorf(bulrushlug.KindLeaving, "%s is draining", k.self.Name())
	}
	if err := match.CheckPlacement(f, r, v, k.self.Zone(), k.self.Region()); err != nil {
		return err
	}
	return n.Run(c, r, s)
}
