// Package home holds the rate-limit token buckets of the organisations that this process is the home of.
//
// The home of an organisation is the process that owns its token bucket: the first member of the newest ring, by
// rendezvous hashing, that is still on the VM list. A process grants tokens only within the staleness bound of its
// configuration, which acts as a lease: a process that missed a ring stops before the next home starts.
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
	shardCount           = 64
	releaseRetryInterval = 200 * time.Millisecond                               // Least time between release requests for one organisation.
	grantExtension       = 1500 * time.Millisecond                              // Time for which a home keeps granting after it read the next ring.
	firstTokenTimeout    = time.Second                                          // Longest time for which a new home waits for its first token.
	takeoverDelay        = fresh.MaxAge + grantExtension + 500*time.Millisecond // Time after which no previous home can still grant.
)

// Server answers admission requests from the token buckets of this process.
type Server struct {
	self        string
	started     time.Time // When this process began; evidence from before may be older than its own grants.
	source      bulrushlug.ConfigSource
	roster      bulrushlug.Roster
	messenger   bulrushlug.Messenger
	counts      *expvar.Map
	shards      [shardCount]shard
	mu          sync.RWMutex // Guards the fields below.
	current     term         // Newest accepted ring: one that a majority of the zones holds.
	previous    term         // Ring one epoch before current; its epoch is zero if this process never had it.
	newestEpoch uint64       // Epoch of the newest ring read, whether accepted or not.
	ringless    bool         // This process published a configuration without a ring.
	first       bool         // This process knows that no home granted before the first ring.
	grantUntil  time.Time    // Time until which the process may grant under a ring older than newestEpoch.
}

// term is a ring and the time since which it is in force for this process.
type term struct {
	ring      bulrushlug.Ring
	adoptedAt time.Time // When this process learned that the ring is accepted.
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the token bucket of one organisation; one token admits one request.
type bucket struct {
	epoch              uint64    // Ring under which this process grants; zero while it does not.
	tokens             float64   // At least zero and at most the burst.
	refilledAt         time.Time // When tokens was last computed.
	releaseRequestedAt time.Time // When a release was last requested from the previous home.
}

// New returns the token bucket server of the process on VM n.
func New(n string, f bulrushlug.ConfigSource, g bulrushlug.Roster, m bulrushlug.Messenger, counts *expvar.Map) *Server {
	h := &Server{self: n, started: time.Now(), source: f, roster: g, messenger: m, counts: counts}
	for i := range h.shards {
		h.shards[i].buckets = map[string]*bucket{}
	}
	return h
}

// currentTerm returns the ring in force and the one before, after adopting the newest ring if it is accepted.
func (h *Server) currentTerm() (now, prev term) {
	f := h.source.Config()
	h.mu.RLock()
	now, prev = h.current, h.previous
	h.mu.RUnlock()
	x, ok := f.LatestChange("ring")
	if !ok || f.Ring().Epoch() <= now.ring.Epoch() || h.source.Accepted() < x.Revision() {
		return now, prev
	}
	return h.adopt(f.Ring())
}

// adopt makes r the current ring if it is newer.
func (h *Server) adopt(r bulrushlug.Ring) (now, prev term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Epoch() > h.current.ring.Epoch() {
		h.previous = term{}
		if r.Epoch() == h.current.ring.Epoch()+1 {
			h.previous = h.current
		}
		h.current = term{ring: r, adoptedAt: time.Now()}
	}
	return h.current, h.previous
}

// Owner returns the VM that is the home of organisation o under the current ring.
func (h *Server) Owner(o string) string {
	now, _ := h.currentTerm()
	return h.owner(now.ring, o)
}

// Member returns the VM called n.
func (h *Server) Member(n string) (bulrushlug.Member, bool) { return h.roster.Member(n) }

func (h *Server) owner(r bulrushlug.Ring, o string) string {
	return rank.First(o, r.Members(), func(n string) bool { return n == h.self || !h.roster.Gone(n) })
}

// Receive handles the admission and release requests in m; it also checks for a newly accepted ring.
func (h *Server) Receive(m bulrushlug.Message) {
	h.currentTerm()
	if a := m.AdmissionRequest(); a != nil {
		h.messenger.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageGrant(h.Grant(*a))))
	}
	if r := m.Release(); r != nil {
		if b, ok := h.release(*r); ok {
			h.messenger.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageReleased(bulrushlug.NewReleased(*r, b))))
		}
	}
	if r := m.Released(); r != nil {
		h.receiveReleased(*r)
	}
}

func (h *Server) shard(o string) *shard { return &h.shards[xxhash.Sum64String(o)%shardCount] }

