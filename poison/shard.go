package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	weighed   int64 // Version of ends at the last call of evaluate.
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
	changes []change
}

// quarantined returns a part of p for which p is held back and the time until it is, which is zero if there is none. After
// a quarantine one request passes in each probeInterval, until the part is cleared or a further server ends.
func (s *shard) quarantined(p bulrushlug.Prompt, now time.Time) (part uint64, until time.Time, l []change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weighed != s.ends.version.Load() {
		l = s.evaluate(now)
	}
	lacks := func(y uint64) bool { return !slices.Contains(p.Parts(), y) }
	var probed []*suspect
	for _, x := range p.Parts() {
		q := s.suspects[key{p.Scope(), x}]
		if q == nil || q.until.IsZero() || slices.ContainsFunc(q.alternatives, lacks) {
			continue
		}
		switch t := q.heldUntil(); {
		case !now.Before(t):
			probed = append(probed, q)
		case t.After(until):
			part, until = x, t
		}
	}
	if until.IsZero() {
		for _, q := range probed {
			q.nextProbe = now.Add(probeInterval)
		}
	}
	return part, until, l
}

// clear records that a server began to respond to p.
func (s *shard) clear(p bulrushlug.Prompt, now time.Time) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, x := range p.Parts() {
		if q := s.suspects[key{p.Scope(), x}]; q != nil {
			changed = q.succeed(now) || changed
			q.ownSuccess = now
		}
	}
	if !changed {
		return outcome{}
	}
	return outcome{true, s.evaluate(now)}
}

// suspect records that a server at the given address ended as it began to respond to p.
func (s *shard) suspect(p bulrushlug.Prompt, server, address uint64, now time.Time) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := p.Parts()
	last := len(l) - 1
	for i, x := range l {
		s.find(key{p.Scope(), x}, i == last).add(crash{server: server, address: address, request: l[last], at: now}, now)
	}
	return outcome{true, s.evaluate(now)}
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
		for _, y := range x.Crashes() {
			changed = q.add(reported(y, now), now) || changed
		}
	}
	if !changed {
		return outcome{}
	}
	return outcome{true, s.evaluate(now)}
}

// reported returns a crash that another process reported. Of an old one, the ends beside it are not reported any more.
func reported(y bulrushlug.Crash, now time.Time) crash {
	x := crash{server: y.Server(), address: y.Address(), request: y.Request(), at: now.Add(-y.Age()), others: int(y.Others()), settled: y.Age() > spreadTime}
	if x.address == 0 {
		x.address = x.server
	}
	return x
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

// evict removes the suspect that is not quarantined and whose last crash is the oldest, or any one if all are quarantined.
func (s *shard) evict() {
	var oldest key
	var p *suspect
	for k, q := range s.suspects {
		if p == nil || p.quarantined && !q.quarantined || p.quarantined == q.quarantined && q.lastCrash().Before(p.lastCrash()) {
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
		p.until, p.alternatives = time.Time{}, nil
		p.weigh(s.ends, now)
		if p.conclusive() {
			p.until, p.alternatives = p.quarantineEnd(), s.alternatives(k, p)
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
		if !conclusive || p.conclusive() {
			l = append(l, p.report(k, now))
		}
	}
	return l, c
}
