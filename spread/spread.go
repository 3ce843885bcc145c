// Package spread disseminates the configuration and the evidence of its freshness between processes.
//
// Changes are pushed down spanning trees in each availability zone; periodic digests repair what was lost
// (anti-entropy) and carry the evidence. The roots of the trees poll the key-value service; if they fail to confirm the
// configuration, the next processes in the rank order of the zone poll it too.
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
	digestInterval = 500 * time.Millisecond  // Time between two digest requests.
	digestJitter   = 50 * time.Millisecond   // Upper bound of the random addition to digestInterval.
	requestExpiry  = 5 * time.Second         // Age at which an unanswered request is dropped.
	maxUnanswered  = 2                       // Unanswered requests above which a peer counts as unresponsive.
	maxChanges     = 32                      // Largest number of changes in one message.
	fallbackAge    = 1500 * time.Millisecond // Age of the newest confirmation above which processes other than roots poll the key-value service.
	fallbackDelay  = 250 * time.Millisecond  // Added to fallbackAge for each position in the rank order of the zone.
	maxFallbacks   = 2                       // Number of processes after the roots in the rank order that may poll.
)

// Disseminator exchanges digests with one peer at a time and pushes new changes to others.
type Disseminator struct {
	self         bulrushlug.Member
	messenger    bulrushlug.Messenger
	state        *state.State
	tracker      *fresh.Tracker
	puller       bulrushlug.Puller
	tree         atomic.Pointer[tree]
	lastSequence atomic.Uint64 // Sequence number of the last digest request.
	pulling      atomic.Bool   // A pull of the whole configuration is in progress.
	mu           sync.Mutex    // Guards the fields below.
	pending      map[uint64]digestRequest
	unanswered   map[string]int // Requests since the last reply, by address.
}

type digestRequest struct {
	address string
	zone    string
	sentAt  time.Time
}

// New returns the disseminator of the process m.
func New(m bulrushlug.Member, x bulrushlug.Messenger, s *state.State, r *fresh.Tracker, p bulrushlug.Puller) *Disseminator {
	d := &Disseminator{
		self:       m,
		messenger:  x,
		state:      s,
		tracker:    r,
		puller:     p,
		pending:    map[uint64]digestRequest{},
		unanswered: map[string]int{},
	}
	d.SetMembers([]bulrushlug.Member{m})
	s.OnChange(func(*bulrushlug.Config) { d.push() })
	return d
}

// SetMembers rebuilds the trees for a new VM list.
func (d *Disseminator) SetMembers(l []bulrushlug.Member) {
	t := newTree(d.self.Name(), d.self.Zone(), l)
	d.tree.Store(t)
	z := []string{d.self.Zone()}
	for _, o := range t.otherZones {
		z = append(z, o[0].Zone())
	}
	d.tracker.SetZones(z, len(t.members) <= 1)
}

// ShouldPollStore reports whether this process should read from the key-value service now. Roots and processes that are
// not on the VM list always do, and the maxFallbacks processes after the roots once the newest confirmation is too old.
func (d *Disseminator) ShouldPollStore() bool {
	t := d.tree.Load()
	if t.self < 0 || t.isRoot() {
		return true
	}
	if t.self >= maxRoots+maxFallbacks {
		return false
	}
	a := d.tracker.ConfirmationAge()
	return a < 0 || a > fallbackAge+time.Duration(t.self)*fallbackDelay
}

// Run sends digest requests until c ends.
func (d *Disseminator) Run(c context.Context) error {
	for n := 0; ; n++ {
		d.round(n)
		if err := bulrushlug.Sleep(c, digestInterval+rand.N(digestJitter)); err != nil {
			return nil
		}
	}
}

// round sends a digest request to this process's parent in one tree, alternating between the trees. Roots and processes
// that are not on the VM list query roots instead.
func (d *Disseminator) round(n int) {
	d.expireRequests()
	t := d.tree.Load()
	if t.isRoot() || t.self < 0 {
		d.rootRound(t, n)
		return
	}
	m, ok := t.parent(n % min(maxRoots, len(t.members)))
	if !ok || d.unresponsive(m.Address()) {
		m = t.members[rand.N(len(t.members))]
	}
	d.requestDigest(m)
}

// rootRound queries a root of another zone, and in every second round also a root of this process's own zone.
func (d *Disseminator) rootRound(t *tree, n int) {
	if r := min(maxRoots, len(t.members)); n%2 == 0 && r > 0 {
		d.requestDigest(t.members[max(0, t.self+1)%r])
	}
	if len(t.otherZones) > 0 {
		d.requestDigest(d.pickRoot(t.otherZones[rand.N(len(t.otherZones))]))
	}
}

// pickRoot returns a random root of l, the members of one zone, or any member if that root is unresponsive.
func (d *Disseminator) pickRoot(l []bulrushlug.Member) bulrushlug.Member {
	m := l[rand.N(min(maxRoots, len(l)))]
	if d.unresponsive(m.Address()) {
		return l[rand.N(len(l))]
	}
	return m
}

func (d *Disseminator) requestDigest(m bulrushlug.Member) {
	if m.Name() == d.self.Name() {
		return
	}
	d.send(m)
}

