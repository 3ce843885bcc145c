// Package slots tracks the requests in progress at each backend server and places new ones by load.
package slots

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/least"
)

const (
	shardCount     = 8
	remoteTimeout  = 1500 * time.Millisecond // Age at which usage reported by another process is ignored.
	slotsPerQueued = 4                       // Slots for each online request that may wait at a server.
	// batchReserve is the share of a service's slots that batch items leave idle, for online requests that arrive
	// before the next usage reports.
	batchReserve   = 0.1
	startInterval  = 100 * time.Millisecond // Minimum time between batch starts at a server that ranks another process first; usage reports are as frequent.
	jitter         = 2                      // Upper bound of the random part of a batch server's score, in slots.
	reuseTime      = time.Second            // Time for which a connection stays idle and open after its request ended.
	initialBackoff = time.Second            // Time for which a server is avoided after its first failure.
	maxBackoff     = 8 * time.Second        // Longest time for which a failed server is avoided.
	intervalWeight = 0.1                    // Smoothing factor of the moving average of the time between events.
)

// Table holds the backend servers and the requests in progress at each of them, sharded by server.
type Table struct {
	self        string
	batchVMs    func() []string // Returns the VMs of the other processes that run batch items.
	chooser     bulrushlug.Chooser
	start       time.Time     // Reports are dated from here.
	version     atomic.Uint64 // Increases when a server comes or goes.
	lastResorts atomic.Uint64 // Reservations at leaving servers.
	ranks       atomic.Pointer[ranking]
	gate        bulrushlug.ServerGate
	division    atomic.Pointer[places]
	metrics     metrics
	free        func(s string)       // Called when there may be room at service s; nil if nobody waits for it.
	starts      bulrushlug.StartRule // Divides idle slots among the processes; nil if they take them by rank alone.
	startsHeld  atomic.Uint64        // Idle slots that were not taken, as it was the turn of other processes.
	shards      [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	gate    bulrushlug.ServerGate
	demands map[string]*demand      // By VM of the process; only recorded where the chooser needs news.
	start   time.Time               // Start of the table; the moments in totals are counted from it.
	entries map[string]*entry       // By identifier of the backend server.
	leaving map[string]*departure   // By identifier of the backend server; holds servers that were on the list lately.
	remote  map[string]remoteReport // By VM of the process; expired ones are removed before each use.
	totals  map[string]remoteLoad   // Sums of remote by identifier of the server, so that placement looks at each server once.
	expiry  time.Time               // No report in remote expires before this time.
}

// entry is the state of one backend server.
type entry struct {
	backend       bulrushlug.Backend
	online        int           // Online requests of this process in progress, at least zero.
	batch         int           // Batch items of this process in progress, at least zero.
	backoffUntil  time.Time     // The server is avoided before this time.
	returns       *time.Timer   // Tells those who wait that the back-off has ended; nil before the first one.
	backoff       time.Duration // Length of the last back-off; zero after a success.
	eventInterval float64       // Exponential moving average of the time between events, in seconds; zero before the first response.
	started       time.Time     // Last start of a batch item by this process.
	starts        []time.Time   // Starts of batch items by this process that others may not have heard of; only under a rule for starts.
	idle          int           // Idle connections of this process to the server, as of idleUntil.
	idleUntil     time.Time     // The idle connections are closed after this time.
	answers       answers       // What this process lately had from the server.
}

// remoteReport is the load that another process reported, by identifier of the server.
type remoteReport struct {
	at    time.Time
	loads map[string]remoteLoad
}

// remoteLoad is the load of other processes at one server.
type remoteLoad struct {
	online, batch int
	moment        time.Duration // Sum over the online requests of the time from the start of the table to their report.
	answers       bulrushlug.Answers
}

func (l remoteLoad) plus(m remoteLoad) remoteLoad {
	return remoteLoad{l.online + m.online, l.batch + m.batch, l.moment + m.moment, l.answers.Plus(m.answers)}
}

func (l remoteLoad) minus(m remoteLoad) remoteLoad {
	return remoteLoad{l.online - m.online, l.batch - m.batch, l.moment - m.moment, l.answers.Minus(m.answers)}
}

// age returns the mean age of the reports of the online requests, at d after the start of the table.
func (l remoteLoad) age(d time.Duration) time.Duration {
	if l.online == 0 {
		return 0
	}
	return d - l.moment/time.Duration(l.online)
}

// WithChooser sets what chooses the servers of online requests; without it, or if c is nil, they go to the least loaded.
func WithChooser(c bulrushlug.Chooser) option {
	return func(t *Table) {
		if c != nil {
			t.chooser = c
		}
	}
}

// option configures a table.
type option func(t *Table)

// WithGate sets what decides whether a server may get one more request.
func WithGate(g bulrushlug.ServerGate) option { return func(t *Table) { t.gate = g } }

// New returns an empty table of the process on VM vm; f returns the VMs of the other processes that run batch items.
func New(vm string, f func() []string, o ...option) *Table {
	t := &Table{self: vm, batchVMs: f, chooser: least.New(), gate: openGate{}, start: time.Now(), metrics: newMetrics()}
	for _, g := range o {
		g(t)
	}
	for i := range t.shards {
		t.shards[i].gate = t.gate
		t.shards[i].start = t.start
		t.shards[i].demands = map[string]*demand{}
		t.shards[i].entries = map[string]*entry{}
		t.shards[i].leaving = map[string]*departure{}
		t.shards[i].remote = map[string]remoteReport{}
		t.shards[i].totals = map[string]remoteLoad{}
	}
	return t
}

func (t *Table) shard(id string) *shard { return &t.shards[xxhash.Sum64String(id)%shardCount] }

// Update replaces the list of backend servers; a server that restarted begins with zero counts.
func (t *Table) Update(l []bulrushlug.Backend) {
	listed := map[string]bulrushlug.Backend{}
	for _, b := range l {
		listed[b.ID()] = b
	}
	changed := false
	for i := range t.shards {
		changed = t.shards[i].update(listed) || changed
	}
	added := map[string]bool{} // Services.
	for id, b := range listed {
		if t.shard(id).add(b) {
			added[b.Service()] = true
		}
	}
	if changed || len(added) > 0 {
		t.version.Add(1)
	}
	for s := range added {
		t.notifyFree(s)
	}
}

// update removes the servers that are not in m or that restarted, and reports whether there were any.
func (s *shard) update(m map[string]bulrushlug.Backend) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetDepartures(m)
	for id, e := range s.entries {
		if b, ok := m[id]; !ok || !b.SameInstance(e.backend) {
			delete(s.entries, id)
			changed = true
		}
	}
	return changed
}

