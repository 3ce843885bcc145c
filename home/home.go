// Package home keeps the token buckets of the organisations whose home a process is.
//
// The home of an organisation follows from the newest ring: it is the first member by rank that the VM
// list still shows. A process grants only while its configuration is confirmed, so a process that missed
// a ring stops before a new home starts.
package home

import (
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fresh"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	shardCount   = 64
	releaseRetry = 200 * time.Millisecond                          // Time between two requests to release an organisation.
	extension    = 1500 * time.Millisecond                         // Time for which a home goes on under its ring after it saw the next one.
	startAfter   = fresh.MaxAge + extension + 500*time.Millisecond // Time after which no earlier home can grant.
)

// Server answers questions for admissions.
type Server struct {
	self   string
	source bulrushlug.ConfigSource
	roster bulrushlug.Roster
	mesh   bulrushlug.Messenger
	counts *expvar.Map
	shards [shardCount]shard
	mu     sync.RWMutex // Guards the fields below.
	now    term         // Newest ring that a majority of the zones holds.
	prev   term         // Ring just before it; its epoch is zero if the process does not know it.
	seen   uint64       // Epoch of the newest ring read, accepted or not.
	until  time.Time    // Time up to which the home goes on under the ring before seen.
}

// term is the time in which one ring is in force.
type term struct {
	ring  bulrushlug.Ring
	known time.Time // When the process learned that the ring is accepted.
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket counts the admissions of one organisation.
type bucket struct {
	epoch  uint64    // Ring under which the process grants; zero before it does.
	tokens float64   // At least zero and at most the burst.
	at     time.Time // When tokens was worked out.
	asked  time.Time // When the previous home was last asked to release.
}

// New returns the home part of the process n.
func New(n string, f bulrushlug.ConfigSource, g bulrushlug.Roster, m bulrushlug.Messenger, counts *expvar.Map) *Server {
	h := &Server{self: n, source: f, roster: g, mesh: m, counts: counts}
	for i := range h.shards {
		h.shards[i].buckets = map[string]*bucket{}
	}
	return h
}

// term returns the ring in force, after adopting the newest one if that is accepted.
func (h *Server) term() (now, prev term) {
	f := h.source.Config()
	h.mu.RLock()
	now, prev = h.now, h.prev
	h.mu.RUnlock()
	x, ok := f.Last("ring")
	if !ok || f.Ring().Epoch() <= now.ring.Epoch() || h.source.Accepted() < x.Revision() {
		return now, prev
	}
	return h.adopt(f.Ring())
}

// adopt puts ring r in force.
func (h *Server) adopt(r bulrushlug.Ring) (now, prev term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Epoch() > h.now.ring.Epoch() {
		h.prev = term{}
		if r.Epoch() == h.now.ring.Epoch()+1 {
			h.prev = h.now
		}
		h.now = term{ring: r, known: time.Now()}
	}
	return h.now, h.prev
}

// Owner returns the home of organisation o under the newest ring.
func (h *Server) Owner(o string) string {
	now, _ := h.term()
	return h.owner(now.ring, o)
}

// Member returns the VM called n.
func (h *Server) Member(n string) (bulrushlug.Member, bool) { return h.roster.Member(n) }

func (h *Server) owner(r bulrushlug.Ring, o string) string {
	return rank.First(o, r.Members(), func(n string) bool { return n == h.self || !h.roster.Gone(n) })
}

// Receive handles the parts of m that concern homes; each message is an occasion to adopt a new ring.
func (h *Server) Receive(m bulrushlug.Message) {
	h.term()
	if a := m.AdmissionRequest(); a != nil {
		h.mesh.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageGrant(h.Grant(*a))))
	}
	if r := m.Release(); r != nil {
		if b, ok := h.release(*r); ok {
			h.mesh.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageReleased(bulrushlug.NewReleased(*r, b))))
		}
	}
	if r := m.Released(); r != nil {
		h.released(*r)
	}
}

func (h *Server) shard(o string) *shard { return &h.shards[xxhash.Sum64String(o)%shardCount] }

// Grant answers a; it grants nothing where the process is not, or not yet, the home.
func (h *Server) Grant(a bulrushlug.AdmissionRequest) bulrushlug.Grant {
	o, ok := h.source.Config().Organisation(a.Organisation())
	now, prev := h.term()
	if !ok || !h.source.Fresh() || h.owner(now.ring, o.Name()) != h.self || h.overdue(now) {
		h.counts.Add("refused", 1)
		return bulrushlug.NewGrantRefusal(a)
	}
	s := h.shard(o.Name())
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[o.Name()]
	if !ok {
		b = &bucket{}
		s.buckets[o.Name()] = b
	}
	if !h.acquire(b, o, now, prev) {
		h.counts.Add("notYetHome", 1)
		return bulrushlug.NewGrantRefusal(a)
	}
	n, w := b.take(o, a.Count())
	h.counts.Add("granted", int64(n))
	return bulrushlug.NewGrant(a, n, w)
}

