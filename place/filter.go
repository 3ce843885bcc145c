// Package place selects the backend servers that a request may be sent to.
package place

import (
	"context"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fleet"
	"bulrushlug.dev/bulrushlug/match"
)

// maxCandidates is the largest number of backend servers that one request may try.
const maxCandidates = 3

// Filter selects the eligible servers of a request; a balancer orders them.
type Filter struct {
	source   bulrushlug.ConfigSource
	roster   bulrushlug.Roster
	fleet    *fleet.Fleet
	balancer bulrushlug.Balancer
}

// New returns a filter that selects from the servers of f and orders them with c.
func New(s bulrushlug.ConfigSource, r bulrushlug.Roster, f *fleet.Fleet, c bulrushlug.Balancer) *Filter {
	return &Filter{source: s, roster: r, fleet: f, balancer: c}
}

// Pass sets the candidates of r, or refuses it with KindUnplaceable if there are none.
func (p *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	l := p.eligible(r)
	if len(l) == 0 {
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "no eligible backend server for this request")
	}
	l = p.balancer.Choose(r, l)
	var d []bulrushlug.Candidate
	for _, v := range l[:min(maxCandidates, len(l))] {
		d = append(d, bulrushlug.NewCandidate(v.LoadReport().VM(), v.LoadReport().Address()))
	}
	r.SetCandidates(d)
	return n.Run(c, r, s)
}

// eligible returns the servers that may run r; those that are not live or recently failed only if there are no others.
func (p *Filter) eligible(r *bulrushlug.Request) []bulrushlug.View {
	f := p.source.Config()
	var healthy, suspect []bulrushlug.View
	for _, v := range p.fleet.Offering(r) {
		l := v.LoadReport()
		m := f.VM(l.VM())
		switch {
		case m.Draining() || p.leaving(l.VM()) || match.CheckPlacement(f, r, m, l.Zone(), l.Region()) != nil:
		case v.Live() && !v.RecentlyFailed():
			healthy = append(healthy, v)
		default:
			suspect = append(suspect, v)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return suspect
}

// leaving reports whether the platform is about to remove the VM v.
func (p *Filter) leaving(v string) bool {
	m, ok := p.roster.Member(v)
	return ok && m.Leaving()
}