// add adds server b, or updates it; it reports whether the server is new.
func (s *shard) add(b bulrushlug.Backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[b.ID()]; ok {
		e.backend = b
		return false
	}
	s.entries[b.ID()] = &entry{backend: b}
	return true
}

// UpdateRemote replaces the load reported by the process on VM vm.
func (t *Table) UpdateRemote(vm string, l []bulrushlug.Usage) {
	now := time.Now()
	since := now.Sub(t.start)
	m := [shardCount]map[string]remoteLoad{}
	online := 0
	for _, u := range l {
		online += int(u.Online())
		i := xxhash.Sum64String(u.Backend()) % shardCount
		if m[i] == nil {
			m[i] = map[string]remoteLoad{}
		}
		m[i][u.Backend()] = remoteLoad{int(u.Online()), int(u.Batch()), time.Duration(u.Online()) * since, u.Answers()}
	}
	for i := range t.shards {
		t.shards[i].updateRemote(vm, remoteReport{now, m[i]})
	}
	if t.chooser.NeedsNews() {
		t.shard(vm).recordDemand(vm, online, now)
	}
}

func (s *shard) updateRemote(vm string, r remoteReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRemote(vm)
	if len(r.loads) == 0 {
		return
	}
	if e := r.at.Add(remoteTimeout); len(s.remote) == 0 || e.Before(s.expiry) {
		s.expiry = e
	}
	s.remote[vm] = r
	for id, l := range r.loads {
		s.totals[id] = s.totals[id].plus(l)
	}
}