// send sends a digest request together with the message parts o.
func (d *Disseminator) send(m bulrushlug.Member, o ...bulrushlug.MessagePart) {
	n := d.lastSequence.Add(1)
	d.mu.Lock()
	d.pending[n] = digestRequest{address: m.Address(), zone: m.Zone(), sentAt: time.Now()}
	d.unanswered[m.Address()]++
	d.mu.Unlock()
	o = append(o, bulrushlug.MessageDigest(d.digest(n)))
	d.messenger.Send(m.Address(), bulrushlug.NewMessage(o...))
}

func (d *Disseminator) unresponsive(a string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unanswered[a] > maxUnanswered
}

func (d *Disseminator) expireRequests() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, q := range d.pending {
		if time.Since(q.sentAt) > requestExpiry {
			delete(d.pending, n)
		}
	}
	if len(d.unanswered) > 4*maxChanges {
		clear(d.unanswered)
	}
}

// digest returns digest n of this process.
func (d *Disseminator) digest(n uint64, o ...bulrushlug.DigestOption) bulrushlug.Digest {
	o = append(o,
		bulrushlug.DigestAccepted(d.tracker.Accepted()),
		bulrushlug.DigestPollsStore(d.tree.Load().isRoot()))
	return bulrushlug.NewDigest(n, d.self.Zone(), d.state.Config().Revision(), o...)
}

// zoneAges returns the age of the last contact with each zone by ZoneHash; zero for the process's own.
func (d *Disseminator) zoneAges() map[uint32]time.Duration {
	m := map[uint32]time.Duration{bulrushlug.ZoneHash(d.self.Zone()): 0}
	for z, a := range d.tracker.ZoneAges() {
		if z != d.self.Zone() {
			m[bulrushlug.ZoneHash(z)] = a
		}
	}
	return m
}

// Receive handles the changes and the digest in m, and requests what this process lacks.
func (d *Disseminator) Receive(m bulrushlug.Message) {
	l := m.Changes()
	if len(l) > 0 {
		d.tracker.ObserveRevision(l[len(l)-1].Revision())
		d.state.Apply(l)
	}
	g := m.Digest()
	if g == nil {
		return
	}
	d.tracker.ObserveRevision(g.Revision())
	d.tracker.ObserveAccepted(g.Accepted())
	if g.Reply() {
		d.receiveReply(*g)
	} else {
		d.reply(m.Address(), *g)
	}
	if d.state.Config().Revision() >= g.Revision() {
		return
	}
	if g.Reply() && len(l) == 0 {
		d.catchUp(m.Address())
		return
	}
	d.requestDigest(bulrushlug.NewMember(m.From(), m.Address(), "", g.Zone(), ""))
}

// reply answers the digest request g with this process's digest and the changes that the sender lacks.
func (d *Disseminator) reply(a string, g bulrushlug.Digest) {
	r := []bulrushlug.DigestOption{
		bulrushlug.DigestReply(true),
		bulrushlug.DigestAges(d.tracker.ConfirmationAge(), d.tracker.MajorityAge()),
	}
	if g.PollsStore() {
		r = append(r, bulrushlug.DigestZoneAges(d.zoneAges()))
	}
	o := []bulrushlug.MessagePart{bulrushlug.MessageDigest(d.digest(g.Sequence(), r...))}
	if l, ok := d.state.ChangesSince(g.Revision(), maxChanges); ok && len(l) > 0 {
		o = append(o, bulrushlug.MessageChanges(l))
	}
	d.messenger.Send(a, bulrushlug.NewMessage(o...))
}

// receiveReply dates the evidence in g from the time of the request, so that delays can only make it look older.
func (d *Disseminator) receiveReply(g bulrushlug.Digest) {
	d.mu.Lock()
	q, ok := d.pending[g.Sequence()]
	delete(d.pending, g.Sequence())
	delete(d.unanswered, q.address)
	d.mu.Unlock()
	if !ok {
		return
	}
	d.tracker.ObserveZone(q.zone, q.sentAt, g.Revision())
	if g.ConfirmationAge() >= 0 {
		d.tracker.Confirm(q.sentAt.Add(-g.ConfirmationAge()), g.Revision())
	}
	if g.MajorityAge() >= 0 {
		d.tracker.ObserveMajority(q.sentAt.Add(-g.MajorityAge()), g.Revision())
	}
	for z, a := range g.ZoneAges() {
		d.tracker.ObserveZoneHash(z, q.sentAt.Add(-a))
	}
}

// catchUp pulls the whole configuration from the process at a, unless a pull is in progress.
func (d *Disseminator) catchUp(a string) {
	if !d.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.pulling.Store(false)
		c, stop := context.WithTimeout(context.Background(), fresh.MaxAge)
		defer stop()
		f, err := d.puller.Pull(c, a, d.state.Config().Revision())
		if err == nil {
			d.state.Restore(f)
		}
	}()
}

// push sends the newest change to this process's children in all trees.
func (d *Disseminator) push() {
	go func() {
		r := d.state.Config().Revision()
		if r == 0 {
			return
		}
		l, ok := d.state.ChangesSince(r-1, 1)
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
	for i := range min(maxRoots, len(t.members)) {
		l = append(l, t.children(i)...)
	}
	return l
}

// Announce sends this process's digest to a root of every zone, which then fetches the change that the process wrote.
func (d *Disseminator) Announce() {
	t := d.tree.Load()
	for i := range min(maxRoots, len(t.members)) {
		d.requestDigest(t.members[i])
	}
	for _, o := range t.otherZones {
		d.requestDigest(d.pickRoot(o))
	}
}
