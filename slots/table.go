// Package slots counts the requests at each backend server and picks servers by them.
package slots

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	shardCount    = 8
	remoteTimeout = 1500 * time.Millisecond // Age at which the usage that another process reported no longer counts.
	queueShare    = 4                       // A server takes one waiting online request for so many slots.
	// batchReserve is the share of a service's slots that new batch items leave idle: online requests that come
	// before the next reports find them there.
	batchReserve = 0.1
	startPause   = 100 * time.Millisecond // Time between starts at a server that another process has first; its reports come as often.
	jitter       = 0.5                    // Random part of a score, in requests; spreads processes that see the same counts.
	firstPenalty = time.Second            // Time for which a server that failed is passed over.
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
	fence   chan struct{} // Closed once this start of the server is gone.
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
		if b, ok := m[id]; !ok || !b.Same(e.backend) {
			close(e.fence)
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
	s.entries[b.ID()] = &entry{backend: b, fence: make(chan struct{})}
}

// Remote notes what the process vm has under way.
func (t *Table) Remote(vm string, l []bulrushlug.Usage) {
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

// Known returns the number of servers of service v that take requests.
func (t *Table) Known(v string) (n int) {
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
	full  bool    // All slots are taken.
	batch int     // Batch items that hold slots.
}

// better reports whether c is to be picked before d.
func (c choice) better(d choice) bool {
	if d.shard == nil || c.full != d.full {
		return d.shard == nil || d.full
	}
	return c.score < d.score
}

// Online picks a server of service v for an online request, and says whether batch items should make room there.
//
// Servers in skip are left out. Without room at any server the result is nil.
func (t *Table) Online(v string, skip map[string]bool) (l *Lease, yield bool) {
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
		return nil, false
	}
	return best.shard.take(best.id, false), best.full && best.batch > 0
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
		c := choice{shard: s, id: id, batch: batch, full: online+batch >= slots}
		c.score = (float64(online+batch) + 1 + jitter*rand.Float64()) / float64(slots) * e.slowness()
		if c.full {
			c.score = (float64(online) + jitter*rand.Float64()) / float64(slots)
		}
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

// order tells which process comes first with its batch items at each server.
type order struct {
	self string
	all  []string // All processes that run batch items.
}

func (t *Table) order() order { return order{self: t.self, all: append(t.rivals(), t.self)} }

// first reports whether this process comes before all others at server id.
func (o order) first(id string) bool {
	return rank.First(id, o.all, func(string) bool { return true }) == o.self
}

// before returns the processes that come before this one at server id.
func (o order) before(id string) []string {
	l := rank.Order(id, o.all)
	return l[:slices.Index(l, o.self)]
}

// Batch picks a server of service v with a slot that online requests leave idle, or returns nil.
//
// At each server one process comes first, so that processes rarely start items for the same slot.
func (t *Table) Batch(v string) *Lease {
	now := time.Now()
	o := t.order()
	var best choice
	free, all := 0, 0
	for i := range t.shards {
		c, ok, f, n := t.shards[i].idle(v, o, now)
		free += f
		all += n
		if ok && c.better(best) {
			best = c
		}
	}
	if best.shard == nil || float64(free-1) < batchReserve*float64(all) {
		return nil
	}
	return best.shard.take(best.id, true)
}

// idle returns the best server of the shard, how many slots of service v are idle in it, and how many there are.
func (s *shard) idle(v string, o order, now time.Time) (best choice, ok bool, free, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if !e.usable(v, nil, now, true) {
			continue
		}
		online, batch := s.load(e, now)
		n := max(0, int(e.backend.Slots())-online-batch)
		all += int(e.backend.Slots())
		free += n
		first := o.first(id)
		if n == 0 || !first && now.Sub(e.started) < startPause {
			continue
		}
		c := choice{shard: s, id: id, full: !first, score: -float64(n) - jitter*rand.Float64()}
		if c.better(best) {
			best, ok = c, true
		}
	}
	return best, ok, free, all
}

// Excess returns how many own batch items at each server have to make room for online requests.
//
// Processes make room in an order that all of them know, so that no two end items for the same request.
func (t *Table) Excess() map[string]int {
	m := map[string]int{}
	o := t.order()
	for i := range t.shards {
		t.shards[i].excess(o, m)
	}
	return m
}

func (s *shard) excess(o order, m map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, e := range s.entries {
		if e.batch == 0 {
			continue
		}
		online, _ := s.load(e, now)
		room := int(e.backend.Slots()) - online - s.before(o, id, now)
		if n := e.batch - max(0, room); n > 0 {
			m[id] = n
		}
	}
}

// before returns the batch items at server id of the processes that come before this one.
func (s *shard) before(o order, id string, now time.Time) (n int) {
	for _, vm := range o.before(id) {
		if r, ok := s.remote[vm][id]; ok && now.Sub(r.at) < remoteTimeout {
			n += r.batch
		}
	}
	return n
}

// take counts one more request at server id.
func (s *shard) take(id string, batch bool) *Lease {
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
	return &Lease{shard: s, entry: e, backend: e.backend, batch: batch}
}

// Lease is the right to one request at a backend server, until Release.
type Lease struct {
	shard   *shard
	entry   *entry
	backend bulrushlug.Backend
	batch   bool
	once    sync.Once
}

// Backend returns the server.
func (l *Lease) Backend() bulrushlug.Backend { return l.backend }

// Gone is closed once this start of the server has left the list.
func (l *Lease) Gone() <-chan struct{} { return l.entry.fence }

// Release ends the request.
func (l *Lease) Release() {
	l.once.Do(func() {
		l.shard.mu.Lock()
		defer l.shard.mu.Unlock()
		if l.batch {
			l.entry.batch--
		} else {
			l.entry.online--
		}
	})
}

// Failed passes the server over for a while, twice as long after each failure.
func (l *Lease) Failed() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	e := l.entry
	e.penalty = min(max(firstPenalty, 2*e.penalty), maxPenalty)
	e.until = time.Now().Add(e.penalty)
}

// Answered notes an answer with so many seconds between its events; zero if they are unknown.
func (l *Lease) Answered(pace float64) {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.entry.penalty = 0
	l.entry.until = time.Time{}
	switch {
	case pace <= 0:
	case l.entry.pace == 0:
		l.entry.pace = pace
	default:
		l.entry.pace += paceWeight * (pace - l.entry.pace)
	}
}
