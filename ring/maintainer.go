// Package ring proposes new rings as entries come and go.
package ring

import (
	"context"
	"maps"
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
	author     = "ring"
)

// Maintainer looks after the entries of its own availability zone, and of zones in which no entry answers.
type Maintainer struct {
	self   bulrushlug.Member
	source bulrushlug.ConfigSource
	roster bulrushlug.Roster
	prober bulrushlug.Prober
	ledger bulrushlug.Proposer
	roots  func() bool          // Reports whether the process has this duty.
	heard  map[string]time.Time // When each entry last answered or was first seen; only Run uses it.
	epoch  uint64               // Newest ring seen; only Run uses it.
	since  time.Time            // When it was first seen.
}

// New returns the maintainer of the entry m, which has the duty while f says so.
func New(m bulrushlug.Member, s bulrushlug.ConfigSource, r bulrushlug.Roster, p bulrushlug.Prober, l bulrushlug.Proposer, f func() bool) *Maintainer {
	return &Maintainer{
		self:   m,
		source: s,
		roster: r,
		prober: p,
		ledger: l,
		roots:  f,
		heard:  map[string]time.Time{},
	}
}

// Run proposes rings until c ends.
func (g *Maintainer) Run(c context.Context) error {
	for bulrushlug.Sleep(c, lookPause) == nil {
		if g.roots() && g.source.Fresh() {
			g.look(c)
		}
	}
	return nil
}

func (g *Maintainer) look(c context.Context) {
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
func (g *Maintainer) pause(now bulrushlug.Ring, want []string) time.Duration {
	for _, n := range now.Members() {
		if !slices.Contains(want, n) {
			return leavePause
		}
	}
	return ringPause
}

// Propose writes the ring after now, without those members of l that f accepts, unless another ring came first.
func (g *Maintainer) Propose(c context.Context, now bulrushlug.Ring, l []string, f func(n string) bool) error {
	l = slices.DeleteFunc(slices.Clone(l), f)
	id := uuid.NewString()
	_, err := g.ledger.Propose(c, func(x *bulrushlug.Config) (bulrushlug.Change, error) {
		if x.Ring().Epoch() != now.Epoch() || slices.Equal(x.Ring().Members(), l) {
			return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindConflict, "ring %d came first", x.Ring().Epoch())
		}
		return bulrushlug.NewChange(id, author, x.Ring().DeltaTo(l)), nil
	})
	return err
}

// want returns the members that the ring should have, sorted by name.
//
// Before the first ring, these are all entries that answer. Later each zone looks after its own entries, and
// after those of the zones that follow it up to the first one in which an entry answers.
func (g *Maintainer) want(c context.Context, now bulrushlug.Ring) []string {
	zones := g.byZone()
	duty := g.duty(c, zones, now.Epoch() == 0)
	var w []string
	for z, l := range zones {
		for _, m := range l {
			if duty[z] && g.answers(c, m) || !duty[z] && slices.Contains(now.Members(), m.Name()) {
				w = append(w, m.Name())
			}
		}
	}
	slices.Sort(w)
	return w
}

// byZone returns the entries that stay, by zone.
func (g *Maintainer) byZone() map[string][]bulrushlug.Member {
	f := g.source.Config()
	l := map[string][]bulrushlug.Member{}
	for _, m := range g.roster.Members() {
		if m.Role() == bulrushlug.RoleEntry && !m.Leaving() && !f.VM(m.Name()).Draining() {
			l[m.Zone()] = append(l[m.Zone()], m)
		}
	}
	return l
}

// duty returns the zones that the process looks after.
func (g *Maintainer) duty(c context.Context, zones map[string][]bulrushlug.Member, all bool) map[string]bool {
	names := slices.Sorted(maps.Keys(zones))
	own := slices.Index(names, g.self.Zone())
	d := map[string]bool{g.self.Zone(): true}
	for i := 1; i < len(names); i++ {
		z := names[(max(0, own)+i)%len(names)]
		if !all && slices.ContainsFunc(zones[z], func(m bulrushlug.Member) bool { return g.answers(c, m) }) {
			break
		}
		d[z] = true
	}
	return d
}

// answers reports whether m answered within deadAfter.
func (g *Maintainer) answers(c context.Context, m bulrushlug.Member) bool {
	if m.Name() == g.self.Name() {
		return true
	}
	c, stop := context.WithTimeout(c, probeTime)
	defer stop()
	t, seen := g.heard[m.Name()]
	if g.prober.Probe(c, m.Address()) == nil {
		g.heard[m.Name()] = time.Now()
		return true
	}
	return seen && time.Since(t) < deadAfter
}