// removeRemote removes the report of VM vm from remote and totals; the caller holds the lock.
func (s *shard) removeRemote(vm string) {
	for id, l := range s.remote[vm].loads {
		x := s.totals[id].minus(l)
		if x == (remoteLoad{}) {
			delete(s.totals, id)
			continue
		}
		s.totals[id] = x
	}
	delete(s.remote, vm)
}

// expire removes the reports of which no newer one came within remoteTimeout; the caller holds the lock.
func (s *shard) expire(now time.Time) {
	if now.Before(s.expiry) {
		return
	}
	s.expiry = now.Add(remoteTimeout)
	for vm, r := range s.remote {
		if e := r.at.Add(remoteTimeout); !now.Before(e) {
			s.removeRemote(vm)
		} else if e.Before(s.expiry) {
			s.expiry = e
		}
	}
}

// totalLoad returns the online requests and batch items of all processes at e.
func (s *shard) totalLoad(e *entry, now time.Time) (online, batch int) {
	s.expire(now)
	r := s.totals[e.backend.ID()]
	return e.online + r.online, e.batch + r.batch
}

// Usages returns the load of this process at each server where it has any.
func (t *Table) Usages() []bulrushlug.Usage {
	var l []bulrushlug.Usage
	for i := range t.shards {
		l = append(l, t.shards[i].usages(t.chooser.NeedsNews())...)
	}
	return l
}

// usages returns the load of this process at the servers of the shard, and their answers to it if news is set.
func (s *shard) usages(news bool) (l []bulrushlug.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, e := range s.entries {
		var a bulrushlug.Answers
		if news {
			a = e.answers.at(now)
		}
		if e.online+e.batch > 0 || a != (bulrushlug.Answers{}) {
			l = append(l, bulrushlug.NewUsage(id, uint32(e.online), uint32(e.batch)).WithAnswers(a))
		}
	}
	return l
}

// Available returns the number of servers of service v that accept requests; an empty v selects all services.
//
// Servers in evacuated zones are not included. Leaving servers that may be used as a last resort are included.
func (t *Table) Available(v string) (n int) {
	now := time.Now()
	for i := range t.shards {
		n += t.shards[i].count(v, false, func(d *departure) bool { return d == nil || !d.binding(now) })
	}
	return n
}

// Present returns the number of servers as Available does for all services, with those in evacuated zones.
func (t *Table) Present() (n int) {
	now := time.Now()
	for i := range t.shards {
		n += t.shards[i].count("", true, func(d *departure) bool { return d == nil || !d.binding(now) })
	}
	return n
}

// count returns the number of servers of service v, or of all services if v is empty, that are neither draining nor, unless
// evacuated is set, in an evacuated zone, and for whose departure f returns true; the departure is nil if the server is not
// leaving.
func (s *shard) count(v string, evacuated bool, f func(d *departure) bool) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if (v == "" || e.backend.Service() == v) && !e.backend.Draining() && (evacuated || !s.gate.Evacuated(e.backend.Zone())) && f(s.leaving[id]) {
			n++
		}
	}
	return n
}

// candidate is a server that may be chosen for a request.
type candidate struct {
	shard    *shard
	id       string
	score    float64 // The lowest score wins.
	idle     bool    // The server has an idle slot.
	fallback bool    // The server is chosen only if no other can be.
}

// better reports whether c is preferred to d.
func (c candidate) better(d candidate) bool {
	if d.shard == nil || c.fallback != d.fallback {
		return d.shard == nil || d.fallback
	}
	return c.score < d.score
}

// AcquireOnline reserves a slot for an online request at a server of service v, and returns the VMs of the processes
// that run batch items there.
//
// Servers in skip are left out, and servers in back-off are used only if there is no other. Leaving servers are a last
// resort, used only if the service has no other server. If no server has capacity, the reservation is nil.
func (t *Table) AcquireOnline(v string, skip map[string]bool) (l *Reservation, vms []string) {
	return t.acquire(filter{service: v, skip: skip, gate: t.gate}, t.chooseOnline)
}

// acquire reserves a slot at the server that choose returns for f, and chooses again while other requests have taken what the
// gate admits there, or the server is gone.
func (t *Table) acquire(f filter, choose func(f *filter, p *places) candidate) (l *Reservation, vms []string) {
	for {
		g := f
		g.now = time.Now()
		best := choose(&g, t.places(g.now))
		if best.shard == nil {
			return nil, nil
		}
		if l := t.reserve(best, g, false); l != nil {
			t.metrics.observe(&newsMs, best.shard.age(best.id, g.now))
			return l, best.shard.batchVMs(best.id, g.now)
		}
	}
}

