package poison

import (
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	maxSuspects = 256 // Suspects in one shard.
	// clearedLifetime is how long a part without crashes is kept, so that late reports of crashes before its last success
	// change nothing.
	clearedLifetime    = 10 * time.Second
	evaluationInterval = time.Second // Time after which what has expired is forgotten, if nothing else changes.
)

// shard holds the suspected parts of some scopes.
type shard struct {
	mu        sync.Mutex
	suspects  map[key]*suspect
	size      atomic.Int64 // Number of suspects; written under mu.
	evaluated time.Time    // Last call of evaluate.
	ends      *ends
	weighed   int64  // Version of ends at the last call of evaluate.
	added     uint64 // Crashes that were added to suspects.
}

type key struct{ scope, part uint64 }

// change is the begin or end of the quarantine of a part.
type change struct {
	part         uint64
	quarantine   time.Duration // Length of the quarantine; zero if it ended.
	servers      int           // Servers that ended on the part.
	requests     int           // Requests with the part on which they did.
	alternatives int           // Other parts that may be at fault instead.
	weight       float64       // Weight of the crashes.
	others       int           // Most servers that ended together with one of them without the part.
}

// outcome is the outcome of new evidence.
type outcome struct {
	reached bool // The evidence was new.
	cleared bool // A part with conclusive evidence was cleared.
	changes []change
}

// quarantined returns a part of p for which p is held back and the time until it is, which is zero if there is none, and
// whether p passes as a test. After a quarantine one request of the fleet does in each probeInterval, until the part is
// cleared or a further server ends. The processes, which tell each other, begin at different times by their seed.
func (s *shard) quarantined(p bulrushlug.Prompt, seed uint64, now time.Time) (part uint64, until time.Time, tests bool, l []change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weighed != s.ends.version.Load() {
		l = s.evaluate(now)
	}
	lacks := func(y uint64) bool { return !slices.Contains(p.Parts(), y) }
	own := uint64(0)
	if n := len(p.Parts()); n > 0 {
		own = p.Parts()[n-1]
	}
	var tested []*suspect
	for _, x := range p.Parts() {
		q := s.suspects[key{p.Scope(), x}]
		if q == nil || q.until.IsZero() || q.tests(own, now) || slices.ContainsFunc(q.alternatives, lacks) {
			continue
		}
		switch t := q.heldUntil(testDelay(seed, x)); {
		case !now.Before(t):
			tested = append(tested, q)
		case t.After(until):
			part, until = x, t
		}
	}
	if until.IsZero() {
		for _, q := range tested {
			q.tested, q.ownTest, q.ownRequest = now, now, own
		}
	}
	return part, until, until.IsZero() && len(tested) > 0, l
}

// testDelay returns the time after the end of a quarantine at which the process with the given seed begins its tests of a
// part.
func testDelay(seed, part uint64) time.Duration {
	b := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, seed), part)
	return time.Duration(xxhash.Sum64(b) % uint64(probeSpread))
}

// clear records that a server began to respond to p.
func (s *shard) clear(p bulrushlug.Prompt, now time.Time) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, cleared := false, false
	for _, x := range p.Parts() {
		if q := s.suspects[key{p.Scope(), x}]; q != nil {
			changed = q.succeed(now) || changed
			q.ownSuccess = now
			cleared = cleared || !q.until.IsZero()
		}
	}
	if !changed {
		return outcome{}
	}
	return outcome{reached: true, cleared: cleared, changes: s.evaluate(now)}
}

// suspect records that a server at the given address ended as it began to respond to p.
func (s *shard) suspect(p bulrushlug.Prompt, server, address uint64, now time.Time) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := p.Parts()
	last := len(l) - 1
	for i, x := range l {
		s.add(s.find(key{p.Scope(), x}, i == last), crash{server: server, address: address, request: l[last], at: now}, now)
	}
	return outcome{reached: true, changes: s.evaluate(now)}
}

