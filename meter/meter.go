// Package meter counts the requests of organisations over all processes by what the others report.
package meter

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount = 8
	// startShare is the part of what is tolerated beyond a rate that all processes together may give out when they
	// start again; a second start within the same window still stays inside it.
	startShare = 0.25
	// recentTime is the age of its last admission up to which an organisation is in every report; by then a few reports
	// told of it, so that some may be lost.
	recentTime = 2 * time.Second
	// turnTime is the time for which the other organisations of one shard are in all reports; longer than the time
	// between two reports.
	turnTime = 600 * time.Millisecond
)

// Limiter admits requests within rate and burst of their organisation.
//
// Each process has one bucket an organisation, from which it takes what it admits and what others report. Between
// two rounds of reports it admits only its part of what is left, so that processes that don't hear each other never
// give out the same admissions. Of the rate it fills in only the part of those processes that it hears; each of the
// others may be admitting its own.
type Limiter struct {
	source bulrushlug.ConfigSource
	heard  func() (heard, all int) // Processes that count, this one included.
	boot   uint64                  // Unix milliseconds of the start of this process.
	beyond bulrushlug.Tolerance    // What is tolerated beyond rate and burst.
	full   bool                    // Buckets start full: nothing was admitted before.
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket // By organisation.
	peers   map[string]uint64  // Boot of each process that reported.
	round   map[string]bool    // Processes that reported since the last round ended.
}

// bucket counts one organisation.
type bucket struct {
	level    float64 // Admissions left; below zero after reports of others.
	at       time.Time
	admitted uint64            // Own admissions since the start; never falls.
	last     time.Time         // Last own admission.
	seen     map[string]uint64 // Admissions that other processes reported.
	started  bool              // The level was set.
	joined   bool              // The level includes what the others had admitted before the start.
	spent    float64           // Own admissions in this round.
}

// New returns a meter by the rates in f; full says that nothing was admitted before the start, t what is tolerated
// beyond rate and burst.
func New(f bulrushlug.ConfigSource, heard func() (heard, all int), boot uint64, full bool, t bulrushlug.Tolerance) *Limiter {
	m := &Limiter{source: f, heard: heard, boot: boot, full: full, beyond: t}
	for i := range m.shards {
		m.shards[i] = shard{buckets: map[string]*bucket{}, peers: map[string]uint64{}, round: map[string]bool{}}
	}
	return m
}

func (m *Limiter) shard(o string) *shard { return &m.shards[xxhash.Sum64String(o)%shardCount] }

func (s *shard) bucket(o string) *bucket {
	b, ok := s.buckets[o]
	if !ok {
		b = &bucket{at: time.Now(), seen: map[string]uint64{}}
		s.buckets[o] = b
	}
	return b
}

// Take admits one request of o.
func (m *Limiter) Take(_ context.Context, o string) error {
	g, ok := m.source.Config().Organisation(o)
	if !ok {
		return bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "the organisation %q does not exist", o)
	}
	s := m.shard(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(o)
	b.admitted++
	b.last = time.Now()
	if g.Rate() <= 0 {
		return nil
	}
	heard, all := m.heard()
	part := float64(heard) / float64(all)
	if !b.started {
		b.start(m.first(g, all), m.full)
	}
	b.fill(g, part)
	if b.level >= 1 && b.spent+1 <= max(1, (b.level+b.spent)/float64(heard)) {
		b.level--
		b.spent++
		return nil
	}
	b.admitted--
	w := time.Duration(max(1, 1-b.level) / (g.Rate() * part) * float64(time.Second))
	return bulrushlug.Errorf(bulrushlug.KindRateLimited, "%s is over its rate of %g a second: %.1f admissions left", o, g.Rate(), b.level).WithWait(w)
}

// first returns the admissions with which a bucket of g starts at one of n processes.
func (m *Limiter) first(g bulrushlug.Organisation, n int) float64 {
	if m.full {
		return float64(g.Burst())
	}
	return startShare * m.beyond.Requests(g.Rate(), float64(g.Burst())) / float64(n)
}

// start sets the level of a new bucket; full says that nothing was admitted before.
func (b *bucket) start(level float64, full bool) {
	b.started = true
	b.joined = full
	b.level += level
}

// fill adds what the rate gave since the last call.
func (b *bucket) fill(g bulrushlug.Organisation, part float64) {
	now := time.Now()
	limit := max(1, float64(g.Burst())*part)
	b.level = min(limit, b.level+g.Rate()*part*now.Sub(b.at).Seconds())
	b.at = now
}

// ApplyReport takes what the process of r admitted since its last report out of the buckets.
func (m *Limiter) ApplyReport(r bulrushlug.Report) {
	for _, x := range r.AdmissionCounts() {
		m.shard(x.Organisation()).reported(r.Member().Name(), r.Boot(), x, m.full || r.Boot() > m.boot)
	}
	heard, _ := m.heard()
	for i := range m.shards {
		m.shards[i].endRound(r.Member().Name(), heard-1)
	}
}

// endRound starts a new round once n other processes reported in this one.
func (s *shard) endRound(vm string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round[vm] = true
	if len(s.round) < n {
		return
	}
	clear(s.round)
	for _, b := range s.buckets {
		b.spent = 0
	}
}

// reported counts x of the process vm; later says that all of it was admitted after the start of this process.
func (s *shard) reported(vm string, boot uint64, x bulrushlug.AdmissionCount, later bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(x.Organisation())
	if old, ok := s.peers[vm]; ok && old != boot {
		for _, c := range s.buckets {
			delete(c.seen, vm)
			c.seen[vm] = 0
		}
	}
	s.peers[vm] = boot
	n, ok := b.seen[vm]
	if !ok && !later {
		b.join(x)
	} else if x.Admitted() > n {
		b.level -= float64(x.Admitted() - n)
	}
	b.seen[vm] = max(n, x.Admitted())
}

// join takes over the count of a process that is met for the first time.
func (b *bucket) join(x bulrushlug.AdmissionCount) {
	if !b.joined {
		b.joined, b.started = true, true
		b.at = time.Now()
		b.level = min(b.level+max(0, x.Level()), x.Level())
		return
	}
	b.level = min(b.level, x.Level())
}

// AdmissionCounts returns what this process admitted of organisations that it admitted lately, and by turns of the others.
func (m *Limiter) AdmissionCounts() []bulrushlug.AdmissionCount {
	now := time.Now()
	turn := int(now.UnixMilli()/turnTime.Milliseconds()) % shardCount
	var l []bulrushlug.AdmissionCount
	for i := range m.shards {
		l = append(l, m.shards[i].spendings(now, i == turn)...)
	}
	return l
}

// spendings returns what was admitted; all includes organisations without a late admission.
func (s *shard) spendings(now time.Time, all bool) (l []bulrushlug.AdmissionCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o, b := range s.buckets {
		if all || now.Sub(b.last) < recentTime {
			l = append(l, bulrushlug.NewAdmissionCount(o, b.admitted, b.level))
		}
	}
	return l
}
