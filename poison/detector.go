// Package poison detects queries of death: requests on which backend servers end, one after the other, because of a part of
// their prompt. Requests with such a part are quarantined.
//
// Load pattern: a few requests in a hundred share a part, and nothing else, that ends each server on which they begin to
// run. Retries multiply them, and all other requests at these servers break with them. Beside that, many servers may end
// at the same moment for other causes, as a rack or a release goes wrong, and requests that share parts wait on each.
//
// A part is suspected by the servers that ended while a request with it had not begun to run, each the less the more others
// ended at the same time without it, and cleared by each request with it that begins. A quarantine is short and ends with a
// test by one request, as nothing else can refute it; it gets longer only if servers end on the tests. The processes tell
// each other what they know in their reports.
package poison

import (
	"cmp"
	"context"
	"expvar"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount   = 8
	maxReported  = 24                     // Suspects in one report.
	probeTimeout = 100 * time.Millisecond // Time in which a server that ended refuses a connection.
	spreadTime   = 3 * time.Second        // Time for which a change is reported.
	// refreshPeriod is the time between two reports of parts that did not change. They are in all reports of a window that
	// is longer than the longest interval between reports.
	refreshPeriod = time.Second
	refreshWindow = 600 * time.Millisecond
)

// Detector holds the suspected parts of prompts, sharded by the scope of the prompts: parts of one scope are compared.
type Detector struct {
	changed  func() // Called when this process has news that can't wait for its next report.
	logger   log.Logger
	counters *expvar.Map
	// changedAt is the Unix time in nanoseconds of the last change of what is known of a part; zero for none.
	changedAt atomic.Int64
	seed      uint64 // Random number that tells this process from others.
	ends      ends
	shards    [shardCount]shard
}

// New returns a detector without suspects. A server that refuses connections according to r has ended; f is called when
// this process has found a crash, tests a part or has cleared one, so that it can tell others at once.
func New(r func(c context.Context, address string) bool, f func(), l log.Logger, counters *expvar.Map) *Detector {
	d := &Detector{changed: f, logger: l, counters: counters, seed: rand.Uint64(), ends: ends{refuses: r, probes: map[uint64]*probe{}}}
	for i := range d.shards {
		d.shards[i].suspects, d.shards[i].ends = map[key]*suspect{}, &d.ends
	}
	return d
}

func (d *Detector) shard(scope uint64) *shard { return &d.shards[scope%shardCount] }

// Check fails with KindQuarantined if a part of p is quarantined; RetryAfter is the time to the next test of the part. A
// request that passes may be that test: it passes again until its outcome is known or probeInterval is over.
func (d *Detector) Check(p bulrushlug.Prompt) error {
	s := d.shard(p.Scope())
	if s.size.Load() == 0 {
		return nil
	}
	now := time.Now()
	part, until, tests, l := s.quarantined(p, d.seed, now)
	d.log(l)
	if tests {
		d.counters.Add("quarantineTests", 1)
		d.changedAt.Store(now.UnixNano())
		d.changed()
	}
	if until.IsZero() {
		return nil
	}
	return bulrushlug.Errorf(bulrushlug.KindQuarantined, "backend servers ended on part %x of the prompt", part).WithRetryAfter(until.Sub(now))
}

// RecordBegun clears the parts of p: a server began to respond to it and did not end.
func (d *Detector) RecordBegun(p bulrushlug.Prompt) {
	s := d.shard(p.Scope())
	if s.size.Load() == 0 {
		return
	}
	now := time.Now()
	o := s.clear(p, now)
	d.apply(now, o)
	if o.cleared {
		d.changed()
	}
}

// RecordBroken suspects the parts of p if server b has ended, and reports whether it has. A connection that breaks while b
// goes on is no evidence.
func (d *Detector) RecordBroken(c context.Context, b bulrushlug.Backend, p bulrushlug.Prompt) bool {
	server, ok := d.recordEnd(c, b)
	if !ok || len(p.Parts()) == 0 {
		return ok
	}
	d.counters.Add("serverCrashes", 1)
	now := time.Now()
	d.apply(now, d.shard(p.Scope()).suspect(p, server, xxhash.Sum64String(b.Address()), now))
	d.changed()
	return true
}

