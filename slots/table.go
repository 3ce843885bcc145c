// Package slots counts the requests at each backend server and picks servers by them.
package slots

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount    = 8
	remoteTimeout = 1500 * time.Millisecond // Age at which the usage that another process reported no longer counts.
	queueShare    = 4                       // A server takes one waiting online request for so many slots.
	// batchReserve is the share of a service's slots that new batch items leave idle: online requests that come
	// before the next reports find them there.
	batchReserve = 0.1
	startPause   = 100 * time.Millisecond // Time between starts at a server that another process has first; its reports come as often.
	jitter       = 2                      // Random part of a score, in requests; spreads processes that see the same counts.
	// yieldCost is what a slot that a batch item has to free first counts more than an idle one, in requests. If idle
	// slots went first at any load, all processes would pick the few servers that have some.
	yieldCost    = 1
	firstPenalty = time.Second // Time for which a server that failed is passed over.
	maxPenalty   = 8 * time.Second
	paceWeight   = 0.1 // Weight of one answer in the smoothed pace.
)

// Table knows the backend servers and what is under way at each of them.
type Table struct {
	self   string
	rivals func() []string // Other processes that run batch items.
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry            // By identifier of the server.
	remote  map[string]map[string]remote // By process and server.
}

// entry is one backend server.
type entry struct {
	backend bulrushlug.Backend
	online  int           // Own online requests under way, at least zero.
	batch   int           // Own batch items under way, at least zero.
	until   time.Time     // The server is passed over before this time.
	penalty time.Duration // Length of the next pause; zero after a success.
	pace    float64       // Smoothed time between events in seconds; zero before the first.
	started time.Time     // Last start of an own batch item.
}

// remote is what another process has under way at one server.
type remote struct {
	online, batch int
	at            time.Time
}

// New returns an empty table of the process vm; f returns the other processes that run batch items.
func New(vm string, f func() []string) *Table {
	t := &Table{self: vm, rivals: f}
	for i := range t.shards {
		t.shards[i].entries = map[string]*entry{}
		t.shards[i].remote = map[string]map[string]remote{}
	}
	return t
}

func (t *Table) shard(id string) *shard { return &t.shards[xxhash.Sum64String(id)%shardCount] }

// Update makes l the list of servers; a server that started again begins without counts.
func (t *Table) Update(l []bulrushlug.Backend) {
	listed := map[string]bulrushlug.Backend{}
	for _, b := range l {
		listed[b.ID()] = b
	}
	for i := range t.shards {
		t.shards[i].update(listed)
	}
	for id, b := range listed {
		t.shard(id).add(b)
	}
}

// update drops the servers that are not in m.
func (s *shard) update(m map[string]bulrushlug.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if b, ok := m[id]; !ok || !b.SameInstance(e.backend) {
			delete(s.entries, id)
		}
	}
}

func (s *shard) add(b bulrushlug.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[b.ID()]; ok {
		e.backend = b
		return
	}
	s.entries[b.ID()] = &entry{backend: b}
}

// UpdateRemote notes what the process vm has under way.
func (t *Table) UpdateRemote(vm string, l []bulrushlug.Usage) {
	now := time.Now()
	m := [shardCount]map[string]remote{}
	for _, u := range l {
		i := xxhash.Sum64String(u.Backend()) % shardCount
		if m[i] == nil {
			m[i] = map[string]remote{}
		}
		m[i][u.Backend()] = remote{online: int(u.Online()), batch: int(u.Batch()), at: now}
	}
	for i := range t.shards {
		t.shards[i].setRemote(vm, m[i])
	}
}

func (s *shard) setRemote(vm string, m map[string]remote) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(m) == 0 {
		delete(s.remote, vm)
		return
	}
	s.remote[vm] = m
}

// load returns the requests of all processes at e.
func (s *shard) load(e *entry, now time.Time) (online, batch int) {
	online, batch = e.online, e.batch
	for _, m := range s.remote {
		if r, ok := m[e.backend.ID()]; ok && now.Sub(r.at) < remoteTimeout {
			online += r.online
			batch += r.batch
		}
	}
	return online, batch
}

// Usages returns what this process has under way.
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

// Available returns the number of servers of service v that take requests.
func (t *Table) Available(v string) (n int) {
	for i := range t.shards {
		n += t.shards[i].known(v)
	}
	return n
}

func (s *shard) known(v string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if (v == "" || e.backend.Service() == v) && !e.backend.Draining() {
			n++
		}
	}
	return n
}

// choice is a server that may be picked.
type choice struct {
	shard *shard
	id    string
	score float64 // The lowest is picked.
	later bool    // The server is picked only if no other can be.
}

// better reports whether c is to be picked before d.
func (c choice) better(d choice) bool {
	if d.shard == nil || c.later != d.later {
		return d.shard == nil || d.later
	}
	return c.score < d.score
}

// AcquireOnline picks a server of service v for an online request, and returns the processes that run batch items there.
//
// Servers in skip are left out. Without room at any server the result is nil.
func (t *Table) AcquireOnline(v string, skip map[string]bool) (l *Reservation, holders []string) {
	now := time.Now()
	var best choice
	for _, avoid := range []bool{true, false} {
		for i := range t.shards {
			if c, ok := t.shards[i].online(v, skip, now, avoid); ok && c.better(best) {
				best = c
			}
		}
		if best.shard != nil {
			break
		}
	}
	if best.shard == nil {
		return nil, nil
	}
	return best.shard.take(best.id, false), best.shard.holders(best.id, now)
}

// holders returns the processes that run batch items at server id.
func (s *shard) holders(id string, now time.Time) (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, m := range s.remote {
		if r, ok := m[id]; ok && r.batch > 0 && now.Sub(r.at) < remoteTimeout {
			l = append(l, vm)
		}
	}
	return l
}

// online returns the best server of the shard; avoid leaves out those that failed lately.
func (s *shard) online(v string, skip map[string]bool, now time.Time, avoid bool) (best choice, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if !e.usable(v, skip, now, avoid) {
			continue
		}
		online, batch := s.load(e, now)
		slots := int(e.backend.Slots())
		if online >= slots+slots/queueShare {
			continue
		}
		n := float64(online) + 1 + jitter*rand.Float64()
		if online+batch >= slots {
			n += yieldCost
		}
		c := choice{shard: s, id: id, score: n / float64(slots) * e.slowness()}
		if c.better(best) {
			best, ok = c, true
		}
	}
	return best, ok
}

// usable reports whether e may get requests of service v.
func (e *entry) usable(v string, skip map[string]bool, now time.Time, avoid bool) bool {
	return e.backend.Service() == v && !e.backend.Draining() && !skip[e.backend.ID()] && (!avoid || !now.Before(e.until))
}

// slowness returns the time per event, or one where it is unknown.
func (e *entry) slowness() float64 {
	if e.pace == 0 {
		return 1
	}
	return e.pace
}

// take counts one more request at server id.
func (s *shard) take(id string, batch bool) *Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return nil
	}
	if batch {
		e.batch++
		e.started = time.Now()
	} else {
		e.online++
	}
	return &Reservation{shard: s, entry: e, backend: e.backend, batch: batch}
}
