package bulrushlug

import (
	"context"
	"time"
)

// KVEntry is one entry of the key-value service.
type KVEntry struct {
	key      string
	value    []byte
	revision uint64 // Revision of the last write; zero if the key does not exist.
	// retention is the time for which the entry is kept although it is gone from the service; zero if it is there.
	retention time.Duration
}

// NewKVEntry returns the entry with key k, last written at revision n.
func NewKVEntry(k string, v []byte, n uint64) KVEntry { return KVEntry{key: k, value: v, revision: n} }

// Key returns the key.
func (i KVEntry) Key() string { return i.key }

// Value returns the value.
func (i KVEntry) Value() []byte { return i.value }

// Revision returns the revision of the last write.
func (i KVEntry) Revision() uint64 { return i.revision }

// Retention returns the time for which the entry is kept although it is gone from the service; zero if it is there.
func (i KVEntry) Retention() time.Duration { return i.retention }

// WithRetention returns a copy of i that is gone from the service and kept for d.
func (i KVEntry) WithRetention(d time.Duration) KVEntry {
	i.retention = d
	return i
}

// Store is the platform's key-value service with compare-and-swap. A write that fails may still have taken effect.
type Store interface {
	// Get returns the entry with key k; its revision is zero if the key does not exist.
	Get(c context.Context, k string) (KVEntry, error)
	// CompareAndSwap writes v under k if the entry's revision is prev, and fails with KindConflict otherwise.
	CompareAndSwap(c context.Context, k string, v []byte, prev uint64) (uint64, error)
	// Delete deletes the entry with key k if its revision is prev.
	Delete(c context.Context, k string, prev uint64) error
	// List returns the entries whose keys have prefix p, sorted by key, and the revision of the listing.
	List(c context.Context, p string) ([]KVEntry, uint64, error)
}

// VMList is the platform's list of VMs; it lags behind their actual state.
type VMList interface {
	// Members returns the live and the leaving VMs.
	Members(c context.Context) ([]Member, error)
}

// Engine is the model engine on an agent's VM.
type Engine interface {
	Stage
	// Load makes the engine serve version v of model m; the fencing token fence orders the commands of several senders.
	Load(c context.Context, m, v string, fence uint64) error
	// Slots returns the engine's maximum number of concurrent requests.
	Slots(c context.Context) (uint32, error)
}

// Sleep waits for d; it returns the error of c if c ends first.
func Sleep(c context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c.Done():
		return c.Err()
	}
}
