// Package memtxn is an in-memory key-value service with watches, leases and transactions, and fault injection.
package memtxn

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Store is a linearizable key-value store. One lock guards all of it, since transactions span keys.
type Store struct {
	mu              sync.Mutex
	revision        uint64                        // Incremented by each change and each lease, from 1.
	entries         map[string]bulrushlug.KVEntry // By key; every revision is at least 1.
	leases          map[uint64]time.Time          // Expiry by lease.
	keyLeases       map[string]uint64             // Lease by key, for keys attached to one.
	history         []bulrushlug.KVEntry          // Changes by rising revision; removals have a nil value.
	compactedTo     uint64                        // Revision up to which the history was compacted.
	changed         chan struct{}                 // Closed on the next change.
	outage          bool
	responsesToDrop int // Number of further commits that take effect but return an error.
	writesToDelay   int // Number of further commits that return an error and are tried after writeDelay.
	delay           time.Duration
	calls           int
}

// writeDelay is the time after which a delayed write takes effect.
const writeDelay = 2 * time.Second

// renewedTTL is the time to live of a lease after a renewal, whatever length it was granted for.
const renewedTTL = 3 * time.Second

// New returns an empty store.
func New() *Store {
	return &Store{entries: map[string]bulrushlug.KVEntry{}, leases: map[uint64]time.Time{}, keyLeases: map[string]uint64{}, changed: make(chan struct{}), revision: 1}
}

// SetOutage makes all calls, pending watches included, fail with KindStoreDown while v is true.
func (t *Store) SetOutage(v bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = v
	t.notify()
}

// SetDelay adds the latency d to each call.
func (t *Store) SetDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = d
}

// DropResponses makes the next n commits take effect but return KindUncertain, as if the response had been lost.
func (t *Store) DropResponses(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responsesToDrop = n
}

// DelayWrites makes the next n commits return KindUncertain and be tried after writeDelay, as if the request had been
// held up in the network.
func (t *Store) DelayWrites(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writesToDelay = n
}

// Compact discards the watch history up to the current revision; watches from older revisions fail with KindHistoryLost.
func (t *Store) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.compactedTo = nil, t.revision
	t.notify()
}

// Calls returns the number of calls since the start.
func (t *Store) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// notify wakes all pending watches; the caller holds the lock.
func (t *Store) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// begin injects latency and outage into one call and expires leases; it returns with the lock held unless it fails.
func (t *Store) begin(c context.Context) error {
	t.mu.Lock()
	t.calls++
	if d := t.delay; d > 0 {
		t.mu.Unlock()
		if err := bulrushlug.Sleep(c, d); err != nil {
			return err
		}
		t.mu.Lock()
	}
	err := c.Err()
	if t.outage {
		err = bulrushlug.Errorf(bulrushlug.KindStoreDown, "key-value service is unavailable")
	}
	if err != nil {
		t.mu.Unlock()
		return err
	}
	t.expire()
	return nil
}

// expire ends all leases whose time to live has passed.
func (t *Store) expire() {
	for l, end := range t.leases {
		if time.Now().Before(end) {
			continue
		}
		t.endLease(l)
	}
}

// endLease removes lease l and the keys attached to it.
func (t *Store) endLease(l uint64) {
	delete(t.leases, l)
	for k, x := range t.keyLeases {
		if x == l {
			t.remove(k)
		}
	}
}

// put sets the key of w and attaches it to the lease of w, if any.
func (t *Store) put(w bulrushlug.Write) {
	t.revision++
	v := slices.Clone(w.Value())
	if v == nil {
		v = []byte{}
	}
	i := bulrushlug.NewKVEntry(w.Key(), v, t.revision)
	t.entries[w.Key()] = i
	delete(t.keyLeases, w.Key())
	if w.Lease() != 0 {
		t.keyLeases[w.Key()] = w.Lease()
	}
	t.history = append(t.history, i)
	t.notify()
}

// remove deletes key k, if it exists, and adds a change with a nil value to the history.
func (t *Store) remove(k string) {
	if _, ok := t.entries[k]; !ok {
		return
	}
	t.revision++
	delete(t.entries, k)
	delete(t.keyLeases, k)
	t.history = append(t.history, bulrushlug.NewKVEntry(k, nil, t.revision))
	t.notify()
}

// Get returns the entry of key k; its revision is zero if the key does not exist.
func (t *Store) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	if err := t.begin(c); err != nil {
		return bulrushlug.KVEntry{}, err
	}
	defer t.mu.Unlock()
	if i, ok := t.entries[k]; ok {
		return i, nil
	}
	return bulrushlug.NewKVEntry(k, nil, 0), nil
}

