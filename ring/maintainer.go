// Package ring keeps the membership ring up to date: it detects failed, leaving and new entries, and proposes rings.
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
	checkInterval    = 2 * time.Second  // Time between two checks of the entries.
	probeTimeout     = time.Second      // Timeout of one probe.
	deadAfter        = 4 * time.Second  // Time without a response after which an entry counts as failed.
	minRingInterval  = 30 * time.Second // Least time between two rings that only add entries.
	minLeaveInterval = 15 * time.Second // Least time before a ring that also removes entries.
	author           = "ring"           // Author of the changes in the configuration log.
)

// Maintainer is the failure detector for the entries of its own availability zone, and of zones in which no entry
// answers; it proposes a ring when the wanted members change.
type Maintainer struct {
	self         bulrushlug.Member
	source       bulrushlug.ConfigSource
	roster       bulrushlug.Roster
	prober       bulrushlug.Prober
	proposer     bulrushlug.Proposer
	active       func() bool          // Reports whether this process maintains the ring now.
	lastResponse map[string]time.Time // When each entry last answered a probe; used only by Run.
	epoch        uint64               // Epoch of the newest ring seen; used only by Run.
	epochSince   time.Time            // When that ring was first seen.
}

// New returns the maintainer of the entry m, which is active while f returns true.
func New(m bulrushlug.Member, s bulrushlug.ConfigSource, r bulrushlug.Roster, p bulrushlug.Prober, l bulrushlug.Proposer, f func() bool) *Maintainer {
	return &Maintainer{
		self:         m,
		source:       s,
		roster:       r,
		prober:       p,
		proposer:     l,
		active:       f,
		lastResponse: map[string]time.Time{},
	}
}

// Run checks the entries and proposes rings until c ends.
func (g *Maintainer) Run(c context.Context) error {
	for bulrushlug.Sleep(c, checkInterval) == nil {
		if g.active() && g.source.Fresh() {
			g.check(c)
		}
	}
	return nil
}

func (g *Maintainer) check(c context.Context) {
	current := g.source.Config().Ring()
	if current.Epoch() != g.epoch {
		g.epoch, g.epochSince = current.Epoch(), time.Now()
	}
	w := g.wantedMembers(c, current)
	if slices.Equal(w, current.Members()) || len(w) == 0 {
		return
	}
	if current.Epoch() > 0 && time.Since(g.epochSince) < g.minInterval(current, w) {
		return
	}
	_ = g.Propose(c, current, w, func(string) bool { return false })
}

// minInterval returns the least age of the current ring at which it is replaced; it is shorter if an entry is removed,
// which must not wait long.
func (g *Maintainer) minInterval(current bulrushlug.Ring, want []string) time.Duration {
	for _, n := range current.Members() {
		if !slices.Contains(want, n) {
			return minLeaveInterval
		}
	}
	return minRingInterval
}

// Propose writes the ring that follows current, with the members of l except those for which f is true; it fails with
// KindConflict if another ring was written first.
func (g *Maintainer) Propose(c context.Context, current bulrushlug.Ring, l []string, f func(n string) bool) error {
	l = slices.DeleteFunc(slices.Clone(l), f)
	id := uuid.NewString()
	_, err := g.proposer.Propose(c, func(x *bulrushlug.Config) (bulrushlug.Change, error) {
		if x.Ring().Epoch() != current.Epoch() || slices.Equal(x.Ring().Members(), l) {
			return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindConflict, "ring %d was written first", x.Ring().Epoch())
		}
		return bulrushlug.NewChange(id, author, x.Ring().DeltaTo(l)), nil
	})
	return err
}

// wantedMembers returns the members that the ring should have, sorted by name: in monitored zones the entries that are
// alive, in other zones those that the current ring already has.
func (g *Maintainer) wantedMembers(c context.Context, current bulrushlug.Ring) []string {
	zones := g.byZone()
	d := g.monitoredZones(c, zones, current.Epoch() == 0)
	var w []string
	for z, l := range zones {
		for _, m := range l {
			if d[z] && g.alive(c, m) || !d[z] && slices.Contains(current.Members(), m.Name()) {
				w = append(w, m.Name())
			}
		}
	}
	slices.Sort(w)
	return w
}

// byZone returns the entries that are neither leaving nor draining, by zone.
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

// monitoredZones returns the zones whose entries this process monitors: its own and those that follow it in name order,
// up to the first in which an entry answers; all of them if all is true, before the first ring.
func (g *Maintainer) monitoredZones(c context.Context, zones map[string][]bulrushlug.Member, all bool) map[string]bool {
	names := slices.Sorted(maps.Keys(zones))
	own := slices.Index(names, g.self.Zone())
	d := map[string]bool{g.self.Zone(): true}
	for i := 1; i < len(names); i++ {
		z := names[(max(0, own)+i)%len(names)]
		if !all && slices.ContainsFunc(zones[z], func(m bulrushlug.Member) bool { return g.alive(c, m) }) {
			break
		}
		d[z] = true
	}
	return d
}

// alive probes m and reports whether it has answered within deadAfter.
func (g *Maintainer) alive(c context.Context, m bulrushlug.Member) bool {
	if m.Name() == g.self.Name() {
		return true
	}
	c, stop := context.WithTimeout(c, probeTimeout)
	defer stop()
	t, seen := g.lastResponse[m.Name()]
	if g.prober.Probe(c, m.Address()) == nil {
		g.lastResponse[m.Name()] = time.Now()
		return true
	}
	return seen && time.Since(t) < deadAfter
}
