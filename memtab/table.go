// Package memtab is an in-memory key-value service with watches, leases and transactions that can be told to fail.
package memtab

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Store is a linearizable table; one lock guards all of it, as transactions span keys.
type Store struct {
	mu       sync.Mutex
	revision uint64                        // Rises with each change, from 1.
	items    map[string]bulrushlug.KVEntry // Revision of each item is at least 1.
	leases   map[uint64]time.Time          // End of each lease.
	held     map[string]uint64             // Lease of each key that has one.
	history  []bulrushlug.KVEntry          // Changes in order; removals have no value.
	dropped  uint64                        // Revision up to which the history was dropped.
	change   chan struct{}                 // Closed at the next change.
	outage   bool
	lose     int // Writes that take effect and whose answer is still to be lost.
	late     int // Writes whose answer is lost and which take effect after lateTime.
	delay    time.Duration
	calls    int
}

// lateTime is the time after which a late write takes effect.
const lateTime = 2 * time.Second

// renewTime is the length of a lease after its renewal.
const renewTime = 3 * time.Second

// New returns an empty table.
func New() *Store {
	return &Store{items: map[string]bulrushlug.KVEntry{}, leases: map[uint64]time.Time{}, held: map[string]uint64{}, change: make(chan struct{}), revision: 1}
}

// SetOutage makes all calls fail while v is true.
func (t *Store) SetOutage(v bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = v
	t.notify()
}

// SetDelay makes each call take d longer.
func (t *Store) SetDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = d
}

// DropResponses makes the next n writes take effect but fail for the caller.
func (t *Store) DropResponses(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = n
}

// DelayWrites makes the next n writes fail for the caller and take effect later.
func (t *Store) DelayWrites(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = n
}

// Compact forgets all changes so far.
func (t *Store) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.dropped = nil, t.revision
	t.notify()
}

// Calls returns the number of calls.
func (t *Store) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

func (t *Store) notify() {
	close(t.change)
	t.change = make(chan struct{})
}

// enter applies delay and outage to one call and ends leases; the lock is held after it, unless it fails.
func (t *Store) enter(c context.Context) error {
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
		err = bulrushlug.Errorf(bulrushlug.KindStoreDown, "the key-value service is out")
	}
	if err != nil {
		t.mu.Unlock()
		return err
	}
	t.expire()
	return nil
}

// expire removes the keys of leases that have ended.
func (t *Store) expire() {
	for l, end := range t.leases {
		if time.Now().Before(end) {
			continue
		}
		t.drop(l)
	}
}

func (t *Store) drop(l uint64) {
	delete(t.leases, l)
	for k, x := range t.held {
		if x == l {
			t.remove(k)
		}
	}
}

func (t *Store) put(w bulrushlug.Write) {
	t.revision++
	v := slices.Clone(w.Value())
	if v == nil {
		v = []byte{}
	}
	i := bulrushlug.NewKVEntry(w.Key(), v, t.revision)
	t.items[w.Key()] = i
	delete(t.held, w.Key())
	if w.Lease() != 0 {
		t.held[w.Key()] = w.Lease()
	}
	t.history = append(t.history, i)
	t.notify()
}

func (t *Store) remove(k string) {
	if _, ok := t.items[k]; !ok {
		return
	}
	t.revision++
	delete(t.items, k)
	delete(t.held, k)
	t.history = append(t.history, bulrushlug.NewKVEntry(k, nil, t.revision))
	t.notify()
}

// Get returns the entry under k.
func (t *Store) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	if err := t.enter(c); err != nil {
		return bulrushlug.KVEntry{}, err
	}
	defer t.mu.Unlock()
	if i, ok := t.items[k]; ok {
		return i, nil
	}
	return bulrushlug.NewKVEntry(k, nil, 0), nil
}

// List returns the entries under p.
func (t *Store) List(c context.Context, p string) ([]bulrushlug.KVEntry, uint64, error) {
	if err := t.enter(c); err != nil {
		return nil, 0, err
	}
	defer t.mu.Unlock()
	var l []bulrushlug.KVEntry
	for k, i := range t.items {
		if strings.HasPrefix(k, p) {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b bulrushlug.KVEntry) int { return strings.Compare(a.Key(), b.Key()) })
	return l, t.revision, nil
}

// ListStale returns the entries under p.
func (t *Store) ListStale(c context.Context, p string) ([]bulrushlug.KVEntry, error) {
	l, _, err := t.List(c, p)
	return l, err
}

// Watch returns changes under p after revision n.
func (t *Store) Watch(c context.Context, p string, n uint64, d time.Duration) ([]bulrushlug.KVEntry, uint64, error) {
	end := time.After(d)
	for {
		if err := t.enter(c); err != nil {
			return nil, 0, err
		}
		if n < t.dropped {
			t.mu.Unlock()
			return nil, 0, bulrushlug.Errorf(bulrushlug.KindHistoryLost, "revision %d was dropped", n)
		}
		var l []bulrushlug.KVEntry
		for _, i := range t.history {
			if i.Revision() > n && strings.HasPrefix(i.Key(), p) {
				l = append(l, i)
			}
		}
		r, change := t.revision, t.change
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

// Commit makes all writes if all conditions hold.
func (t *Store) Commit(c context.Context, on []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	if err := t.enter(c); err != nil {
		return 0, err
	}
	defer t.mu.Unlock()
	if t.late > 0 {
		t.late--
		time.AfterFunc(lateTime, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			_, _ = t.commit(on, w)
		})
		return 0, bulrushlug.Errorf(bulrushlug.KindUncertain, "answer lost")
	}
	n, err := t.commit(on, w)
	if err == nil && t.lose > 0 {
		t.lose--
		return 0, bulrushlug.Errorf(bulrushlug.KindUncertain, "answer lost")
	}
	return n, err
}

func (t *Store) commit(on []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	for _, x := range on {
		if t.items[x.Key()].Revision() != x.Revision() {
			return 0, bulrushlug.Errorf(bulrushlug.KindConflict, "%s: revision is %d, not %d", x.Key(), t.items[x.Key()].Revision(), x.Revision())
		}
	}
	for _, x := range w {
		if _, ok := t.leases[x.Lease()]; x.Lease() != 0 && !ok {
			return 0, bulrushlug.Errorf(bulrushlug.KindNotFound, "lease %d has ended", x.Lease())
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

// Grant returns a new lease of length d.
func (t *Store) Grant(c context.Context, d time.Duration) (uint64, error) {
	if err := t.enter(c); err != nil {
		return 0, err
	}
	defer t.mu.Unlock()
	t.revision++
	t.leases[t.revision] = time.Now().Add(d)
	return t.revision, nil
}

// Renew starts lease l anew, for renewTime.
func (t *Store) Renew(c context.Context, l uint64) error {
	if err := t.enter(c); err != nil {
		return err
	}
	defer t.mu.Unlock()
	if _, ok := t.leases[l]; !ok {
		return bulrushlug.Errorf(bulrushlug.KindNotFound, "lease %d has ended", l)
	}
	t.leases[l] = time.Now().Add(renewTime)
	return nil
}

// Revoke ends lease l.
func (t *Store) Revoke(c context.Context, l uint64) error {
	if err := t.enter(c); err != nil {
		return err
	}
	defer t.mu.Unlock()
	t.drop(l)
	return nil
}
