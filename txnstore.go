package bulrushlug

import (
	"context"
	"time"
)

// Write is one write of a transaction: it sets or deletes an entry.
type Write struct {
	key    string
	value  []byte
	lease  uint64 // Lease whose expiry deletes the entry; zero for none.
	remove bool
}

// PutWrite sets key k to v until lease l expires; l is zero for a permanent entry.
func PutWrite(k string, v []byte, l uint64) Write { return Write{key: k, value: v, lease: l} }

// RemoveWrite deletes the entry with key k.
func RemoveWrite(k string) Write { return Write{key: k, remove: true} }

// Key returns the key.
func (w Write) Key() string { return w.key }

// Value returns the value.
func (w Write) Value() []byte { return w.value }

// Lease returns the lease whose expiry deletes the entry; zero for none.
func (w Write) Lease() uint64 { return w.lease }

// Remove reports whether the write deletes the entry.
func (w Write) Remove() bool { return w.remove }

// Condition is a precondition of a transaction: the entry was last written at the revision, or does not exist if the
// revision is zero.
type Condition struct {
	key      string
	revision uint64
}

// NewCondition returns the condition that the entry with key k has revision n.
func NewCondition(k string, n uint64) Condition { return Condition{key: k, revision: n} }

// Key returns the key.
func (c Condition) Key() string { return c.key }

// Revision returns the revision that the entry must have; zero if it must not exist.
func (c Condition) Revision() uint64 { return c.revision }

// TxnStore is a key-value service with watches, leases and transactions.
//
// KindStoreDown and KindRateLimited mean that a call had no effect; after KindUncertain a write may have taken
// effect, or may still take effect as long as its conditions hold.
type TxnStore interface {
	// Get returns the entry with key k; its revision is zero if the key does not exist.
	Get(c context.Context, k string) (KVEntry, error)
	// List returns the entries whose keys have prefix p, sorted by key, and the revision of the first page.
	List(c context.Context, p string) ([]KVEntry, uint64, error)
	// ListStale is List with stale reads, at a tenth of the cost; the entries may be seconds old.
	ListStale(c context.Context, p string) ([]KVEntry, error)
	// Watch returns the changes to entries with key prefix p after revision n, and the revision for the next call.
	// A deleted entry has a nil value and the revision of its deletion.
	// It waits up to d for a change, and fails with KindHistoryLost if that history has been compacted.
	Watch(c context.Context, p string, n uint64, d time.Duration) ([]KVEntry, uint64, error)
	// Commit applies all writes atomically if all conditions hold, and fails with KindConflict otherwise.
	Commit(c context.Context, l []Condition, w []Write) (uint64, error)
	// Grant returns a new lease with time to live d.
	Grant(c context.Context, d time.Duration) (uint64, error)
	// Renew renews lease l; it fails with KindNotFound if the lease has expired.
	Renew(c context.Context, l uint64) error
	// Revoke ends lease l and deletes its entries.
	Revoke(c context.Context, l uint64) error
}
