// Package place chooses the backend servers for a request.
package place

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fleet"
	"bulrushlug.dev/bulrushlug/match"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	maxCandidates = 3    // Backend servers that one request may try.
	affinitySlack = 0.25 // Requests for each slot by which the server with a cached prefix may be busier than the mean.
	zoneBusy      = 0.9  // Requests for each slot up to which servers of the own zone are enough.
	delayFloor    = 5 * time.Millisecond
)

// Chooser orders the servers that may run a request, best first.
type Chooser interface {
	// Choose returns the servers of l in the order in which r should try them.
	Choose(r *bulrushlug.Request, l []fleet.View) []fleet.View
}

// Filter finds the servers that may run a request and has a chooser order them.
type Filter struct {
	source  bulrushlug.Source
	roster  bulrushlug.Roster
	fleet   *fleet.Fleet
	chooser Chooser
}

// New returns a filter that has c order the servers of f.
func New(s bulrushlug.Source, r bulrushlug.Roster, f *fleet.Fleet, c Chooser) *Filter {
	return &Filter{source: s, roster: r, fleet: f, chooser: c}
}

// Pass sets the candidates of r, or refuses it if there are none.
func (p *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	l := p.eligible(r)
	if len(l) == 0 {
		return bulrushlug.NewFault(bulrushlug.KindUnplaceable, "no backend server may run this request now")
	}
	l = p.chooser.Choose(r, l)
	var d []bulrushlug.Candidate
	for _, v := range l[:min(maxCandidates, len(l))] {
		d = append(d, bulrushlug.NewCandidate(v.Load().VM(), v.Load().Address()))
	}
	r.Place(d)
	return n.Run(c, r, s)
}

// eligible returns the servers that may run r; those that are silent or failed serve only where no others are left.
func (p *Filter) eligible(r *bulrushlug.Request) []fleet.View {
	f := p.source.Config()
	gone := p.leaving()
	var good, poor []fleet.View
	for _, v := range p.fleet.Offering(r) {
		l := v.Load()
		m := f.VM(l.VM())
		switch {
		case m.Draining() || gone[l.VM()] || match.Allowed(f, r, m, l.Zone(), l.Region()) != nil:
		case v.Live() && !v.Avoid():
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

func (p *Filter) leaving() map[string]bool {
	m := map[string]bool{}
	for _, x := range p.roster.Members() {
		if x.Leaving() {
			m[x.Name()] = true
		}
	}
	return m
}

// Balanced prefers the server that has the prompt's prefix cached, unless it is much busier than the mean;
// otherwise the less busy of two random servers, of the own zone while that has room.
type Balanced struct{ zone string }

// NewBalanced returns the chooser of an entry in zone z.
func NewBalanced(z string) *Balanced { return &Balanced{zone: z} }

// Choose returns the servers of l in the order in which r should try them.
func (b *Balanced) Choose(r *bulrushlug.Request, l []fleet.View) []fleet.View {
	shuffle(l)
	if r.Affinity() != 0 && !r.Batch() {
		if i := b.cached(r, l); i >= 0 {
			l[0], l[i] = l[i], l[0]
			b.second(l[1:])
			return l
		}
	}
	near := slices.DeleteFunc(slices.Clone(l), func(v fleet.View) bool { return v.Load().Zone() != b.zone })
	if len(near) > 0 && lightest(near).Busy() < zoneBusy {
		slices.SortStableFunc(l, func(x, y fleet.View) int { return b.distance(x) - b.distance(y) })
		b.second(l[:len(near)])
		return l
	}
	b.second(l)
	return l
}

func shuffle(l []fleet.View) {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
}

func lightest(l []fleet.View) fleet.View {
	return slices.MinFunc(l, func(x, y fleet.View) int { return compare(x.Busy(), y.Busy()) })
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (b *Balanced) distance(v fleet.View) int {
	if v.Load().Zone() == b.zone {
		return 0
	}
	return 1
}

// cached returns the place in l of the server that the prefix of r ranks first, or -1 if that is too busy.
func (b *Balanced) cached(r *bulrushlug.Request, l []fleet.View) int {
	var n []string
	var sum float64
	for _, v := range l {
		n = append(n, v.Load().VM())
		sum += v.Busy()
	}
	limit := min(1, sum/float64(len(l))+affinitySlack)
	f := rank.First(strconv.FormatUint(r.Affinity(), 16), n, func(x string) bool {
		i := slices.Index(n, x)
		return l[i].Busy() < limit
	})
	return slices.Index(n, f)
}

// second moves the cheaper of the first two servers to the front.
func (b *Balanced) second(l []fleet.View) {
	if len(l) > 1 && cost(l[1]) < cost(l[0]) {
		l[0], l[1] = l[1], l[0]
	}
}

// cost weighs how busy a server is by how slowly it answered.
func cost(v fleet.View) float64 {
	return (v.Busy() + 0.01) * max(v.Delay(), delayFloor).Seconds()
}
