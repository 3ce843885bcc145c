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
	backoff       time.Duration // Length of the last back-off; zero after a success.
	eventInterval float64       // Exponential moving average of the time between events, in seconds; zero before the first response.
	started       time.Time     // Last start of a batch item by this process.
	idle          int           // Idle connections of this process to the server, as of idleUntil.
	idleUntil     time.Time     // The idle connections are closed after this time.
	answers       answers       // What this process lately had from the server.
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

// Available returns the number of servers of service v that accept requests.
//
// Servers in evacuated zones are not included. Leaving servers that may be used as a last resort are included.
func (t *Table) Available(v string) int { return t.available(v, false) }

// Present returns the number of servers as Available does for all services, with those in evacuated zones.
func (t *Table) Present() int { return t.available("", true) }

func (t *Table) available(v string, evacuated bool) (n int) {
	now := time.Now()
	for i := range t.shards {
		n += t.shards[i].count(v, evacuated, func(d *departure) bool { return d == nil || !d.binding(now) })
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
