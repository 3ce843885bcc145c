// Package spread passes configuration and its confirmations from process to process.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fresh"
	"bulrushlug.dev/bulrushlug/state"
)

const (
	askInterval  = 500 * time.Millisecond // Time between two questions to a peer.
	askJitter    = 50 * time.Millisecond
	askKept      = 5 * time.Second         // Age at which an unanswered question is forgotten.
	missedAsks   = 2                       // Unanswered questions after which a peer is passed over.
	packetLimit  = 32                      // Changes in one message.
	oldAge       = 1500 * time.Millisecond // Age of a confirmation from which other processes stand in for a root.
	rootFallback = 250 * time.Millisecond  // Added delay for each place in the order, before a process stands in for a root.
	fallbacks    = 2                       // Places in the order that may stand in for a root.
)

// Disseminator asks one peer at a time how new its configuration is, and answers such questions.
type Disseminator struct {
	self   bulrushlug.Member
	mesh   bulrushlug.Messenger
	state  *state.State
	rule   *fresh.Tracker
	puller bulrushlug.Puller
	tree   atomic.Pointer[tree]
	next   atomic.Uint64 // Number of the last question.
	pull   atomic.Bool   // A pull is under way.
	mu     sync.Mutex    // Guards the fields below.
	asked  map[uint64]question
	missed map[string]int // Questions to an address since its last answer.
}

type question struct {
	address string
	zone    string
	at      time.Time
}

// New returns the spread of the process m.
func New(m bulrushlug.Member, x bulrushlug.Messenger, s *state.State, r *fresh.Tracker, p bulrushlug.Puller) *Disseminator {
	d := &Disseminator{
		self:   m,
		mesh:   x,
		state:  s,
		rule:   r,
		puller: p,
		asked:  map[uint64]question{},
		missed: map[string]int{},
	}
	d.SetMembers([]bulrushlug.Member{m})
	s.OnChange(func(*bulrushlug.Config) { d.push() })
	return d
}

// SetMembers tells the spread the newest list of VMs.
func (d *Disseminator) SetMembers(l []bulrushlug.Member) {
	t := newTree(d.self.Name(), d.self.Zone(), l)
	d.tree.Store(t)
	z := []string{d.self.Zone()}
	for _, o := range t.others {
		z = append(z, o[0].Zone())
	}
	d.rule.SetZones(z, len(t.members) <= 1)
}

// ShouldPollStore reports whether the process should ask the key-value service now.
func (d *Disseminator) ShouldPollStore() bool {
	t := d.tree.Load()
	if t.self < 0 || t.isRoot() {
		return true
	}
	if t.self >= rootsMax+fallbacks {
		return false
	}
	a := d.rule.ConfirmationAge()
	return a < 0 || a > oldAge+time.Duration(t.self)*rootFallback
}

// Run asks peers until c ends.
func (d *Disseminator) Run(c context.Context) error {
	for n := 0; ; n++ {
		d.round(n)
		if err := bulrushlug.Sleep(c, askInterval+rand.N(askJitter)); err != nil {
			return nil
		}
	}
}

// round asks the parent in the trees of both roots by turns; roots ask roots of other zones.
func (d *Disseminator) round(n int) {
	d.forget()
	t := d.tree.Load()
	if t.isRoot() || t.self < 0 {
		d.roundOfRoot(t, n)
		return
	}
	m, ok := t.parent(n % min(rootsMax, len(t.members)))
	if !ok || d.silent(m.Address()) {
		m = t.members[rand.N(len(t.members))]
	}
	d.ask(m)
}

// roundOfRoot asks a root of another zone, and every other time a root of the own zone.
func (d *Disseminator) roundOfRoot(t *tree, n int) {
	if r := min(rootsMax, len(t.members)); n%2 == 0 && r > 0 {
		d.ask(t.members[max(0, t.self+1)%r])
	}
	if len(t.others) > 0 {
		d.ask(d.rootOf(t.others[rand.N(len(t.others))]))
	}
}

// rootOf returns a root of another zone, or any member if the roots are silent.
func (d *Disseminator) rootOf(l []bulrushlug.Member) bulrushlug.Member {
	m := l[rand.N(min(rootsMax, len(l)))]
	if d.silent(m.Address()) {
		return l[rand.N(len(l))]
	}
	return m
}

func (d *Disseminator) ask(m bulrushlug.Member) {
	if m.Name() == d.self.Name() {
		return
	}
	d.send(m)
}

// send sends a question with the parts o.
func (d *Disseminator) send(m bulrushlug.Member, o ...bulrushlug.MessageOption) {
	n := d.next.Add(1)
	d.mu.Lock()
	d.asked[n] = question{address: m.Address(), zone: m.Zone(), at: time.Now()}
	d.missed[m.Address()]++
	d.mu.Unlock()
	o = append(o, bulrushlug.MessageDigest(d.digest(n)))
	d.mesh.Send(m.Address(), bulrushlug.NewMessage(o...))
}

