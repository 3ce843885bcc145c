// Package fair compares the work that organisations got lately with what they are entitled to.
package fair

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fade"
)

const (
	shardCount = 8
	// memory is the time constant with which work is forgotten: an organisation that was idle for longer has no claim to
	// what it did not use.
	memory = 2 * time.Second
	// excess is the part of its share that an organisation has got if it exceeds it; the work of one varies.
	excess   = 1.25
	meanTime = 50 * time.Millisecond // Age up to which the mean of all organisations is used.
)

// Shares are token counters of organisations, as in fair scheduling by virtual token counters, but over the recent past: who
// got the least for its weight goes first, so shares even out, and what one does not ask for goes to the others.
//
// Load pattern: an organisation within its rate asks for several times its usual while all room is taken; by count or order
// of arrival, all others would lose as large a part of their requests.
type Shares struct {
	source   bulrushlug.ConfigSource
	lastMean atomic.Pointer[mean]
	shards   [shardCount]shard
}

// mean is the recent work of all organisations for each unit of weight.
type mean struct {
	at    time.Time
	value float64
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account // By organisation.
}

// account is the work of one organisation.
type account struct {
	own    uint64   // Tokens charged by this process since its start; never decreases.
	recent fade.Sum // Tokens charged by all processes.
	remote map[string]remoteWork
}

// remoteWork is what the process on one VM reported last.
type remoteWork struct{ boot, work uint64 }

// New returns shares without any work; the weight of an organisation is its rate by f.
func New(f bulrushlug.ConfigSource) *Shares {
	s := &Shares{source: f}
	for i := range s.shards {
		s.shards[i].accounts = map[string]*account{}
	}
	return s
}

func (s *Shares) shard(o string) *shard { return &s.shards[xxhash.Sum64String(o)%shardCount] }

// account returns the account of o; the caller holds the lock.
func (h *shard) account(o string) *account {
	a, ok := h.accounts[o]
	if !ok {
		a = &account{remote: map[string]remoteWork{}}
		h.accounts[o] = a
	}
	return a
}

// Charge counts work for organisation o.
func (s *Shares) Charge(o string, work float64) {
	h := s.shard(o)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(o)
	a.own += uint64(work)
	a.recent.Add(time.Now(), work, memory)
}

// Used returns the recent work of o divided by its weight.
func (s *Shares) Used(o string) float64 {
	h := s.shard(o)
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.accounts[o]; ok {
		return a.used(time.Now()) / s.weight(o)
	}
	return 0
}

// used returns the recent work at t, zero once less than one token is left of it.
func (a *account) used(t time.Time) float64 {
	if v := a.recent.Value(t, memory); v >= 1 {
		return v
	}
	return 0
}

// Exceeds reports whether o got more than its share of the recent work for its weight, compared with all organisations that
// had any.
func (s *Shares) Exceeds(o string) bool {
	return s.Used(o) > excess*s.mean()
}

// mean returns the recent work of all organisations for each unit of weight, computed again after meanTime. It forgets those
// that no longer exist and have none.
func (s *Shares) mean() float64 {
	now := time.Now()
	if m := s.lastMean.Load(); m != nil && now.Sub(m.at) < meanTime {
		return m.value
	}
	work, weight := 0.0, 0.0
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		for n, a := range h.accounts {
			if v := a.used(now); v > 0 {
				work, weight = work+v, weight+s.weight(n)
			} else if !s.exists(n) {
				delete(h.accounts, n)
			}
		}
		h.mu.Unlock()
	}
	m := &mean{at: now}
	if weight > 0 {
		m.value = work / weight
	}
	s.lastMean.Store(m)
	return m.value
}

// exists reports whether o is in the configuration, or none is known.
func (s *Shares) exists(o string) bool {
	c := s.source.Config()
	if c == nil {
		return true
	}
	_, ok := c.Organisation(o)
	return ok
}

// weight returns the rate of o, or one if it has none.
func (s *Shares) weight(o string) float64 {
	if c := s.source.Config(); c != nil {
		if g, ok := c.Organisation(o); ok && g.Rate() > 0 {
			return g.Rate()
		}
	}
	return 1
}

// Add returns l with the work of this process for each organisation.
func (s *Shares) Add(l []bulrushlug.AdmissionCount) []bulrushlug.AdmissionCount {
	for i, x := range l {
		h := s.shard(x.Organisation())
		h.mu.Lock()
		if a, ok := h.accounts[x.Organisation()]; ok {
			l[i] = x.WithWork(a.own)
		}
		h.mu.Unlock()
	}
	return l
}

// ApplyReport counts the work of the reporting process since its last report. What it did before its first report is not
// known to be recent and does not count.
func (s *Shares) ApplyReport(r bulrushlug.Report) {
	vm, boot, now := r.Member().Name(), r.Boot(), time.Now()
	for _, x := range r.AdmissionCounts() {
		if x.Work() == 0 {
			continue
		}
		h := s.shard(x.Organisation())
		h.mu.Lock()
		a := h.account(x.Organisation())
		l, ok := a.remote[vm]
		if ok && l.boot == boot && x.Work() > l.work {
			a.recent.Add(now, float64(x.Work()-l.work), memory)
		}
		if l.boot != boot || x.Work() > l.work {
			a.remote[vm] = remoteWork{boot, x.Work()}
		}
		h.mu.Unlock()
	}
}
