// Package meter is a distributed token-bucket rate limiter: every process counts the requests of each organisation,
// and learns from reports what the others admitted.
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
	// restartShare is the part of the tolerance that all processes together may admit right after a restart; a second
	// restart within the same window still stays inside the tolerance.
	restartShare = 0.25
	// restartSpan is the time between the starts of processes that counts as one restart of all: each began with its part of
	// the same tokens.
	restartSpan = time.Second
	// recentTime is the time after its last request for which an organisation is in every report, so that its count
	// arrives even if a few reports are lost.
	recentTime = 2 * time.Second
	// turnInterval is the time for which reports also contain the idle organisations of one shard, before those of the
	// next shard (round robin). It is longer than the time between two reports.
	turnInterval = 600 * time.Millisecond
	// An organisation counts as contended from a level below contendedLevel until the level is recovered of its burst.
	// Within a rate, the level falls to just below one now and then.
	contendedLevel = 0.5
	recovered      = 0.9
	// uncontendedExtra is what a process may admit beyond its part in a round while an organisation is not contended.
	uncontendedExtra = 2
)

// Limiter admits requests within rate and burst of their organisation.
//
// Each process has a token bucket for each organisation and deducts what it admits and what others report. In a
// round of reports it admits its share of the level, and little more, so that partitioned processes do not admit the same
// tokens twice. A bucket refills only at the share of the rate that belongs to the processes heard, as the others may use
// the rest. Once a process is not heard any more, its share of what was there at its last reports, and of the tokens since,
// is deducted, as it may have used it.
type Limiter struct {
	source    bulrushlug.ConfigSource
	heard     func() (heard, all int) // Numbers of processes that this one hears and of all processes, both including itself.
	boot      uint64                  // Start of this process, Unix milliseconds.
	tolerance bulrushlug.Tolerance    // Tolerance beyond rate and burst.
	startFull bool                    // Buckets start full: nothing was admitted before the start.
	shards    [shardCount]shard
}

type shard struct {
	mu           sync.Mutex
	buckets      map[string]*bucket // By organisation.
	boots        map[string]uint64  // Boot of each process that reported, by VM.
	roundReports map[string]bool    // VMs of the processes that reported in this round.
	roundPart    float64            // Share of rate and burst that belongs to the processes heard in this round.
}

// bucket is the token bucket of one organisation.
type bucket struct {
	level          float64           // Tokens left; below zero after reports of other processes.
	refilledAt     time.Time         // When level was last computed.
	admitted       uint64            // Admissions of this process since its start; never falls.
	lastRequestAt  time.Time         // Last request at this process, admitted or not.
	remoteAdmitted map[string]uint64 // Admissions reported by other processes, by VM.
	initialised    bool              // The level was set.
	merged         bool              // The level includes what the others admitted before this process started.
	roundAdmitted  float64           // Admissions of this process in this round.
	contended      bool              // The level fell below contendedLevel and has not recovered since.
	part           float64           // Share of rate and burst at the last refill.
	sharedLevel    float64           // Level at sharedAt.
	sharedPart     float64           // Part at sharedAt; zero before the first refill.
	sharedAt       time.Time         // When all processes of part last reported, or the bucket was last full with nothing deducted before.
	spent          float64           // Deducted since sharedAt.
	lost           float64           // Tokens since sharedAt that came while the bucket was full.
}

// New returns a limiter that reads rates from f; full says that nothing was admitted before the start, and t is the
// tolerance beyond rate and burst.
func New(f bulrushlug.ConfigSource, heard func() (heard, all int), boot uint64, full bool, t bulrushlug.Tolerance) *Limiter {
	m := &Limiter{source: f, heard: heard, boot: boot, startFull: full, tolerance: t}
	for i := range m.shards {
		m.shards[i] = shard{buckets: map[string]*bucket{}, boots: map[string]uint64{}, roundReports: map[string]bool{}}
	}
	return m
}

func (m *Limiter) shard(o string) *shard { return &m.shards[xxhash.Sum64String(o)%shardCount] }

func (s *shard) bucket(o string) *bucket {
	b, ok := s.buckets[o]
	if !ok {
		b = &bucket{refilledAt: time.Now(), remoteAdmitted: map[string]uint64{}}
		s.buckets[o] = b
	}
	return b
}

