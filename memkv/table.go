// Package memkv is an in-memory key-value service that can be told to fail.
package memkv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount = 16
	// MaxValueBytes is the largest value that the service holds.
	MaxValueBytes = 1 << 20
)

// Store is a linearizable key-value table.
type Store struct {
	revision atomic.Uint64 // Rises with each write.
	reads    atomic.Uint64
	writes   atomic.Uint64
	outage   atomic.Bool
	delay    atomic.Int64 // Nanoseconds added to each call.
	lose     atomic.Int64 // Writes that take effect and whose answer is still to be lost.
	shards   [shardCount]shard
	watches  watches
}

type shard struct {
	mu    sync.Mutex
	items map[string]bulrushlug.KVEntry // Revision of each item is at least 1.
}

// New returns an empty table.
func New() *Store {
	t := &Store{}
	for i := range t.shards {
		t.shards[i].items = map[string]bulrushlug.KVEntry{}
	}
	return t
}

// SetOutage makes all calls fail while v is true.
func (t *Store) SetOutage(v bool) { t.outage.Store(v) }

// SetDelay makes each call take d longer.
func (t *Store) SetDelay(d time.Duration) { t.delay.Store(int64(d)) }

// DropResponses makes the next n writes take effect but fail for the caller.
func (t *Store) DropResponses(n int) { t.lose.Store(int64(n)) }

// Calls returns the number of reads and writes.
func (t *Store) Calls() (reads, writes uint64) { return t.reads.Load(), t.writes.Load() }

func (t *Store) shard(k string) *shard { return &t.shards[xxhash.Sum64String(k)%shardCount] }

// enter applies delay and outage to one call.
func (t *Store) enter(c context.Context) error {
	if d := time.Duration(t.delay.Load()); d > 0 {
		if err := bulrushlug.Sleep(c, d); err != nil {
			return err
		}
	}
	if t.outage.Load() {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "key-value service is out")
	}
	return c.Err()
}

// answer loses the answer to a write that took effect, where that was asked for.
func (t *Store) answer() error {
	for {
		n := t.lose.Load()
		if n <= 0 {
			return nil
		}
		if t.lose.CompareAndSwap(n, n-1) {
			return bulrushlug.Errorf(bulrushlug.KindStoreDown, "answer lost")
		}
	}
}

// Get returns the entry under k; its revision is zero if there is none.
func (t *Store) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	t.reads.Add(1)
	if err := t.enter(c); err != nil {
		return bulrushlug.KVEntry{}, err
	}
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[k], nil
}

// CompareAndSwap writes v under k if the entry's revision is prev.
func (t *Store) CompareAndSwap(c context.Context, k string, v []byte, prev uint64) (uint64, error) {
	t.writes.Add(1)
	if len(v) > MaxValueBytes {
		return 0, bulrushlug.Errorf(bulrushlug.KindTooLarge, "%s: value of %d bytes", k, len(v))
	}
	if err := t.enter(c); err != nil {
		return 0, err
	}
	n, err := t.swap(k, v, prev)
	if err != nil {
		return 0, err
	}
	return n, t.answer()
}

func (t *Store) swap(k string, v []byte, prev uint64) (uint64, error) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.items[k].Revision(); n != prev {
		return 0, bulrushlug.Errorf(bulrushlug.KindConflict, "%s: revision is %d, not %d", k, n, prev)
	}
	n := t.revision.Add(1)
	i := bulrushlug.NewKVEntry(k, slices.Clone(v), n)
	s.items[k] = i
	t.watches.publish(i)
	return n, nil
}

// Delete removes the entry under k if its revision is prev.
func (t *Store) Delete(c context.Context, k string, prev uint64) error {
	t.writes.Add(1)
	if err := t.enter(c); err != nil {
		return err
	}
	if err := t.remove(k, prev); err != nil {
		return err
	}
	return t.answer()
}

func (t *Store) remove(k string, prev uint64) error {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.items[k].Revision(); n != prev {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "%s: revision is %d, not %d", k, n, prev)
	}
	delete(s.items, k)
	t.watches.publish(bulrushlug.NewKVEntry(k, nil, t.revision.Add(1)))
	return nil
}

// List returns the entries whose keys start with p, in the order of keys, and the revision.
func (t *Store) List(c context.Context, p string) ([]bulrushlug.KVEntry, uint64, error) {
	t.reads.Add(1)
	if err := t.enter(c); err != nil {
		return nil, 0, err
	}
	n := t.revision.Load()
	var l []bulrushlug.KVEntry
	for i := range t.shards {
		l = append(l, t.shards[i].list(p)...)
	}
	slices.SortFunc(l, func(a, b bulrushlug.KVEntry) int { return strings.Compare(a.Key(), b.Key()) })
	return l, n, nil
}

func (s *shard) list(p string) []bulrushlug.KVEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []bulrushlug.KVEntry
	for k, i := range s.items {
		if strings.HasPrefix(k, p) {
			l = append(l, i)
		}
	}
	return l
}

// Watch returns a channel of the writes under p, and a function that ends it; a slow reader loses writes.
func (t *Store) Watch(p string) (<-chan bulrushlug.KVEntry, func()) {
	t.reads.Add(1)
	return t.watches.add(p)
}
