// Package hush finds backend servers that have fallen silent while others are heard.
package hush

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 8
	witnesses  = 3                      // Other servers that must be heard meanwhile; otherwise this process may be what stands still.
	standstill = 300 * time.Millisecond // Time without any event after which this process may have stood still.
	keepTime   = time.Minute            // Time after which a server that is not heard is forgotten.
)

// Monitor knows when an event of any response last came from each server.
//
// Load pattern: servers go dark in the middle of many streams without a word. Callers leave after some seconds of silence,
// which is also when a single stream would know by itself that it has stalled.
type Monitor struct {
	start   time.Time
	last    atomic.Int64 // Last event of any server, since start.
	resumed atomic.Int64 // End of the last standstill, since start; the start is one.
	shards  [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	heard map[string]time.Time // Last event by server; younger than keepTime at the last addition.
}

// New returns a monitor that has heard nothing.
func New() *Monitor {
	m := &Monitor{start: time.Now()}
	for i := range m.shards {
		m.shards[i].heard = map[string]time.Time{}
	}
	return m
}

// Hear records that an event came from server id.
func (m *Monitor) Hear(id string) {
	s := &m.shards[xxhash.Sum64String(id)%shardCount]
	now := time.Now()
	if n := int64(now.Sub(m.start)); n-m.last.Swap(n) > int64(standstill) {
		m.resumed.Store(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.heard[id]; !ok {
		s.forget(now.Add(-keepTime))
	}
	s.heard[id] = now
}

// forget removes the servers not heard since t; the caller holds the lock.
func (s *shard) forget(t time.Time) {
	for id, h := range s.heard {
		if h.Before(t) {
			delete(s.heard, id)
		}
	}
}

// Silent reports whether nothing came from server id for d, while others were heard all that time, and enough of them in its
// second half. After a standstill of this process or its network, servers are heard again one after the other.
func (m *Monitor) Silent(id string, d time.Duration) bool {
	now := time.Now()
	n := now.Sub(m.start)
	if n-time.Duration(m.last.Load()) > standstill || n-time.Duration(m.resumed.Load()) < d {
		return false
	}
	others := 0
	for i := range m.shards {
		n, heard := m.shards[i].count(id, now, d)
		if heard {
			return false
		}
		others += n
	}
	return others >= witnesses
}

// count returns the servers other than id heard in the last d/2, and whether id was heard in less than d.
func (s *shard) count(id string, now time.Time, d time.Duration) (n int, heard bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x, t := range s.heard {
		switch a := now.Sub(t); {
		case x == id && a < d:
			return 0, true
		case x != id && a <= d/2:
			n++
		}
	}
	return n, false
}
