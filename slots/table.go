// Package slots tracks the requests in progress at each backend server and places new ones by load.
package slots

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount     = 8
	remoteTimeout  = 1500 * time.Millisecond // Age at which usage reported by another process is ignored.
	slotsPerQueued = 4                       // Slots for each online request that may wait at a server.
	// batchReserve is the share of a service's slots that batch items leave idle, for online requests that arrive
	// before the next usage reports.
	batchReserve  = 0.1
	startInterval = 100 * time.Millisecond // Minimum time between batch starts at a server that ranks another process first; usage reports are as frequent.
	jitter        = 2                      // Upper bound of the random part of a score, in requests; spreads processes that see the same counts.
	// preemptionCost is added to the score of a server without an idle slot, in requests. Always preferring idle slots
	// would make all processes pick the same few servers that have some.
	preemptionCost = 1
	// connectionCost is added to the score of a server to which this process has no idle connection, in requests. Where
	// there is one, a request of this process has just freed a slot, while what others report is up to half a second old.
	connectionCost = 4
	reuseTime      = time.Second     // Time for which a connection stays idle and open after its request ended.
	initialBackoff = time.Second     // Time for which a server is avoided after its first failure.
	maxBackoff     = 8 * time.Second // Longest time for which a failed server is avoided.
	intervalWeight = 0.1             // Smoothing factor of the moving average of the time between events.
)

// Table holds the backend servers and the requests in progress at each of them, sharded by server.
type Table struct {
	self        string
	batchVMs    func() []string // Returns the VMs of the other processes that run batch items.
	version     atomic.Uint64   // Increases when a server comes or goes.
	lastResorts atomic.Uint64   // Reservations at leaving servers.
	ranks       atomic.Pointer[ranking]
	gate        bulrushlug.ServerGate
	shards      [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	gate    bulrushlug.ServerGate
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
	backoff       time.Duration // Length of the last back-off; zero after a success.
	eventInterval float64       // Exponential moving average of the time between events, in seconds; zero before the first response.
	started       time.Time     // Last start of a batch item by this process.
	idle          int           // Idle connections of this process to the server, as of idleUntil.
	idleUntil     time.Time     // The idle connections are closed after this time.
}

// remoteReport is the load that another process reported, by identifier of the server.
type remoteReport struct {
	at    time.Time
	loads map[string]remoteLoad
}

// remoteLoad is the load of other processes at one server.
type remoteLoad struct{ online, batch int }

// option configures a table.
type option func(t *Table)

// WithGate sets what decides whether a server may get one more request.
func WithGate(g bulrushlug.ServerGate) option { return func(t *Table) { t.gate = g } }

// New returns an empty table of the process on VM vm; f returns the VMs of the other processes that run batch items.
func New(vm string, f func() []string, o ...option) *Table {
	t := &Table{self: vm, batchVMs: f, gate: openGate{}}
	for _, g := range o {
		g(t)
	}
	for i := range t.shards {
		t.shards[i].gate = t.gate
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
	for id, b := range listed {
		changed = t.shard(id).add(b) || changed
	}
	if changed {
		t.version.Add(1)
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
	m := [shardCount]map[string]remoteLoad{}
	for _, u := range l {
		i := xxhash.Sum64String(u.Backend()) % shardCount
		if m[i] == nil {
			m[i] = map[string]remoteLoad{}
		}
		m[i][u.Backend()] = remoteLoad{online: int(u.Online()), batch: int(u.Batch())}
	}
	for i := range t.shards {
		t.shards[i].updateRemote(vm, remoteReport{now, m[i]})
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
		x := s.totals[id]
		s.totals[id] = remoteLoad{x.online + l.online, x.batch + l.batch}
	}
}

// removeRemote removes the report of VM vm from remote and totals; the caller holds the lock.
func (s *shard) removeRemote(vm string) {
	for id, l := range s.remote[vm].loads {
		x := s.totals[id]
		if x = (remoteLoad{x.online - l.online, x.batch - l.batch}); x == (remoteLoad{}) {
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
		l = append(l, t.shards[i].usages()...)
	}
	return l
}

func (s *shard) usages() (l []bulrushlug.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if e.online+e.batch > 0 {
			l = append(l, bulrushlug.NewUsage(id, uint32(e.online), uint32(e.batch)))
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
		n += t.shards[i].count(v, func(d *departure) bool { return d == nil || !d.binding(now) })
	}
	return n
}

// count returns the number of servers of service v, or of all services if v is empty, that are neither draining nor in an
// evacuated zone, and for whose departure f returns true; the departure is nil if the server is not leaving.
func (s *shard) count(v string, f func(d *departure) bool) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if (v == "" || e.backend.Service() == v) && !e.backend.Draining() && !s.gate.Evacuated(e.backend.Zone()) && f(s.leaving[id]) {
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
	f := filter{service: v, skip: skip, now: time.Now(), gate: t.gate}
	best := t.bestOnline(f)
	if best.shard == nil {
		f.backoff = true
		best = t.bestOnline(f)
	}
	if best.shard == nil && !t.staying(v) {
		f.leaving = true
		best = t.bestOnline(f)
	}
	if best.shard == nil {
		return nil, nil
	}
	return t.reserve(best, f, false), best.shard.batchVMs(best.id, f.now)
}

// bestOnline returns the server with the lowest score of all shards.
func (t *Table) bestOnline(f filter) (best candidate) {
	for i := range t.shards {
		if c, ok := t.shards[i].bestOnline(f); ok && c.better(best) {
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
	return c.shard.reserve(c.id, batch)
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

// bestOnline returns the server of the shard with the lowest score.
func (s *shard) bestOnline(f filter) (best candidate, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if !f.selects(e, s.leaving[id]) {
			continue
		}
		online, batch := s.totalLoad(e, f.now)
		slots := int(e.backend.Slots())
		if online >= slots+slots/slotsPerQueued {
			continue
		}
		n := float64(online) + 1 + jitter*rand.Float64()
		if online+batch >= slots {
			n += preemptionCost
		}
		if !e.connected(f.now) {
			n += connectionCost
		}
		c := candidate{shard: s, id: id, score: n / float64(slots) * e.secondsPerEvent()}
		if c.better(best) {
			best, ok = c, true
		}
	}
	return best, ok
}

// connected reports whether this process has an idle connection to the server.
func (e *entry) connected(now time.Time) bool { return e.idle > 0 && now.Before(e.idleUntil) }

// secondsPerEvent returns the average time between events, or one if it is unknown.
func (e *entry) secondsPerEvent() float64 {
	if e.eventInterval == 0 {
		return 1
	}
	return e.eventInterval
}

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
	return &Reservation{shard: s, entry: e, backend: e.backend, batch: batch}
}
