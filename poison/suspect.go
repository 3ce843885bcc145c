package poison

import (
	"maps"
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	minServers  = 3  // Servers that end on a part before it is quarantined, each counted by the weight of its crash.
	minRequests = 2  // Requests with a shared part on which they end; retries of one request are no evidence against what it shares with others.
	maxCrashes  = 16 // Crashes that are kept of a part.
	// minQuarantine is the time from a conclusive crash until the part is tested. It grows by quarantineGrowth each time that
	// servers end on tests, of which one ends alone or twice one of two, up to maxQuarantine.
	minQuarantine    = 3 * time.Second
	maxQuarantine    = 10 * time.Minute
	quarantineGrowth = 10
	crashLifetime    = 30 * time.Minute // Age at which a crash is forgotten.
	probeInterval    = 3 * time.Second  // Time between tests of a part of which nothing was seen.
	probeSpread      = time.Second      // Time over which the tests of the processes are spread.
	turns            = 3                // Turns in probeSpread before the process that tested last: those that have not tested, the others, and late reports.
)

// suspect is a part of prompts that may end servers.
type suspect struct {
	own         bool      // It is the last part of a prompt.
	crashes     []crash   // Crashes after success: the newest maxCrashes, at most minRequests of each server.
	added       uint64    // Number of the crash that was added last, among all of the shard.
	success     time.Time // Last known time at which a server began to respond to the part; zero if there is none.
	ownSuccess  time.Time // The same by a request of this process.
	quarantined bool      // Requests with the part are held back, unless they lack one of alternatives.
	until       time.Time // End of the quarantine, which may have passed; zero without conclusive evidence.
	tested      time.Time // Last known test, a request with the part that a process let through after the quarantine.
	ownTest     time.Time // The same of this process.
	ownRequest  uint64    // Last part of the prompt of ownTest.
	// met has the servers that ended in the last endLifetime while a request with the part had not begun, at most maxEnds.
	met map[uint64]time.Time
	// alternatives are the other parts on which each of the servers ended as well. A request without one of them tells
	// which of them is at fault: it ends a server, or clears the part.
	alternatives []uint64
}

// crash is the end of a server as it began to respond to a request.
type crash struct {
	server  uint64 // Hash of its identifier and start time.
	address uint64
	request uint64
	at      time.Time
	others  int  // Servers that ended together with it without the part.
	settled bool // others is what another process found.
}

// weight is the part of the blame for the end of the server that the crash puts on the part: the more servers ended at the
// same time without it, the less. One may be that of the caller's retry, of which a process that is cut off doesn't hear.
func (x crash) weight() float64 { return 1 / float64(max(1, x.others)) }

// add adds x, unless it is known, came before the last success or is too old, or enough requests that broke with the same
// server are known; it reports whether it did. If there is no room for x, the oldest crash goes.
func (p *suspect) add(x crash, now time.Time) bool {
	p.meet(x, now)
	if !x.at.After(p.success) || now.Sub(x.at) > crashLifetime {
		return false
	}
	requests, oldest := 0, 0
	for i, y := range p.crashes {
		if y.server == x.server {
			if requests++; y.request == x.request || requests == minRequests {
				return false
			}
		}
		if y.at.Before(p.crashes[oldest].at) {
			oldest = i
		}
	}
	if len(p.crashes) == maxCrashes {
		if !x.at.After(p.crashes[oldest].at) {
			return false
		}
		p.crashes = slices.Delete(p.crashes, oldest, oldest+1)
	}
	p.crashes = append(p.crashes, x)
	return true
}

// meet notes that a request with the part had not begun at the server of x.
func (p *suspect) meet(x crash, now time.Time) {
	if _, ok := p.met[x.server]; ok || now.Sub(x.at) > endLifetime || len(p.met) >= maxEnds {
		return
	}
	if p.met == nil {
		p.met = map[uint64]time.Time{}
	}
	p.met[x.server] = x.at
}

// weigh counts the servers that ended together with each crash without the part. A crash keeps its last count once the ends
// of its time are forgotten.
func (p *suspect) weigh(e *ends, now time.Time) {
	for i := range p.crashes {
		x := &p.crashes[i]
		if x.settled || now.Sub(x.at) > endLifetime-togetherTime {
			continue
		}
		n := e.together(x.at)
		for _, t := range p.met {
			if t.Sub(x.at).Abs() <= togetherTime {
				n--
			}
		}
		x.others = max(0, n)
	}
}

// succeed records a success at time t, which clears the crashes before it, and reports whether there were any.
func (p *suspect) succeed(t time.Time) bool {
	if !t.After(p.success) {
		return false
	}
	p.success = t
	n := len(p.crashes)
	p.crashes = slices.DeleteFunc(p.crashes, func(x crash) bool { return !x.at.After(t) })
	return len(p.crashes) < n
}

