// Package event keeps the newest events of one process in memory for the timeline.
package event

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/clock"
)

const (
	shardCount = 8    // Shards of one log.
	shardSize  = 1024 // Capacity of one shard in events.
)

// Log keeps events in ring buffers, one for each shard; the oldest are overwritten.
type Log struct {
	vm     string
	clock  *clock.Clock
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	buffer []bulrushlug.Event // At most shardSize events.
	next   int                // Index of the oldest event once the buffer is full.
}

// New returns the log of the process on VM v.
func New(v string, k *clock.Clock) *Log { return &Log{vm: v, clock: k} }

// Record stamps e with the hybrid logical clock and stores it.
func (l *Log) Record(e bulrushlug.Event) {
	e = e.WithOrigin(l.vm, l.clock.Now())
	l.shards[xxhash.Sum64String(e.Request()+e.Job())%shardCount].add(e)
}

func (s *shard) add(e bulrushlug.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer) < shardSize {
		s.buffer = append(s.buffer, e)
		return
	}
	s.buffer[s.next] = e
	s.next = (s.next + 1) % shardSize
}

func (s *shard) all() []bulrushlug.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.buffer)
}

// Select returns the newest n events for which f is true, oldest first.
func (l *Log) Select(n int, f func(e bulrushlug.Event) bool) []bulrushlug.Event {
	var m []bulrushlug.Event
	for i := range l.shards {
		for _, e := range l.shards[i].all() {
			if f(e) {
				m = append(m, e)
			}
		}
	}
	slices.SortFunc(m, func(a, b bulrushlug.Event) int { return cmp.Compare(a.Timestamp(), b.Timestamp()) })
	return m[max(0, len(m)-n):]
}
