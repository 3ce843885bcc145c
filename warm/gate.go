// Package warm decides which backend servers may get one more request: none in a zone that operators evacuate, and few at
// a server that is cold, or that may be cold without this process knowing it.
//
// It answers the load of a server that is idle as it begins, or begins again, to serve: all processes see the same least
// loaded server and send to it before the next report. A cold server gets at most a given number of requests in any
// second from all processes together, so these divide the bound in advance, without messages: for each server the
// processes that rank first hold seats, and only they send to it while it is cold. Whoever hears whom does not matter.
package warm

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const shardCount = 8

// Members returns the processes that share the seats of this process's role, itself included, and a version that changes
// with the list. The list is nil while it is not known.
type members func() (vms []string, version uint64)

// Gate implements bulrushlug.ServerGate.
type Gate struct {
	self     string
	batch    bool // The process runs batch items.
	warmup   bulrushlug.Warmup
	members  members
	zones    atomic.Pointer[map[string]bool]               // Evacuated zones; the map is not changed.
	services atomic.Pointer[map[string]bulrushlug.Service] // Services whose servers need warm-up, by name; the map is not changed.
	isolated atomic.Bool                                   // This process hears too few others to learn that a server is cold.
	listed   atomic.Bool                                   // The servers were listed once.
	start    time.Time                                     // The clock of the runtime counts from here, whatever becomes of the time of day.
	ticked   atomic.Int64                                  // Last Tick, in nanoseconds since start; zero before the first.
	coldEnd  atomic.Int64                                  // No server is known to be cold after this time, in nanoseconds since start.
	shards   [shardCount]shard
}

// New returns the gate of the process on VM vm, which runs batch items if batch is set and only requests of callers
// otherwise. The bound of a cold server is that of w; f returns the processes of the same role.
func New(vm string, batch bool, w bulrushlug.Warmup, f members) *Gate {
	g := &Gate{self: vm, batch: batch, warmup: w, members: f, start: time.Now()}
	g.zones.Store(&map[string]bool{})
	g.services.Store(&map[string]bulrushlug.Service{})
	for i := range g.shards {
		g.shards[i].servers = map[string]*server{}
	}
	return g
}

func (g *Gate) shard(id string) *shard { return &g.shards[xxhash.Sum64String(id)%shardCount] }

// SetServices replaces the services; servers of those without a cold rate need no warm-up.
func (g *Gate) SetServices(l []bulrushlug.Service) {
	m := map[string]bulrushlug.Service{}
	for _, s := range l {
		if s.ColdRate() > 0 {
			m[s.Name()] = s
		}
	}
	g.services.Store(&m)
}

// Bounded reports whether any service needs warm-up.
func (g *Gate) Bounded() bool { return len(*g.services.Load()) > 0 }

// SetIsolated sets whether this process hears too few others to learn that a server is cold. Then it sends only to those
// where it holds a seat, as if all were cold.
func (g *Gate) SetIsolated(v bool) { g.isolated.Store(v) }

// Tick records that this process runs; once called, it is to be called several times a second, from one goroutine. After a gap
// of maxGap the process was stopped and what it knows of servers is old: all count as cold until it can know what it has
// missed. It returns the length of such a gap, or zero.
func (g *Gate) Tick(t time.Time) (gap time.Duration) {
	now, last := g.since(t), g.ticked.Load()
	if last > 0 && now-last >= int64(maxGap) {
		gap = time.Duration(now - last)
		for i := range g.shards {
			g.shards[i].chillAll(g, t)
		}
	}
	g.ticked.Store(max(1, now)) // Only now do requests go by the cold times alone.
	return gap
}

// since returns the nanoseconds from the start of g to t.
func (g *Gate) since(t time.Time) int64 { return int64(t.Sub(g.start)) }

// blind reports whether this process can't know which servers are cold at t: it is isolated, or it was stopped until now.
func (g *Gate) blind(t time.Time) bool {
	last := g.ticked.Load()
	return g.isolated.Load() || last > 0 && g.since(t)-last >= int64(maxGap)
}

// SetEvacuated replaces the evacuated zones by m, and returns the zones that are new in it and those that are no longer.
// The servers of the latter count as cold. It is called from one goroutine.
func (g *Gate) SetEvacuated(m map[string]bool) (begun, ended []string) {
	m = maps.Clone(m)
	old := *g.zones.Load()
	for z := range m {
		if !old[z] {
			begun = append(begun, z)
		}
	}
	for z := range old {
		if !m[z] {
			ended = append(ended, z)
		}
	}
	slices.Sort(begun)
	slices.Sort(ended)
	if len(ended) > 0 {
		now := time.Now()
		for i := range g.shards {
			g.shards[i].chill(g, ended, now)
		}
	}
	g.zones.Store(&m)
	return begun, ended
}

