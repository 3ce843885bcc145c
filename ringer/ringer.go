// Package ringer proposes new rings as entries come and go.
package ringer

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"bulrushlug.dev/bulrushlug"
)

const (
	lookPause  = 2 * time.Second  // Time between two looks at the entries.
	probeTime  = time.Second      // Bounds one probe.
	deadAfter  = 4 * time.Second  // Time without an answer after which an entry is left out.
	ringPause  = 30 * time.Second // Least time between two rings.
	leavePause = 15 * time.Second // Least time between two rings where an entry leaves.
	author     = "ringer"
)

// Ringer looks after the entries of its own availability zone, and after zones that are silent.
type Ringer struct {
	self   bulrushlug.Member
	source bulrushlug.Source
	roster bulrushlug.Roster
	prober bulrushlug.Prober
	ledger bulrushlug.Proposer
	roots  func() bool                     // Reports whether the process has this duty.
	zones  func() map[string]time.Duration // Ages of the zones heard.
	heard  map[string]time.Time            // When each entry last answered or was first seen; only Run uses it.
	silent map[string]time.Time            // Since when each zone is silent; only Run uses it.
	epoch  uint64                          // Newest ring seen; only Run uses it.
	since  time.Time                       // When it was first seen.
}

// New returns the ringer of the entry m, which has the duty while f says so; z gives the ages of the zones heard.
func New(m bulrushlug.Member, s bulrushlug.Source, r bulrushlug.Roster, p bulrushlug.Prober, l bulrushlug.Proposer, f func() bool, z func() map[string]time.Duration) *Ringer {
	return &Ringer{
		self:   m,
		source: s,
		roster: r,
		prober: p,
		ledger: l,
		roots:  f,
		zones:  z,
		heard:  map[string]time.Time{},
		silent: map[string]time.Time{},
	}
}

// Run proposes rings until c ends.
func (g *Ringer) Run(c context.Context) error {
	for bulrushlug.Wait(c, lookPause) == nil {
		if g.roots() && g.source.Fresh() {
			g.look(c)
		}
	}
	return nil
}

func (g *Ringer) look(c context.Context) {
	now := g.source.Config().Ring()
	if now.Epoch() != g.epoch {
		g.epoch, g.since = now.Epoch(), time.Now()
	}
	want := g.want(c, now)
	if slices.Equal(want, now.Members()) || len(want) == 0 {
		return
	}
	if now.Epoch() > 0 && time.Since(g.since) < g.pause(now, want) {
		return
	}
	_ = g.Propose(c, now, want, func(string) bool { return false })
}

// pause returns the least time since the last ring: a leaving entry is not kept waiting long.
func (g *Ringer) pause(now bulrushlug.Ring, want []string) time.Duration {
	for _, n := range now.Members() {
		if !slices.Contains(want, n) {
			return leavePause
		}
	}
	return ringPause
}

// Propose writes the ring after now, without those members of l that f accepts, unless another ring came first.
func (g *Ringer) Propose(c context.Context, now bulrushlug.Ring, l []string, f func(n string) bool) error {
	l = slices.DeleteFunc(slices.Clone(l), f)
	id := uuid.NewString()
	_, err := g.ledger.Propose(c, func(x *bulrushlug.Config) (bulrushlug.Change, error) {
		if x.Ring().Epoch() != now.Epoch() || slices.Equal(x.Ring().Members(), l) {
			return bulrushlug.Change{}, bulrushlug.NewFault(bulrushlug.KindConflict, "ring %d came first", x.Ring().Epoch())
		}
		return bulrushlug.NewChange(id, author, x.Ring().StepTo(l)), nil
	})
	return err
}

// want returns the members that the ring should have, sorted by name.
func (g *Ringer) want(c context.Context, now bulrushlug.Ring) []string {
	f := g.source.Config()
	silent := g.silentZones()
	var w []string
	for _, m := range g.roster.Members() {
		if m.Role() != bulrushlug.RoleEntry || m.Leaving() || f.VM(m.Name()).Draining() {
			continue
		}
		if g.keeps(c, m, now, silent) {
			w = append(w, m.Name())
		}
	}
	slices.Sort(w)
	return w
}

// keeps reports whether m belongs in the ring; entries of other zones are those zones' duty while they are heard.
func (g *Ringer) keeps(c context.Context, m bulrushlug.Member, now bulrushlug.Ring, silent map[string]bool) bool {
	if m.Name() == g.self.Name() {
		return true
	}
	if m.Zone() != g.self.Zone() && now.Epoch() > 0 {
		return slices.Contains(now.Members(), m.Name()) && !silent[m.Zone()]
	}
	return g.answers(c, m)
}

func (g *Ringer) answers(c context.Context, m bulrushlug.Member) bool {
	c, stop := context.WithTimeout(c, probeTime)
	defer stop()
	t, seen := g.heard[m.Name()]
	if g.prober.Probe(c, m.Address()) == nil {
		g.heard[m.Name()] = time.Now()
		return true
	}
	return seen && time.Since(t) < deadAfter
}

// silentZones returns the zones that were not heard for deadAfter.
func (g *Ringer) silentZones() map[string]bool {
	ages := g.zones()
	l := map[string]bool{}
	for _, m := range g.roster.Members() {
		z := m.Zone()
		if _, ok := ages[z]; ok || z == g.self.Zone() {
			delete(g.silent, z)
			continue
		}
		if _, ok := g.silent[z]; !ok {
			g.silent[z] = time.Now()
		}
		l[z] = time.Since(g.silent[z]) >= deadAfter
	}
	return l
}
