// Package fleet keeps what an entry knows of the backend servers.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const shardCount = 16

// Fleet holds the newest load report of each backend server, and the entry's own experience with it.
type Fleet struct {
	shards [shardCount]shard
	index  atomic.Pointer[index]
	build  sync.Mutex // Orders rebuilds of the index.
}

type shard struct {
	mu      sync.Mutex
	servers map[string]*server // By VM.
}

// index lists the VMs that offer a model or a service; it is not changed once it is built.
type index struct {
	models   map[string][]string
	services map[string][]string
}

// New returns an empty fleet.
func New() *Fleet {
	f := &Fleet{}
	for i := range f.shards {
		f.shards[i].servers = map[string]*server{}
	}
	f.index.Store(&index{})
	return f
}

func (f *Fleet) shard(v string) *shard { return &f.shards[xxhash.Sum64String(v)%shardCount] }

// Receive takes in the load reports of m.
func (f *Fleet) Receive(m bulrushlug.Message) {
	changed := false
	for _, l := range m.Loads() {
		if f.shard(l.VM()).report(l) {
			changed = true
		}
	}
	if changed {
		f.rebuild()
	}
}

func (s *shard) report(l bulrushlug.Load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.servers[l.VM()]
	if !ok {
		x = &server{}
		s.servers[l.VM()] = x
	}
	return x.report(l)
}

// rebuild works out the index anew and forgets servers that were silent for long.
func (f *Fleet) rebuild() {
	f.build.Lock()
	defer f.build.Unlock()
	n := &index{models: map[string][]string{}, services: map[string][]string{}}
	for i := range f.shards {
		f.shards[i].collect(n)
	}
	f.index.Store(n)
}

func (s *shard) collect(n *index) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, x := range s.servers {
		if time.Since(x.seen) > knownTime {
			delete(s.servers, v)
			continue
		}
		for _, m := range x.load.Models() {
			n.models[m] = append(n.models[m], v)
		}
		for _, p := range x.load.Services() {
			n.services[p] = append(n.services[p], v)
		}
	}
}

// Offering returns the servers that offer what r needs.
func (f *Fleet) Offering(r *bulrushlug.Request) []bulrushlug.View {
	n := f.index.Load()
	l := n.models[r.Model()]
	if r.Route() != "" {
		l = n.services[r.Route()]
	}
	var o []bulrushlug.View
	for _, v := range l {
		if x, ok := f.view(v, r.Batch()); ok {
			o = append(o, x)
		}
	}
	return o
}

// All returns every server.
func (f *Fleet) All() []bulrushlug.View {
	var o []bulrushlug.View
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, x := range s.servers {
			o = append(o, x.view(false))
		}
		s.mu.Unlock()
	}
	return o
}

func (f *Fleet) view(v string, batch bool) (bulrushlug.View, bool) {
	s := f.shard(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.servers[v]
	if !ok || x.load.Leaving() {
		return bulrushlug.View{}, false
	}
	return x.view(batch), true
}

func (s *server) view(batch bool) bulrushlug.View {
	return bulrushlug.NewView(s.load,
		bulrushlug.ViewHealth(time.Since(s.seen) < liveTime, time.Now().Before(s.avoid)),
		bulrushlug.ViewCost(s.busy(batch), s.delay))
}

func (f *Fleet) with(v string, g func(s *server)) {
	s := f.shard(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.servers[v]; ok {
		g(x)
	}
}

// Begin notes that a request is sent to VM v.
func (f *Fleet) Begin(v string) {
	f.with(v, func(s *server) {
		s.open++
		s.sent++
	})
}

// End notes that a request to VM v is over.
func (f *Fleet) End(v string) {
	f.with(v, func(s *server) { s.open = max(0, s.open-1) })
}

// Answered notes that the first piece of an answer came from VM v after d.
func (f *Fleet) Answered(v string, d time.Duration) {
	f.with(v, func(s *server) { s.answered(d) })
}

// Fail notes that VM v did not answer.
func (f *Fleet) Fail(v string) {
	f.with(v, func(s *server) { s.fail() })
}
