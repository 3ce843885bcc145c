// Package fleet tracks the load, health and latency of the backend servers as one entry sees them.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const shardCount = 16

// Fleet holds the newest load report of each backend server and the entry's own measurements, in shards by VM.
type Fleet struct {
	shards    [shardCount]shard
	index     atomic.Pointer[index]
	rebuildMu sync.Mutex // Serialises rebuilds of the index.
}

type shard struct {
	mu      sync.Mutex
	servers map[string]*server // By VM.
}

// index lists the VMs by the models and services that they offer; it is immutable once built.
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

// Receive stores the load reports in m, and rebuilds the index if what a server offers has changed.
func (f *Fleet) Receive(m bulrushlug.Message) {
	changed := false
	for _, l := range m.LoadReports() {
		if f.shard(l.VM()).report(l) {
			changed = true
		}
	}
	if changed {
		f.rebuild()
	}
}

func (s *shard) report(l bulrushlug.LoadReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.servers[l.VM()]
	if !ok {
		x = &server{}
		s.servers[l.VM()] = x
	}
	return x.report(l)
}

// rebuild replaces the index and removes servers whose last report is older than forgetAfter.
func (f *Fleet) rebuild() {
	f.rebuildMu.Lock()
	defer f.rebuildMu.Unlock()
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
		if time.Since(x.reportedAt) > forgetAfter {
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

// Offering returns the servers that offer the model or service of r and are not leaving.
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

// All returns all known servers, leaving ones included.
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
		bulrushlug.ViewHealth(time.Since(s.reportedAt) < liveTimeout, time.Now().Before(s.backOffUntil)),
		bulrushlug.ViewCost(s.loadPerSlot(batch), s.latency))
}

func (f *Fleet) update(v string, g func(s *server)) {
	s := f.shard(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.servers[v]; ok {
		g(x)
	}
}

// Begin records that a request is sent to VM v.
func (f *Fleet) Begin(v string) {
	f.update(v, func(s *server) {
		s.inFlight++
		s.sentSinceReport++
	})
}

// End records that a request to VM v has ended.
func (f *Fleet) End(v string) {
	f.update(v, func(s *server) { s.inFlight = max(0, s.inFlight-1) })
}

// ObserveLatency records that the first data of a response came from VM v after d, and resets its failure count.
func (f *Fleet) ObserveLatency(v string, d time.Duration) {
	f.update(v, func(s *server) { s.observeLatency(d) })
}

// RecordFailure records a failed request to VM v, which starts or extends its back-off.
func (f *Fleet) RecordFailure(v string) {
	f.update(v, func(s *server) { s.backOff() })
}