// Take admits one request of o, or fails with KindRateLimited and a retry delay. It admits all requests of an
// organisation with rate zero, and fails with KindUnauthenticated if o does not exist.
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
	b.lastRequestAt = time.Now()
	if g.Rate() <= 0 {
		return nil
	}
	heard, all := m.heard()
	part := float64(heard) / float64(all)
	m.refill(b, g, part, all)
	if b.level >= 1 && b.roundAdmitted+1 <= b.share(g, heard, all) {
		b.spend(1)
		b.roundAdmitted++
		return nil
	}
	b.admitted--
	return bulrushlug.Errorf(bulrushlug.KindRateLimited, "organisation %s exceeds its rate of %g requests per second: %.1f admissions left", o, g.Rate(), b.level).WithRetryAfter(b.returnTime(g, part))
}

// share returns the requests that this process may admit in this round: its part of the level and uncontendedExtra,
// or the larger of its part and one while the organisation is contended or a process is not heard.
//
// Load patterns: requests of one organisation within its rate, of which a few reach the same one of many entries in one
// round; and requests beyond it, of which one reaches nearly every entry in each round. A round lasts until all have
// reported, so in a partition that nobody noticed yet, what is extra comes in the round that it interrupts and at most one more.
func (b *bucket) share(g bulrushlug.Organisation, heard, all int) float64 {
	if heard == 1 {
		return b.level + b.roundAdmitted
	}
	b.contended = b.level < contendedLevel || b.contended && b.level < recovered*float64(g.Burst())
	s := (b.level + b.roundAdmitted) / float64(heard)
	if b.contended || heard < all {
		return max(1, s)
	}
	return s + uncontendedExtra
}

// returnTime returns the time after which there will be a token, if nobody else takes it.
func (b *bucket) returnTime(g bulrushlug.Organisation, part float64) time.Duration {
	return time.Duration(max(1, 1-b.level) / (g.Rate() * part) * float64(time.Second))
}

// initialLevel returns the tokens with which a bucket of g starts at one of n processes.
func (m *Limiter) initialLevel(g bulrushlug.Organisation, n int) float64 {
	if m.startFull {
		return float64(g.Burst())
	}
	return restartShare * m.tolerance.Requests(g.Rate(), float64(g.Burst())) / float64(n)
}

// refill adds the tokens since the last call to b, the bucket of g at one of n processes, or its first ones; part is the
// share of rate and burst that this process may use. A bucket is filled from the first request or report on, as its level
// never exceeds the burst.
func (m *Limiter) refill(b *bucket, g bulrushlug.Organisation, part float64, n int) {
	if !b.initialised {
		b.initialise(m.initialLevel(g, n), m.startFull)
	}
	b.refill(g, part)
}

// initialise adds the first tokens to a new bucket; full says that nothing was admitted before the start.
func (b *bucket) initialise(level float64, full bool) {
	b.initialised = true
	b.merged = full
	b.level += level
	b.refilledAt = time.Now()
	b.startSpan()
}

// startSpan starts the span whose tokens are divided anew if fewer processes are heard.
func (b *bucket) startSpan() {
	b.sharedLevel, b.sharedPart, b.sharedAt, b.spent, b.lost = b.level, b.part, b.refilledAt, 0, 0
}

// spend deducts n admissions.
func (b *bucket) spend(n float64) {
	b.level -= n
	b.spent += n
}

// refill adds the tokens since the last call; part is the share of rate and burst that this process may use.
func (b *bucket) refill(g bulrushlug.Organisation, part float64) {
	now := time.Now()
	if part < b.part {
		b.deductUnheard(g, part, now)
	}
	b.part = part
	limit := max(1, float64(g.Burst())*part)
	l := b.level + g.Rate()*part*now.Sub(b.refilledAt).Seconds()
	b.level = min(limit, l)
	b.refilledAt = now
	switch {
	case b.level < limit:
	case b.spent == 0:
		b.startSpan()
	default:
		// The bucket may be full only here, if a process that is not heard has gone unnoticed.
		b.lost += l - limit
	}
}

