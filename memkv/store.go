// Package memkv is an in-memory key-value service with fault injection.
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
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
)

// Store is a linearizable key-value store, sharded by key with a lock for each shard; writes compare and swap revisions.
type Store struct {
	revision        atomic.Uint64 // Incremented by each write.
	reads           atomic.Uint64
	writes          atomic.Uint64
	outage          atomic.Bool
	delay           atomic.Int64 // Injected latency in nanoseconds.
	responsesToDrop atomic.Int64 // Number of further writes that take effect but return an error.
	shards          [shardCount]shard
	watches         watches
}

// shard holds the entries of the keys that hash to it.
type shard struct {
	mu      sync.Mutex
	entries map[string]bulrushlug.KVEntry // By key; every revision is at least 1.
}

// New returns an empty store.
func New() *Store {
	t := &Store{}
	for i := range t.shards {
		t.shards[i].entries = map[string]bulrushlug.KVEntry{}
	}
	return t
}

// SetOutage makes all calls fail with KindStoreDown while v is true.
func (t *Store) SetOutage(v bool) { t.outage.Store(v) }

// SetDelay adds the latency d to each call.
func (t *Store) SetDelay(d time.Duration) { t.delay.Store(int64(d)) }

// DropResponses makes the next n writes take effect but return KindStoreDown, as if the response had been lost.
func (t *Store) DropResponses(n int) { t.responsesToDrop.Store(int64(n)) }

// Calls returns the number of reads and writes since the start, failed ones included.
func (t *Store) Calls() (reads, writes uint64) { return t.reads.Load(), t.writes.Load() }

func (t *Store) shard(k string) *shard { return &t.shards[xxhash.Sum64String(k)%shardCount] }

// applyFaults waits for the injected latency and returns the error of an injected outage.
func (t *Store) applyFaults(c context.Context) error {
	if d := time.Duration(t.delay.Load()); d > 0 {
		if err := bulrushlug.Sleep(c, d); err != nil {
			return err
		}
	}
	if t.outage.Load() {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "key-value service is unavailable")
	}
	return c.Err()
}

// dropResponse returns an error if the response of the current write is to be dropped.
func (t *Store) dropResponse() error {
	for {
		n := t.responsesToDrop.Load()
		if n <= 0 {
			return nil
		}
		if t.responsesToDrop.CompareAndSwap(n, n-1) {
			return bulrushlug.Errorf(bulrushlug.KindStoreDown, "response lost")
		}
	}
}

// Get returns the entry of key k; its revision is zero if the key does not exist.
func (t *Store) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	t.reads.Add(1)
	if err := t.applyFaults(c); err != nil {
		return bulrushlug.KVEntry{}, err
	}
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[k], nil
}

// CompareAndSwap sets key k to v if its revision is prev, and returns the new revision.
//
// It fails with KindConflict if the revision differs, and with KindTooLarge above MaxValueBytes.
func (t *Store) CompareAndSwap(c context.Context, k string, v []byte, prev uint64) (uint64, error) {
	t.writes.Add(1)
	if len(v) > MaxValueBytes {
		return 0, bulrushlug.Errorf(bulrushlug.KindTooLarge, "%s: value of %d bytes is too large", k, len(v))
	}
	if err := t.applyFaults(c); err != nil {
		return 0, err
	}
	n, err := t.compareAndSwap(k, v, prev)
	if err != nil {
		return 0, err
	}
	return n, t.dropResponse()
}

func (t *Store) compareAndSwap(k string, v []byte, prev uint64) (uint64, error) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.entries[k].Revision(); n != prev {
		return 0, bulrushlug.Errorf(bulrushlug.KindConflict, "%s: revision is %d, expected %d", k, n, prev)
	}
	n := t.revision.Add(1)
	i := bulrushlug.NewKVEntry(k, slices.Clone(v), n)
	s.entries[k] = i
	t.watches.publish(i)
	return n, nil
}

// Delete removes key k if its revision is prev, and fails with KindConflict otherwise.
func (t *Store) Delete(c context.Context, k string, prev uint64) error {
	t.writes.Add(1)
	if err := t.applyFaults(c); err != nil {
		return err
	}
	if err := t.remove(k, prev); err != nil {
		return err
	}
	return t.dropResponse()
}

func (t *Store) remove(k string, prev uint64) error {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.entries[k].Revision(); n != prev {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "%s: revision is %d, expected %d", k, n, prev)
	}
	delete(s.entries, k)
	t.watches.publish(bulrushlug.NewKVEntry(k, nil, t.revision.Add(1)))
	return nil
}

// List returns the entries whose keys start with p, sorted by key, and a revision from before they were read.
func (t *Store) List(c context.Context, p string) ([]bulrushlug.KVEntry, uint64, error) {
	t.reads.Add(1)
	if err := t.applyFaults(c); err != nil {
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
	for k, i := range s.entries {
		if strings.HasPrefix(k, p) {
			l = append(l, i)
		}
	}
	return l
}

// Watch returns a channel of the changes of keys that start with p, and a function that cancels the watch.
//
// A change with a nil value is a removal. A consumer that falls more than watchBuffer changes behind misses some.
func (t *Store) Watch(p string) (<-chan bulrushlug.KVEntry, func()) {
	t.reads.Add(1)
	return t.watches.add(p)
}