// RecordEnded notes the end of server b, if it has ended, for the verdict on parts with which other servers ended, and reports
// whether it has. The end goes out with the next report.
func (d *Detector) RecordEnded(c context.Context, b bulrushlug.Backend) bool {
	_, ok := d.recordEnd(c, b)
	return ok
}

// recordEnd returns the hash of server b, and whether it has ended.
func (d *Detector) recordEnd(c context.Context, b bulrushlug.Backend) (uint64, bool) {
	server := xxhash.Sum64String(b.ID() + " " + strconv.FormatUint(b.StartTime(), 10))
	if !d.ends.probe(c, server, b.Address()) {
		return 0, false
	}
	now := time.Now()
	d.ends.add(server, now, true, now)
	return server, true
}

// ServerEnds returns the servers that ended lately, for the next report of this process.
func (d *Detector) ServerEnds() []bulrushlug.ServerEnd { return d.ends.report(time.Now()) }

// MergeServerEnds adds the ends that another process reported. They come before what it reported of parts, so that these
// are weighed against them.
func (d *Detector) MergeServerEnds(l []bulrushlug.ServerEnd) {
	now := time.Now()
	for _, x := range l {
		d.ends.add(x.Server(), now.Add(-x.Age()), false, now)
	}
}

// Suspects returns what the next report of this process says of suspected parts: what changed lately, and from time to
// time the parts with conclusive evidence, from which a process that restarted learns. Of too many it has those with the
// most crashes, and those with the latest news.
func (d *Detector) Suspects() []bulrushlug.Suspect {
	now := time.Now()
	changed := now.UnixNano()-d.changedAt.Load() < int64(spreadTime)
	if !changed && now.UnixMilli()%refreshPeriod.Milliseconds() >= refreshWindow.Milliseconds() {
		return nil
	}
	var l []bulrushlug.Suspect
	for i := range d.shards {
		if s := &d.shards[i]; s.size.Load() > 0 {
			m, c := s.report(now, !changed)
			l = append(l, m...)
			d.log(c)
		}
	}
	if len(l) <= maxReported {
		return l
	}
	slices.SortFunc(l, func(a, b bulrushlug.Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes()), len(a.Crashes())), cmp.Compare(a.Part(), b.Part()))
	})
	most, rest := l[:maxReported/2], l[maxReported/2:]
	slices.SortFunc(rest, func(a, b bulrushlug.Suspect) int {
		return cmp.Or(cmp.Compare(newsAge(a), newsAge(b)), cmp.Compare(a.Part(), b.Part()))
	})
	return append(most, rest[:maxReported/2]...)
}

// newsAge returns the time since the last known crash on the part or since the process cleared it, whichever is less.
func newsAge(s bulrushlug.Suspect) time.Duration {
	d := time.Duration(math.MaxInt64)
	if t, ok := s.Success(); ok {
		d = t
	}
	for _, x := range s.Crashes() {
		d = min(d, x.Age())
	}
	return d
}

// Merge adds what another process reported.
func (d *Detector) Merge(l []bulrushlug.Suspect) {
	now := time.Now()
	for i := range d.shards {
		var m []bulrushlug.Suspect
		for _, x := range l {
			if d.shard(x.Scope()) == &d.shards[i] {
				m = append(m, x)
			}
		}
		if len(m) > 0 {
			d.apply(now, d.shards[i].merge(m, now))
		}
	}
}

// apply has the next reports tell of new evidence at time now, and logs what changed by it.
func (d *Detector) apply(now time.Time, v outcome) {
	if !v.reached {
		return
	}
	d.changedAt.Store(now.UnixNano())
	d.log(v.changes)
}

// log writes a line for each part whose quarantine began or ended.
func (d *Detector) log(l []change) {
	for _, x := range l {
		if x.quarantine > 0 {
			d.counters.Add("quarantines", 1)
			_ = d.logger.Log("event", "quarantine", "part", strconv.FormatUint(x.part, 16), "servers", x.servers, "requests", x.requests, "alternatives", x.alternatives, "weight", strconv.FormatFloat(x.weight, 'f', 2, 64), "others", x.others, "for", x.quarantine)
			continue
		}
		_ = d.logger.Log("event", "quarantineEnded", "part", strconv.FormatUint(x.part, 16))
	}
}