func (d *Disseminator) silent(a string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.missed[a] > missedAsks
}

func (d *Disseminator) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, q := range d.asked {
		if time.Since(q.at) > askKept {
			delete(d.asked, n)
		}
	}
	if len(d.missed) > 4*packetLimit {
		clear(d.missed)
	}
}

// digest describes the process's configuration.
func (d *Disseminator) digest(n uint64, o ...bulrushlug.DigestOption) bulrushlug.Digest {
	o = append(o,
		bulrushlug.DigestAccepted(d.rule.Accepted()),
		bulrushlug.DigestPollsStore(d.tree.Load().isRoot()))
	return bulrushlug.NewDigest(n, d.self.Zone(), d.state.Config().Revision(), o...)
}

// heard returns the ages of the zones heard, the process's own included.
func (d *Disseminator) heard() map[uint32]time.Duration {
	m := map[uint32]time.Duration{bulrushlug.ZoneHash(d.self.Zone()): 0}
	for z, a := range d.rule.ZoneAges() {
		if z != d.self.Zone() {
			m[bulrushlug.ZoneHash(z)] = a
		}
	}
	return m
}

// Receive handles the parts of m that concern the configuration.
func (d *Disseminator) Receive(m bulrushlug.Message) {
	l := m.Changes()
	if len(l) > 0 {
		d.rule.ObserveRevision(l[len(l)-1].Revision())
		d.state.Apply(l)
	}
	g := m.Digest()
	if g == nil {
		return
	}
	d.rule.ObserveRevision(g.Revision())
	d.rule.ObserveAccepted(g.Accepted())
	if g.Reply() {
		d.answered(*g)
	} else {
		d.answer(m.Address(), *g)
	}
	if d.state.Config().Revision() >= g.Revision() {
		return
	}
	if g.Reply() && len(l) == 0 {
		d.catchUp(m.Address())
		return
	}
	d.ask(bulrushlug.NewMember(m.From(), m.Address(), "", g.Zone(), ""))
}

// answer replies to the question g with the changes that the asker lacks.
func (d *Disseminator) answer(a string, g bulrushlug.Digest) {
	r := []bulrushlug.DigestOption{
		bulrushlug.DigestReply(true),
		bulrushlug.DigestAges(d.rule.ConfirmationAge(), d.rule.MajorityAge()),
	}
	if g.PollsStore() {
		r = append(r, bulrushlug.DigestHeard(d.heard()))
	}
	o := []bulrushlug.MessageOption{bulrushlug.MessageDigest(d.digest(g.Sequence(), r...))}
	if l, ok := d.state.Since(g.Revision(), packetLimit); ok && len(l) > 0 {
		o = append(o, bulrushlug.MessageChanges(l))
	}
	d.mesh.Send(a, bulrushlug.NewMessage(o...))
}

// answered dates the evidence in g by when the question was sent, so that delays only make it older.
func (d *Disseminator) answered(g bulrushlug.Digest) {
	d.mu.Lock()
	q, ok := d.asked[g.Sequence()]
	delete(d.asked, g.Sequence())
	delete(d.missed, q.address)
	d.mu.Unlock()
	if !ok {
		return
	}
	d.rule.ObserveZone(q.zone, q.at, g.Revision())
	if g.Age() >= 0 {
		d.rule.Confirm(q.at.Add(-g.Age()), g.Revision())
	}
	if g.Majority() >= 0 {
		d.rule.ObserveMajority(q.at.Add(-g.Majority()), g.Revision())
	}
	for z, a := range g.Heard() {
		d.rule.ObserveZoneHash(z, q.at.Add(-a))
	}
}

// catchUp fetches the whole configuration from the process at a.
func (d *Disseminator) catchUp(a string) {
	if !d.pull.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.pull.Store(false)
		c, stop := context.WithTimeout(context.Background(), fresh.MaxAge)
		defer stop()
		f, err := d.puller.Pull(c, a, d.state.Config().Revision())
		if err == nil {
			d.state.Restore(f)
		}
	}()
}

// push sends the newest change to the children in all trees.
func (d *Disseminator) push() {
	go func() {
		r := d.state.Config().Revision()
		if r == 0 {
			return
		}
		l, ok := d.state.Since(r-1, 1)
		if !ok {
			return
		}
		for _, m := range d.pushTargets() {
			d.send(m, bulrushlug.MessageChanges(l))
		}
	}()
}

func (d *Disseminator) pushTargets() []bulrushlug.Member {
	t := d.tree.Load()
	var l []bulrushlug.Member
	for i := range min(rootsMax, len(t.members)) {
		l = append(l, t.children(i)...)
	}
	return l
}

// Announce sends the newest configuration to a root of every zone; the writer of a change does so.
func (d *Disseminator) Announce() {
	t := d.tree.Load()
	for i := range min(rootsMax, len(t.members)) {
		d.ask(t.members[i])
	}
	for _, o := range t.others {
		d.ask(d.rootOf(o))
	}
}
