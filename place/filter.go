// Package place chooses the backend servers for a request.
package place

import (
	"context"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fleet"
	"bulrushlug.dev/bulrushlug/match"
)

// maxCandidates is the number of backend servers that one request may try.
const maxCandidates = 3

// Filter finds the servers that may run a request and has a chooser order them.
type Filter struct {
	source  bulrushlug.ConfigSource
	roster  bulrushlug.Roster
	fleet   *fleet.Fleet
	chooser bulrushlug.Chooser
}

// New returns a filter that has c order the servers of f.
func New(s bulrushlug.ConfigSource, r bulrushlug.Roster, f *fleet.Fleet, c bulrushlug.Chooser) *Filter {
	return &Filter{source: s, roster: r, fleet: f, chooser: c}
}

// Pass sets the candidates of r, or refuses it if there are none.
func (p *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	l := p.eligible(r)
	if len(l) == 0 {
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "no backend server may run this request now")
	}
	l = p.chooser.Choose(r, l)
	var d []bulrushlug.Candidate
	for _, v := range l[:min(maxCandidates, len(l))] {
		d = append(d, bulrushlug.NewCandidate(v.Load().VM(), v.Load().Address()))
	}
	r.SetCandidates(d)
	return n.Run(c, r, s)
}

// eligible returns the servers that may run r; those that are silent or failed serve only where no others are left.
func (p *Filter) eligible(r *bulrushlug.Request) []bulrushlug.View {
	f := p.source.Config()
	var good, poor []bulrushlug.View
	for _, v := range p.fleet.Offering(r) {
		l := v.Load()
		m := f.VM(l.VM())
		switch {
		case m.Draining() || p.leaving(l.VM()) || match.CheckPlacement(f, r, m, l.Zone(), l.Region()) != nil:
		case v.Live() && !v.RecentlyFailed():
			good = append(good, v)
		default:
			poor = append(poor, v)
		}
	}
	if len(good) > 0 {
		return good
	}
	return poor
}

// leaving reports whether the platform takes the VM v away.
func (p *Filter) leaving(v string) bool {
	m, ok := p.roster.Member(v)
	return ok && m.Leaving()
}
