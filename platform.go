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
}

// NewKVEntry returns the entry under k that was last written at revision n.
func NewKVEntry(k string, v []byte, n uint64) KVEntry { return KVEntry{key: k, value: v, revision: n} }

// Key returns the key.
func (i KVEntry) Key() string { return i.key }

// Value returns the value.
func (i KVEntry) Value() []byte { return i.value }

// Revision returns the revision of the last write.
func (i KVEntry) Revision() uint64 { return i.revision }

// Store is the platform's key-value service; a failed write may have taken effect.
type Store interface {
	// Get returns the entry under k; its revision is zero if there is none.
	Get(c context.Context, k string) (KVEntry, error)
	// CompareAndSwap writes v under k if the entry's revision is prev, and fails with KindConflict otherwise.
	CompareAndSwap(c context.Context, k string, v []byte, prev uint64) (uint64, error)
	// Delete removes the entry under k if its revision is prev.
	Delete(c context.Context, k string, prev uint64) error
	// List returns the entries whose keys start with p, in the order of keys, and the revision.
	List(c context.Context, p string) ([]KVEntry, uint64, error)
}

// VMList is the platform's list of VMs; it lags.
type VMList interface {
	// Members returns the live and leaving VMs.
	Members(c context.Context) ([]Member, error)
}

// Engine is a model engine beside an agent.
type Engine interface {
	Stage
	// Load makes the engine serve version v of model m; fence orders commands of several senders.
	Load(c context.Context, m, v string, fence uint64) error
	// Slots returns how many requests the engine runs at once.
	Slots(c context.Context) (uint32, error)
}

// Sleep sleeps for d or until c ends.
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