// chooseOnline returns the server for an online request; f is widened until it selects one that has capacity.
func (t *Table) chooseOnline(f *filter, p *places) candidate {
	best := t.chooseReady(f, p)
	if best.shard == nil {
		f.backoff = true
		best = t.bestOnline(*f, p)
	}
	if best.shard == nil && !t.staying(f.service) {
		f.leaving = true
		best = t.bestOnline(*f, p)
	}
	return best
}

// chooseReady returns the server for an online request that is neither in back-off nor leaving.
func (t *Table) chooseReady(f *filter, p *places) candidate {
	best := t.bestOnline(*f, p)
	f.all = true
	if best.shard == nil && p.nearby(f.service) != nil {
		best = t.bestOnline(*f, p)
	}
	return best
}

// bestOnline returns the server with the lowest score of all shards.
func (t *Table) bestOnline(f filter, p *places) (best candidate) {
	for i := range t.shards {
		if c, ok := t.shards[i].bestOnline(f, t.chooser, p, i); ok && c.better(best) {
			best = c
		}
	}
	return best
}

// reserve counts one more request at the server of c, which f selected.
func (t *Table) reserve(c candidate, f filter, batch bool) *Reservation {
	if f.leaving {
		t.lastResorts.Add(1)
	}
	l := c.shard.reserve(c.id, batch)
	if l != nil {
		l.idle, l.metrics, l.free = c.idle, t.metrics, t.notifyFree
	}
	return l
}

// age returns the mean age of what this process knows of the requests of others at server id.
func (s *shard) age(id string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals[id].age(now.Sub(s.start))
}

// batchVMs returns the VMs of the processes that run batch items at server id.
func (s *shard) batchVMs(id string, now time.Time) (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for vm, r := range s.remote {
		if r.loads[id].batch > 0 {
			l = append(l, vm)
		}
	}
	return l
}

// bestOnline returns the server of shard i with the lowest score.
func (s *shard) bestOnline(f filter, x bulrushlug.Chooser, p *places, i int) (best candidate, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(f.now)
	consider := func(id string, e *entry) {
		if !f.selects(e, s.leaving[id]) {
			return
		}
		l := s.load(e, p, f.now)
		if l.Own()+l.Others() >= f.places(l.Slots()) {
			return
		}
		c := candidate{shard: s, id: id, score: x.Score(l), idle: l.Idle()}
		if c.better(best) {
			best, ok = c, true
		}
	}
	if m := p.nearby(f.service); m != nil && !f.all {
		for _, id := range m[i] {
			if e, ok := s.entries[id]; ok {
				consider(id, e)
			}
		}
		return best, ok
	}
	for id, e := range s.entries {
		consider(id, e)
	}
	return best, ok
}

// load returns what this process knows of the load of the server of e; the caller has removed expired reports.
func (s *shard) load(e *entry, p *places, now time.Time) bulrushlug.ServerLoad {
	r := s.totals[e.backend.ID()]
	return bulrushlug.NewServerLoad(int(e.backend.Slots()), e.online, r.online, e.batch+r.batch).
		WithSpeed(e.eventInterval, e.connected(now)).
		WithNews(p.distance(e.backend.ID()), r.answers.Plus(e.answers.at(now)), p.fleetAnswers())
}

// connected reports whether this process has an idle connection to the server.
func (e *entry) connected(now time.Time) bool { return e.idle > 0 && now.Before(e.idleUntil) }

// reserve counts one more request at server id, and returns nil if the server is gone or the gate no longer admits it.
func (s *shard) reserve(id string, batch bool) *Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || !s.gate.Admit(e.backend, time.Now()) {
		return nil
	}
	if batch {
		e.batch++
		e.started = time.Now()
	} else {
		e.online++
		e.idle = max(0, e.idle-1)
	}
	return &Reservation{shard: s, entry: e, backend: e.backend, batch: batch, began: time.Now()}
}