// Grant answers a with up to the requested number of tokens, or with a refusal if this process is not the home yet.
func (h *Server) Grant(a bulrushlug.AdmissionRequest) bulrushlug.Grant {
	o, ok := h.source.Config().Organisation(a.Organisation())
	now, prev := h.currentTerm()
	if !ok || !h.source.Fresh() || h.owner(now.ring, o.Name()) != h.self || h.grantExpired(now) {
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

// ConfigChanged handles a new configuration f; t is the newest time at which the previous one was known to be current.
//
// If no ring existed after this process started, nothing was granted before the first one. A process that was out of
// contact for too long gets a grantUntil in the past and stops granting at once, since the
// next home may have started.
func (h *Server) ConfigChanged(f *bulrushlug.Config, t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := f.Ring().Epoch()
	h.ringless = h.ringless || e == 0
	if e <= h.newestEpoch {
		return
	}
	h.first = e == 1 && h.ringless && t.After(h.started)
	u := time.Now().Add(grantExtension)
	if x := t.Add(fresh.MaxAge + grantExtension); x.Before(u) {
		u = x
	}
	if h.newestEpoch <= h.current.ring.Epoch() || u.Before(h.grantUntil) {
		h.grantUntil = u
	}
	h.newestEpoch = e
}

// isFirst reports whether no home granted before the first ring, as far as this process knows.
func (h *Server) isFirst() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.first
}

// grantExpired reports whether a ring newer than t was read so long ago that the next home may already grant.
func (h *Server) grantExpired(t term) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.newestEpoch > t.ring.Epoch() && !time.Now().Before(h.grantUntil)
}

// acquire reports whether this process may grant from b; the caller holds the shard's lock.
//
// The first home of an organisation starts with its burst. Without the balance of the previous home, a later one starts
// with the tokens accrued since no other home could grant; before the first of them it is not ready, as it can't tell an
// organisation within its rate from one beyond it.
func (h *Server) acquire(b *bucket, o bulrushlug.Organisation, now, prev term) bool {
	e := now.ring.Epoch()
	soleSince := now.adoptedAt
	if e > 1 {
		soleSince = soleSince.Add(takeoverDelay)
	}
	switch {
	case b.epoch == e:
		return true
	case b.epoch != 0 && b.epoch == prev.ring.Epoch() && h.owner(prev.ring, o.Name()) == h.self:
		b.epoch = e
		return true
	case e == 1 && h.isFirst():
		b.reset(e, float64(o.Burst()))
		return true
	case !time.Now().Before(soleSince):
		n := o.Rate() * time.Since(soleSince).Seconds()
		if n < 1 && time.Since(soleSince) < firstTokenTimeout {
			return false
		}
		b.reset(e, n)
		return true
	}
	h.requestRelease(b, prev.ring, e, o.Name())
	return false
}

// requestRelease asks the home under the previous ring p to stop granting, at most once per releaseRetryInterval.
func (h *Server) requestRelease(b *bucket, p bulrushlug.Ring, e uint64, o string) {
	if time.Since(b.releaseRequestedAt) < releaseRetryInterval {
		return
	}
	n := h.owner(p, o)
	m, ok := h.roster.Member(n)
	if !ok || n == h.self {
		return
	}
	b.releaseRequestedAt = time.Now()
	h.messenger.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageRelease(bulrushlug.NewRelease(o, e))))
}

// release stops granting for the organisation of r and returns the tokens left in its bucket.
//
// The request proves that its ring is accepted. The result is false if this process has not read that ring yet or
// was not granting under the previous one.
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

// receiveReleased starts the bucket of r with the tokens that the previous home had left.
func (h *Server) receiveReleased(r bulrushlug.Released) {
	now, _ := h.currentTerm()
	s := h.shard(r.Organisation())
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[r.Organisation()]
	if ok && now.ring.Epoch() == r.Epoch() && b.epoch != r.Epoch() {
		b.reset(r.Epoch(), r.Balance())
	}
}

func (b *bucket) reset(e uint64, n float64) { b.epoch, b.tokens, b.refilledAt = e, n, time.Now() }

func (b *bucket) refill(o bulrushlug.Organisation) {
	t := time.Now()
	b.tokens = math.Min(float64(o.Burst()), b.tokens+o.Rate()*t.Sub(b.refilledAt).Seconds())
	b.refilledAt = t
}

// take removes up to n tokens; if there are fewer, it also returns the time until the next token.
func (b *bucket) take(o bulrushlug.Organisation, n uint32) (uint32, time.Duration) {
	b.refill(o)
	k := min(n, uint32(b.tokens))
	b.tokens -= float64(k)
	if k == n {
		return k, 0
	}
	return k, refillTime(o.Rate(), 1-b.tokens)
}

// maxRetryDelay bounds the retry delay; organisations with rate zero always get it.
const maxRetryDelay = time.Hour

func refillTime(rate, n float64) time.Duration {
	if rate <= 0 {
		return maxRetryDelay
	}
	return min(maxRetryDelay, time.Duration(n/rate*float64(time.Second)))
}