// merge adds what another process reported.
func (s *shard) merge(l []bulrushlug.Suspect, now time.Time) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, x := range l {
		k := key{x.Scope(), x.Part()}
		q := s.suspects[k]
		if q == nil {
			if len(x.Crashes()) == 0 {
				continue
			}
			q = s.find(k, x.Own())
		}
		if d, ok := x.Success(); ok {
			changed = q.succeed(now.Add(-d)) || changed
		}
		if d, ok := x.Tested(); ok {
			q.tested = later(q.tested, now.Add(-d))
		}
		for _, y := range x.Crashes() {
			changed = s.add(q, reported(y, now), now) || changed
		}
	}
	if !changed {
		return outcome{}
	}
	return outcome{reached: true, changes: s.evaluate(now)}
}

// reported returns a crash that another process reported. Of an old one, the ends beside it are not reported any more.
func reported(y bulrushlug.Crash, now time.Time) crash {
	x := crash{server: y.Server(), address: y.Address(), request: y.Request(), at: now.Add(-y.Age()), others: int(y.Others()), settled: y.Age() > spreadTime}
	if x.address == 0 {
		x.address = x.server
	}
	return x
}

// add adds crash x to q and reports whether it was new.
func (s *shard) add(q *suspect, x crash, now time.Time) bool {
	if !q.add(x, now) {
		return false
	}
	s.added++
	q.added = s.added
	return true
}

// find returns the suspect k, which is new if there is none. If there is no room for it, the one whose last crash is the
// oldest goes.
func (s *shard) find(k key, own bool) *suspect {
	q := s.suspects[k]
	if q != nil {
		return q
	}
	if len(s.suspects) >= maxSuspects {
		s.evict()
	}
	q = &suspect{own: own}
	s.suspects[k] = q
	s.size.Store(int64(len(s.suspects)))
	return q
}

// evict removes the suspect without conclusive evidence whose last crash is the oldest, or the one of all if there is none.
// Of crashes at the same time, as many have that one process reports, the one that was added first is the oldest.
func (s *shard) evict() {
	var oldest key
	var p *suspect
	for k, q := range s.suspects {
		convicted, first := !q.until.IsZero(), p != nil && !p.until.IsZero()
		if p == nil || first && !convicted || first == convicted && q.older(p) {
			oldest, p = k, q
		}
	}
	delete(s.suspects, oldest)
}

// evaluate decides which parts are quarantined, forgets what is too old, and returns what changed.
func (s *shard) evaluate(now time.Time) (l []change) {
	for k, p := range s.suspects {
		p.expire(now)
		if len(p.crashes) == 0 && now.Sub(p.success) > clearedLifetime {
			delete(s.suspects, k)
		}
	}
	s.size.Store(int64(len(s.suspects)))
	s.evaluated, s.weighed = now, s.ends.version.Load()
	for k, p := range s.suspects {
		was := p.quarantined
		p.weigh(s.ends, now)
		p.until, p.alternatives = p.quarantineEnd(), nil
		if !p.until.IsZero() {
			p.alternatives = s.alternatives(k, p)
		}
		p.quarantined = now.Before(p.until)
		switch {
		case p.quarantined && !was:
			n, r := p.counts()
			w, o := p.weight()
			l = append(l, change{part: k.part, quarantine: p.until.Sub(now), servers: n, requests: r, alternatives: len(p.alternatives), weight: w, others: o})
		case was && !p.quarantined:
			l = append(l, change{part: k.part})
		}
	}
	return l
}

// alternatives returns the other parts of the same scope that cover the crashes of p.
func (s *shard) alternatives(k key, p *suspect) (l []uint64) {
	for x, q := range s.suspects {
		if x.scope == k.scope && x != k && !q.own && q.covers(p) {
			l = append(l, x.part)
		}
	}
	return l
}

// report returns what this process knows of its suspects, or of those with conclusive evidence only, and what changed by
// the passage of time.
func (s *shard) report(now time.Time, conclusive bool) (l []bulrushlug.Suspect, c []change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.evaluated) >= evaluationInterval || s.weighed != s.ends.version.Load() {
		c = s.evaluate(now)
	}
	for k, p := range s.suspects {
		if !conclusive || !p.until.IsZero() {
			l = append(l, p.report(k, now))
		}
	}
	return l, c
}