// List returns the entries whose keys start with p, sorted by key, and the current revision.
func (t *Store) List(c context.Context, p string) ([]bulrushlug.KVEntry, uint64, error) {
	if err := t.begin(c); err != nil {
		return nil, 0, err
	}
	defer t.mu.Unlock()
	var l []bulrushlug.KVEntry
	for k, i := range t.entries {
		if strings.HasPrefix(k, p) {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b bulrushlug.KVEntry) int { return strings.Compare(a.Key(), b.Key()) })
	return l, t.revision, nil
}

// ListStale returns the entries whose keys start with p, sorted by key; here they are never stale.
func (t *Store) ListStale(c context.Context, p string) ([]bulrushlug.KVEntry, error) {
	l, _, err := t.List(c, p)
	return l, err
}

// Watch returns the changes of keys that start with p after revision n, and the revision to continue from.
//
// It blocks for up to d until there is one. It fails with KindHistoryLost if revision n was compacted.
func (t *Store) Watch(c context.Context, p string, n uint64, d time.Duration) ([]bulrushlug.KVEntry, uint64, error) {
	end := time.After(d)
	for {
		if err := t.begin(c); err != nil {
			return nil, 0, err
		}
		if n < t.compactedTo {
			t.mu.Unlock()
			return nil, 0, bulrushlug.Errorf(bulrushlug.KindHistoryLost, "revision %d has been compacted", n)
		}
		var l []bulrushlug.KVEntry
		for _, i := range t.history {
			if i.Revision() > n && strings.HasPrefix(i.Key(), p) {
				l = append(l, i)
			}
		}
		r, change := t.revision, t.changed
		t.mu.Unlock()
		if len(l) > 0 {
			return l, r, nil
		}
		select {
		case <-change:
		case <-end:
			return nil, r, nil
		case <-c.Done():
			return nil, 0, c.Err()
		}
	}
}

// Commit applies all writes of w in one transaction if all conditions hold, and returns the new revision.
//
// It fails with KindConflict if a condition does not hold, and with KindNotFound if a lease of a write has ended.
func (t *Store) Commit(c context.Context, on []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	if err := t.begin(c); err != nil {
		return 0, err
	}
	defer t.mu.Unlock()
	if t.writesToDelay > 0 {
		t.writesToDelay--
		time.AfterFunc(writeDelay, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			_, _ = t.commit(on, w)
		})
		return 0, bulrushlug.Errorf(bulrushlug.KindUncertain, "response lost")
	}
	n, err := t.commit(on, w)
	if err == nil && t.responsesToDrop > 0 {
		t.responsesToDrop--
		return 0, bulrushlug.Errorf(bulrushlug.KindUncertain, "response lost")
	}
	return n, err
}

// commit checks the conditions and leases and applies the writes; the caller holds the lock.
func (t *Store) commit(on []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	for _, x := range on {
		if t.entries[x.Key()].Revision() != x.Revision() {
			return 0, bulrushlug.Errorf(bulrushlug.KindConflict, "%s: revision is %d, expected %d", x.Key(), t.entries[x.Key()].Revision(), x.Revision())
		}
	}
	for _, x := range w {
		if _, ok := t.leases[x.Lease()]; x.Lease() != 0 && !ok {
			return 0, bulrushlug.Errorf(bulrushlug.KindNotFound, "lease %d has expired or was revoked", x.Lease())
		}
	}
	for _, x := range w {
		if x.Remove() {
			t.remove(x.Key())
		} else {
			t.put(x)
		}
	}
	return t.revision, nil
}

// Grant returns a new lease with time to live d.
func (t *Store) Grant(c context.Context, d time.Duration) (uint64, error) {
	if err := t.begin(c); err != nil {
		return 0, err
	}
	defer t.mu.Unlock()
	t.revision++
	t.leases[t.revision] = time.Now().Add(d)
	return t.revision, nil
}

// Renew extends lease l to renewedTTL from now; it fails with KindNotFound if the lease has ended.
func (t *Store) Renew(c context.Context, l uint64) error {
	if err := t.begin(c); err != nil {
		return err
	}
	defer t.mu.Unlock()
	if _, ok := t.leases[l]; !ok {
		return bulrushlug.Errorf(bulrushlug.KindNotFound, "lease %d has expired or was revoked", l)
	}
	t.leases[l] = time.Now().Add(renewedTTL)
	return nil
}

// Revoke ends lease l and removes the keys attached to it.
func (t *Store) Revoke(c context.Context, l uint64) error {
	if err := t.begin(c); err != nil {
		return err
	}
	defer t.mu.Unlock()
	t.endLease(l)
	return nil
}