// Update replaces the list of backend servers.
func (g *Gate) Update(l []bulrushlug.Backend) {
	now := time.Now()
	first := !g.listed.Swap(true)
	listed := map[string]bool{}
	for _, b := range l {
		listed[b.ID()] = true
		g.shard(b.ID()).update(g, b, first, now)
	}
	for i := range g.shards {
		g.shards[i].forget(listed, now)
	}
}

// Suspect records that no connection to b could be made, as it may have restarted when it is back. Reports tell the
// other processes.
func (g *Gate) Suspect(b bulrushlug.Backend) { g.shard(b.ID()).suspect(g, b.ID(), "", time.Now()) }

// SuspectReported records that the process on VM vm could make no connection to the servers with the given identifiers. One
// process alone may be cut off, so a server counts as cold if two say so.
func (g *Gate) SuspectReported(vm string, ids []string) {
	for _, id := range ids {
		g.shard(id).suspect(g, id, vm, time.Now())
	}
}

// Suspects returns the identifiers of the servers to which this process lately could make no connection.
func (g *Gate) Suspects() (l []string) {
	now := time.Now()
	if !g.anyCold(now) {
		return nil
	}
	for i := range g.shards {
		l = append(l, g.shards[i].suspects(now)...)
	}
	slices.Sort(l)
	return l[:min(len(l), maxSuspects)]
}

// RecordCold records that b told this process that it stays cold for d. It reports whether b counted as warm, so that the
// other processes are to be told at once.
func (g *Gate) RecordCold(b bulrushlug.Backend, d time.Duration) (turned bool) {
	return g.shard(b.ID()).recordCold(g, b.ID(), d, true, time.Now())
}

// ColdReported records the servers that told another process that they are cold. One process is enough, as a server says so of
// itself.
func (g *Gate) ColdReported(l []bulrushlug.ColdServer) {
	for _, x := range l {
		g.shard(x.ID()).recordCold(g, x.ID(), x.Left(), false, time.Now())
	}
}

// Told returns the servers that lately told this process that they are cold.
func (g *Gate) Told() (l []bulrushlug.ColdServer) {
	now := time.Now()
	if !g.anyCold(now) {
		return nil
	}
	for i := range g.shards {
		l = append(l, g.shards[i].told(now)...)
	}
	slices.SortFunc(l, func(a, b bulrushlug.ColdServer) int { return strings.Compare(a.ID(), b.ID()) })
	return l[:min(len(l), maxSuspects)]
}

// Warm returns the listed servers that may turn cold at any moment, to be asked whether they have: those that need warm-up and
// count as warm. Draining servers and those in evacuated zones are left out.
func (g *Gate) Warm() (l []bulrushlug.Backend) {
	if !g.Bounded() {
		return nil
	}
	now := time.Now()
	for i := range g.shards {
		l = append(l, g.shards[i].listedWarm(g, now)...)
	}
	return l
}

// Cold returns the number of servers that count as cold.
func (g *Gate) Cold() (n int) {
	now := time.Now()
	for i := range g.shards {
		n += g.shards[i].cold(now)
	}
	return n
}

// Evacuated reports whether operators keep all requests from the servers of zone z.
func (g *Gate) Evacuated(z string) bool { return (*g.zones.Load())[z] }

// Open reports whether Admit would admit a request to b at time t.
func (g *Gate) Open(b bulrushlug.Backend, t time.Time) bool { return g.decide(b, t, false) }

// Admit admits one request to b at time t and counts it, or returns false.
func (g *Gate) Admit(b bulrushlug.Backend, t time.Time) bool { return g.decide(b, t, true) }

func (g *Gate) decide(b bulrushlug.Backend, t time.Time, count bool) bool {
	if g.Evacuated(b.Zone()) {
		return false
	}
	if !g.anyCold(t) && !g.blind(t) {
		return true
	}
	v, ok := g.service(b)
	return !ok || g.shard(b.ID()).admit(g, b.ID(), v, t, count)
}

// service returns the service of b; ok is false if its servers need no warm-up.
func (g *Gate) service(b bulrushlug.Backend) (v bulrushlug.Service, ok bool) {
	v, ok = (*g.services.Load())[b.Service()]
	return v, ok
}

// anyCold reports whether any server may count as cold at t.
func (g *Gate) anyCold(t time.Time) bool { return g.since(t) < g.coldEnd.Load() }

// extend records that a server is cold until t.
func (g *Gate) extend(t time.Time) {
	for n := g.since(t); ; {
		old := g.coldEnd.Load()
		if n <= old || g.coldEnd.CompareAndSwap(old, n) {
			return
		}
	}
}
