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

// Table is a linearizable key-value table.
type Table struct {
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
	items map[string]bulrushlug.Item // Revision of each item is at least 1.
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].items = map[string]bulrushlug.Item{}
	}
	return t
}

// SetOutage makes all calls fail while v is true.
func (t *Table) SetOutage(v bool) { t.outage.Store(v) }

// SetDelay makes each call take d longer.
func (t *Table) SetDelay(d time.Duration) { t.delay.Store(int64(d)) }

// LoseAnswers makes the next n writes take effect but fail for the caller.
func (t *Table) LoseAnswers(n int) { t.lose.Store(int64(n)) }

// Calls returns the number of reads and writes.
func (t *Table) Calls() (reads, writes uint64) { return t.reads.Load(), t.writes.Load() }

func (t *Table) shard(k string) *shard { return &t.shards[xxhash.Sum64String(k)%shardCount] }

// enter applies delay and outage to one call.
func (t *Table) enter(c context.Context) error {
	if d := time.Duration(t.delay.Load()); d > 0 {
		if err := bulrushlug.Wait(c, d); err != nil {
			return err
		}
	}
	if t.outage.Load() {
		return bulrushlug.NewFault(bulrushlug.KindStoreDown, "key-value service is out")
	}
	return c.Err()
}

// answer loses the answer to a write that took effect, where that was asked for.
func (t *Table) answer() error {
	for {
		n := t.lose.Load()
		if n <= 0 {
			return nil
		}
		if t.lose.CompareAndSwap(n, n-1) {
			return bulrushlug.NewFault(bulrushlug.KindStoreDown, "answer lost")
		}
	}
}

// Get returns the entry under k; its revision is zero if there is none.
func (t *Table) Get(c context.Context, k string) (bulrushlug.Item, error) {
	t.reads.Add(1)
	if err := t.enter(c); err != nil {
		return bulrushlug.Item{}, err
	}
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[k], nil
}

// Swap writes v under k if the entry's revision is prev.
func (t *Table) Swap(c context.Context, k string, v []byte, prev uint64) (uint64, error) {
	t.writes.Add(1)
	if len(v) > MaxValueBytes {
		return 0, bulrushlug.NewFault(bulrushlug.KindTooLarge, "%s: value of %d bytes", k, len(v))
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

func (t *Table) swap(k string, v []byte, prev uint64) (uint64, error) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.items[k].Revision(); n != prev {
		return 0, bulrushlug.NewFault(bulrushlug.KindConflict, "%s: revision is %d, not %d", k, n, prev)
	}
	n := t.revision.Add(1)
	i := bulrushlug.NewItem(k, slices.Clone(v), n)
	s.items[k] = i
	t.watches.publish(i)
	return n, nil
}

// Delete removes the entry under k if its revision is prev.
func (t *Table) Delete(c context.Context, k string, prev uint64) error {
	t.writes.Add(1)
	if err := t.enter(c); err != nil {
		return err
	}
	if err := t.remove(k, prev); err != nil {
		return err
	}
	return t.answer()
}

func (t *Table) remove(k string, prev uint64) error {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.items[k].Revision(); n != prev {
		return bulrushlug.NewFault(bulrushlug.KindConflict, "%s: revision is %d, not %d", k, n, prev)
	}
	delete(s.items, k)
	t.watches.publish(bulrushlug.NewItem(k, nil, t.revision.Add(1)))
	return nil
}

// List returns the entries whose keys start with p, in the order of keys, and the revision.
func (t *Table) List(c context.Context, p string) ([]bulrushlug.Item, uint64, error) {
	t.reads.Add(1)
	if err := t.enter(c); err != nil {
		return nil, 0, err
	}
	n := t.revision.Load()
	var l []bulrushlug.Item
	for i := range t.shards {
		l = append(l, t.shards[i].list(p)...)
	}
	slices.SortFunc(l, func(a, b bulrushlug.Item) int { return strings.Compare(a.Key(), b.Key()) })
	return l, n, nil
}

func (s *shard) list(p string) []bulrushlug.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []bulrushlug.Item
	for k, i := range s.items {
		if strings.HasPrefix(k, p) {
			l = append(l, i)
		}
	}
	return l
}

// Watch returns a channel of the writes under p, and a function that ends it; a slow reader loses writes.
func (t *Table) Watch(p string) (<-chan bulrushlug.Item, func()) {
	t.reads.Add(1)
	return t.watches.add(p)
}