// expire forgets crashes that are too old.
func (p *suspect) expire(now time.Time) {
	p.crashes = slices.DeleteFunc(p.crashes, func(x crash) bool { return now.Sub(x.at) > crashLifetime })
	maps.DeleteFunc(p.met, func(_ uint64, t time.Time) bool { return now.Sub(t) > endLifetime })
}

// counts returns the numbers of servers that ended, by address, and of requests on which they did.
func (p *suspect) counts() (servers, requests int) {
	s, r := map[uint64]bool{}, map[uint64]bool{}
	for _, x := range p.crashes {
		s[x.address], r[x.request] = true, true
	}
	return len(s), len(r)
}

// weight returns the weight of the crashes, one of each address, and the most servers that ended together with one of them
// without the part.
func (p *suspect) weight() (w float64, others int) {
	m := map[uint64]float64{}
	for _, x := range p.crashes {
		m[x.address] = max(m[x.address], x.weight())
		others = max(others, x.others)
	}
	for _, x := range m {
		w += x
	}
	return w, others
}

// conclusive reports whether enough servers ended on the part, and few enough without it, to hold requests with it back.
func (p *suspect) conclusive() bool {
	if len(p.crashes) < minServers {
		return false
	}
	w, _ := p.weight()
	_, requests := p.counts()
	return w >= minServers && (p.own || requests >= minRequests)
}

// covers reports whether each server that ended on q ended on p too.
func (p *suspect) covers(q *suspect) bool {
	return !slices.ContainsFunc(q.crashes, func(x crash) bool {
		return !slices.ContainsFunc(p.crashes, func(y crash) bool { return x.server == y.server })
	})
}

// quarantineEnd returns the end of the quarantine, which may have passed, and the zero time if the evidence is not
// conclusive. It follows from the crashes alone, so that all processes agree: a crash during a quarantine, of a request in
// flight, changes nothing; one after it is that of a test.
func (p *suspect) quarantineEnd() (until time.Time) {
	if !p.conclusive() {
		return until
	}
	l := slices.SortedFunc(slices.Values(p.crashes), func(a, b crash) int { return a.at.Compare(b.at) })
	known := suspect{own: p.own}
	length, raise := time.Duration(0), 0.0
	for _, x := range l {
		switch {
		case length == 0:
			known.crashes = append(known.crashes, x)
			if known.conclusive() {
				length, until = minQuarantine, x.at.Add(minQuarantine)
			}
		case x.at.After(until):
			if raise += 1 / float64(1+x.others); raise >= 1 {
				length, raise = min(quarantineGrowth*length, maxQuarantine), 0
			}
			until = x.at.Add(length)
		}
	}
	return until
}

// heldUntil returns the time before which a process lets no test of a part with conclusive evidence through that begins
// its tests d after the first process may. A test of which nothing is seen passes the turn on, as the process may not reach
// the servers: the processes that have not tested come first, then the others, and the one that tested last comes last.
func (p *suspect) heldUntil(d time.Duration) time.Time {
	t := p.until.Add(d)
	switch {
	case p.tested.IsZero():
		return t
	case p.ownTest.IsZero():
		return later(t, p.tested.Add(probeInterval-probeSpread+d/turns))
	case p.tested.After(p.ownTest):
		return later(t, p.tested.Add(probeInterval-probeSpread+(probeSpread+d)/turns))
	}
	return later(t, p.tested.Add(probeInterval))
}

// tests reports whether the request whose prompt ends in the given part is the test of this process, which is not over.
func (p *suspect) tests(request uint64, now time.Time) bool {
	return request == p.ownRequest && p.until.Before(p.ownTest) && now.Before(p.ownTest.Add(probeInterval))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (p *suspect) lastCrash() (t time.Time) {
	for _, x := range p.crashes {
		if x.at.After(t) {
			t = x.at
		}
	}
	return t
}

// older reports whether the last crash of p is older than the one of q.
func (p *suspect) older(q *suspect) bool {
	if c := p.lastCrash().Compare(q.lastCrash()); c != 0 {
		return c < 0
	}
	return p.added < q.added
}

// report returns what other processes are told of the part k.
func (p *suspect) report(k key, now time.Time) bulrushlug.Suspect {
	var l []bulrushlug.Crash
	for _, x := range p.crashes {
		l = append(l, bulrushlug.NewCrash(x.server, x.address, x.request, uint32(x.others), now.Sub(x.at)))
	}
	d := time.Duration(-1)
	if !p.ownSuccess.IsZero() {
		d = now.Sub(p.ownSuccess)
	}
	s := bulrushlug.NewSuspect(k.scope, k.part, p.own, l, d)
	if !p.ownTest.IsZero() {
		s = s.WithTest(now.Sub(p.ownTest))
	}
	return s
}
