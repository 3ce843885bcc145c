// Package reach tells at once, while calls still wait for their timeouts, that the key-value service does not answer.
package reach

import (
	"context"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// patience is how long a call may wait for its response; a slow service answers within 250 ms.
const patience = 500 * time.Millisecond

// Store is a key-value service that keeps track of the calls that wait.
type Store struct {
	store bulrushlug.TxnStore
	mu    sync.Mutex
	calls uint64               // Number of calls so far.
	due   map[uint64]time.Time // When the response of each waiting call was due, by the number of the call.
}

// New returns the service t, whose calls it keeps track of.
func New(t bulrushlug.TxnStore) *Store { return &Store{store: t, due: map[uint64]time.Time{}} }

// Overdue reports whether a call waits that should have been answered.
func (s *Store) Overdue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.due {
		if time.Now().After(t) {
			return true
		}
	}
	return false
}

// begin notes a call that the service answers within d of being reached; end is called once it has returned.
func (s *Store) begin(d time.Duration) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	n := s.calls
	s.due[n] = time.Now().Add(d + patience)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.due, n)
	}
}

// Get implements bulrushlug.TxnStore.
func (s *Store) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	defer s.begin(0)()
	return s.store.Get(c, k)
}

// List implements bulrushlug.TxnStore.
func (s *Store) List(c context.Context, p string) ([]bulrushlug.KVEntry, uint64, error) {
	defer s.begin(0)()
	return s.store.List(c, p)
}

// ListStale implements bulrushlug.TxnStore.
func (s *Store) ListStale(c context.Context, p string) ([]bulrushlug.KVEntry, error) {
	defer s.begin(0)()
	return s.store.ListStale(c, p)
}

// Watch implements bulrushlug.TxnStore.
func (s *Store) Watch(c context.Context, p string, n uint64, d time.Duration) ([]bulrushlug.KVEntry, uint64, error) {
	defer s.begin(d)()
	return s.store.Watch(c, p, n, d)
}

// Commit implements bulrushlug.TxnStore.
func (s *Store) Commit(c context.Context, l []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	defer s.begin(0)()
	return s.store.Commit(c, l, w)
}

// Grant implements bulrushlug.TxnStore.
func (s *Store) Grant(c context.Context, d time.Duration) (uint64, error) {
	defer s.begin(0)()
	return s.store.Grant(c, d)
}

// Renew implements bulrushlug.TxnStore.
func (s *Store) Renew(c context.Context, l uint64) error {
	defer s.begin(0)()
	return s.store.Renew(c, l)
}

// Revoke implements bulrushlug.TxnStore.
func (s *Store) Revoke(c context.Context, l uint64) error {
	defer s.begin(0)()
	return s.store.Revoke(c, l)
}