// ConfigChanged tells the home that f is the configuration now; t is the newest time at which none after the process's
// earlier one was in force.
//
// A process that was out of touch stops at once: the next home may have started since.
func (h *Server) ConfigChanged(f *bulrushlug.Config, t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := f.Ring().Epoch()
	if e <= h.seen {
		return
	}
	u := time.Now().Add(extension)
	if x := t.Add(fresh.MaxAge + extension); x.Before(u) {
		u = x
	}
	if h.seen <= h.now.ring.Epoch() || u.Before(h.until) {
		h.until = u
	}
	h.seen = e
}

// overdue reports whether the process read the ring after t so long ago that its home may grant already.
func (h *Server) overdue(t term) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.seen > t.ring.Epoch() && !time.Now().Before(h.until)
}

// acquire reports whether the process may grant from b; the caller holds the shard's lock.
//
// A bucket that starts without the balance of the home before holds what has come in since no other home could grant.
func (h *Server) acquire(b *bucket, o bulrushlug.Organisation, now, prev term) bool {
	e := now.ring.Epoch()
	alone := now.known
	if e > 1 {
		alone = alone.Add(startAfter)
	}
	switch {
	case b.epoch == e:
		return true
	case b.epoch != 0 && b.epoch == prev.ring.Epoch() && h.owner(prev.ring, o.Name()) == h.self:
		b.epoch = e
		return true
	case !time.Now().Before(alone):
		b.start(e, o.Rate()*time.Since(alone).Seconds())
		return true
	}
	h.askRelease(b, prev.ring, e, o.Name())
	return false
}

// askRelease asks the home under the previous ring p to stop, now and then.
func (h *Server) askRelease(b *bucket, p bulrushlug.Ring, e uint64, o string) {
	if time.Since(b.asked) < releaseRetry {
		return
	}
	n := h.owner(p, o)
	m, ok := h.roster.Member(n)
	if !ok || n == h.self {
		return
	}
	b.asked = time.Now()
	h.mesh.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageRelease(bulrushlug.NewRelease(o, e))))
}

// release stops granting for the organisation of r, and returns what is left in its bucket.
//
// The request shows that its ring is accepted. It reports false where the process has not read that ring
// yet, or was not granting under the one before.
func (h *Server) release(r bulrushlug.Release) (float64, bool) {
	f := h.source.Config()
	if f.Ring().Epoch() != r.Epoch() {
		return 0, false
	}
	now, prev := h.adopt(f.Ring())
	s := h.shard(r.Organisation())
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[r.Organisation()]
	if !ok || now.ring.Epoch() != r.Epoch() || b.epoch == 0 || b.epoch != prev.ring.Epoch() {
		return 0, false
	}
	o, ok := f.Organisation(r.Organisation())
	if !ok {
		return 0, false
	}
	b.refill(o)
	b.epoch = 0
	return b.tokens, true
}

// released starts the bucket of r with what the previous home left.
func (h *Server) released(r bulrushlug.Released) {
	now, _ := h.term()
	s := h.shard(r.Organisation())
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[r.Organisation()]
	if ok && now.ring.Epoch() == r.Epoch() && b.epoch != r.Epoch() {
		b.start(r.Epoch(), r.Balance())
	}
}

func (b *bucket) start(e uint64, n float64) { b.epoch, b.tokens, b.at = e, n, time.Now() }

func (b *bucket) refill(o bulrushlug.Organisation) {
	t := time.Now()
	b.tokens = math.Min(float64(o.Burst()), b.tokens+o.Rate()*t.Sub(b.at).Seconds())
	b.at = t
}

// take takes up to n tokens; the wait is the time until the next one where fewer are left.
func (b *bucket) take(o bulrushlug.Organisation, n uint32) (uint32, time.Duration) {
	b.refill(o)
	k := min(n, uint32(b.tokens))
	b.tokens -= float64(k)
	if k == n {
		return k, 0
	}
	return k, waitFor(o.Rate(), 1-b.tokens)
}

// maxWait is the wait given to organisations whose rate is zero.
const maxWait = time.Hour

func waitFor(rate, n float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(n/rate*float64(time.Second)))
}