// deductUnheard adds the tokens since the last refill, as if all were still heard, and deducts what belongs to those that
// are not: their share of the level when all reported and of the tokens since; part is the share of rate and burst that is
// left.
//
// Processes may be missed one after the other, so the share is that of all of them in all that was there.
func (b *bucket) deductUnheard(g bulrushlug.Organisation, part float64, now time.Time) {
	from := b.sharedPart
	if from == 0 {
		from = b.part
	}
	shared := b.sharedLevel * part / from
	if b.sharedLevel >= 1 {
		shared = max(1, shared)
	}
	left := shared - b.lost*part/from + g.Rate()*part*now.Sub(b.sharedAt).Seconds() - b.spent
	b.level = min(left, b.level+g.Rate()*b.part*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// ApplyReport deducts what the reporting process admitted since its last report from the buckets.
func (m *Limiter) ApplyReport(r bulrushlug.Report) {
	heard, all := m.heard()
	c := m.source.Config()
	for _, x := range r.AdmissionCounts() {
		var g bulrushlug.Organisation
		if c != nil {
			g, _ = c.Organisation(x.Organisation())
		}
		m.applyCount(r, x, g, float64(heard)/float64(all), all)
	}
	for i := range m.shards {
		m.shards[i].advanceRound(r.Member().Name(), heard-1, float64(heard)/float64(all))
	}
}

// advanceRound starts a new round once n other processes have reported in this one; part is the share of rate and burst
// that this process may use. A bucket that has not deducted yet what is not heard any more keeps its span.
//
// Once fewer processes are heard, all of them have to report anew: of those still counted as heard, some may have been cut off
// since they reported in this round.
func (s *shard) advanceRound(vm string, n int, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if part < s.roundPart {
		clear(s.roundReports)
	}
	s.roundPart = part
	s.roundReports[vm] = true
	if len(s.roundReports) < n {
		return
	}
	clear(s.roundReports)
	for _, b := range s.buckets {
		b.roundAdmitted = 0
		if b.part <= part {
			b.startSpan()
		}
	}
}

// applyCount deducts x, which r reports, from the bucket of g; part is the share of rate and burst that this one of n
// processes may use. The first tokens of a process that started together with this one are added once.
//
// Load pattern: all processes restart while an organisation asks for many times its rate. Before their first reports all
// admit; a process that started a little earlier cannot know yet what the others did, so its level says nothing.
func (m *Limiter) applyCount(r bulrushlug.Report, x bulrushlug.AdmissionCount, g bulrushlug.Organisation, part float64, n int) {
	s := m.shard(x.Organisation())
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(x.Organisation())
	if g.Rate() > 0 {
		m.refill(b, g, part, n)
	}
	later := m.startFull || r.Boot()+uint64(restartSpan.Milliseconds()) > m.boot
	if _, ok := b.remoteAdmitted[r.Member().Name()]; !ok && later && !m.startFull {
		b.level += m.initialLevel(g, n)
		b.startSpan()
	}
	s.deduct(b, r.Member().Name(), r.Boot(), x, later)
}

// deduct deducts x of the process on VM vm from b; later says that all of it was admitted after the start of this process or
// in the same restart of all.
// The caller holds the lock.
func (s *shard) deduct(b *bucket, vm string, boot uint64, x bulrushlug.AdmissionCount, later bool) {
	if old, ok := s.boots[vm]; ok && old != boot {
		for _, c := range s.buckets {
			delete(c.remoteAdmitted, vm)
			c.remoteAdmitted[vm] = 0
		}
	}
	s.boots[vm] = boot
	n, ok := b.remoteAdmitted[vm]
	if !ok && !later {
		b.mergeRemote(x)
	} else if x.Admitted() > n {
		b.spend(float64(x.Admitted() - n))
	}
	b.remoteAdmitted[vm] = max(n, x.Admitted())
	b.contended = b.contended || b.initialised && b.level < contendedLevel
}

// mergeRemote lowers the level to that of a process whose first report has admissions from before this one's start.
func (b *bucket) mergeRemote(x bulrushlug.AdmissionCount) {
	defer b.startSpan()
	if !b.merged {
		b.merged, b.initialised = true, true
		b.refilledAt = time.Now()
		b.level = min(b.level+max(0, x.Level()), x.Level())
		return
	}
	b.level = min(b.level, x.Level())
}

// AdmissionCounts returns the counts of organisations with recent requests and, of one shard in turn, of all others.
func (m *Limiter) AdmissionCounts() []bulrushlug.AdmissionCount {
	now := time.Now()
	turn := int(now.UnixMilli()/turnInterval.Milliseconds()) % shardCount
	var l []bulrushlug.AdmissionCount
	for i := range m.shards {
		l = append(l, m.shards[i].admissionCounts(now, i == turn)...)
	}
	return l
}

// admissionCounts returns the counts of organisations with recent requests; all adds those without any.
func (s *shard) admissionCounts(now time.Time, all bool) (l []bulrushlug.AdmissionCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o, b := range s.buckets {
		if all || now.Sub(b.lastRequestAt) < recentTime {
			l = append(l, bulrushlug.NewAdmissionCount(o, b.admitted, b.level))
		}
	}
	return l
}
