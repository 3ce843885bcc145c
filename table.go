package bulrushlug

import (
	"context"
	"time"
)

// Write is one entry that a transaction puts or removes.
type Write struct {
	key    string
	value  []byte
	lease  uint64 // Lease that removes the entry when it ends; zero for none.
	remove bool
}

// PutWrite puts v under k until lease l ends; l is zero for an entry that stays.
func PutWrite(k string, v []byte, l uint64) Write { return Write{key: k, value: v, lease: l} }

// RemoveWrite removes the entry under k.
func RemoveWrite(k string) Write { return Write{key: k, remove: true} }

// Key returns the key.
func (w Write) Key() string { return w.key }

// Value returns the value.
func (w Write) Value() []byte { return w.value }

// Lease returns the lease, or zero.
func (w Write) Lease() uint64 { return w.lease }

// Remove reports whether the entry is removed.
func (w Write) Remove() bool { return w.remove }

// Condition requires that an entry was last written at a revision; zero means that it does not exist.
type Condition struct {
	key      string
	revision uint64
}

// NewCondition requires revision n of the entry under k.
func NewCondition(k string, n uint64) Condition { return Condition{key: k, revision: n} }

// Key returns the key.
func (c Condition) Key() string { return c.key }

// Revision returns the revision that the entry must have.
func (c Condition) Revision() uint64 { return c.revision }

// TxnStore is a key-value service with watches, leases and transactions.
//
// KindStoreDown and KindRateLimited mean that nothing was done; after KindUncertain a write may have taken
// effect, or may take effect later while its conditions hold.
type TxnStore interface {
	// Get returns the entry under k; its revision is zero if there is none.
	Get(c context.Context, k string) (KVEntry, error)
	// List returns the entries whose keys start with p, in the order of keys, and the revision of the first page.
	List(c context.Context, p string) ([]KVEntry, uint64, error)
	// ListStale is List at a tenth of its price; the entries may be seconds old.
	ListStale(c context.Context, p string) ([]KVEntry, error)
	// Watch returns the changes of entries under p after revision n, and the revision to go on from.
	// The revision of a removed entry's Item is that of its removal and its value is nil.
	// It waits up to d for one, and fails with KindHistoryLost if that history was dropped.
	Watch(c context.Context, p string, n uint64, d time.Duration) ([]KVEntry, uint64, error)
	// Commit makes all writes if all conditions hold, and fails with KindConflict otherwise.
	Commit(c context.Context, l []Condition, w []Write) (uint64, error)
	// Grant returns a new lease of length d.
	Grant(c context.Context, d time.Duration) (uint64, error)
	// Renew starts lease l anew; it fails with KindNotFound if the lease has ended.
	Renew(c context.Context, l uint64) error
	// Revoke ends lease l.
	Revoke(c context.Context, l uint64) error
}
