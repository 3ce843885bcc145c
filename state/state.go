// Package state holds the current configuration of a process; its revision never decreases.
package state

import (
	"slices"
	"sync"
	"sync/atomic"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fresh"
)

// maxRetainedChanges is the number of recent changes that a process retains to bring its peers up to date.
const maxRetainedChanges = 1024

// State is the current configuration and the most recent changes that led to it.
type State struct {
	config    atomic.Pointer[bulrushlug.Config]
	tracker   *fresh.Tracker
	mu        sync.Mutex                 // Guards the fields below and serialises updates of config.
	changes   []bulrushlug.Change        // Contiguous; the last one has the current revision.
	listeners []func(*bulrushlug.Config) // Called in order of revision.
}

// New returns the empty configuration, whose freshness t tracks.
func New(t *fresh.Tracker) *State {
	s := &State{tracker: t}
	s.config.Store(bulrushlug.NewConfig())
	return s
}

// Config returns the newest configuration that the process has.
func (s *State) Config() *bulrushlug.Config { return s.config.Load() }

// Fresh reports whether the configuration is within its staleness bound, so that the process may serve by it.
func (s *State) Fresh() bool { return s.tracker.Fresh() }

// Accepted returns the newest revision that a majority of the zones is known to hold.
func (s *State) Accepted() uint64 { return s.tracker.Accepted() }

// OnChange registers f to be called with each new configuration, in order of revision.
func (s *State) OnChange(f func(*bulrushlug.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Apply applies the changes of l that directly follow the current revision, and reports whether there were any.
func (s *State) Apply(l []bulrushlug.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.config.Load()
	f := before
	for _, c := range l {
		g, err := f.Apply(c)
		if err != nil {
			continue
		}
		f = g
		s.changes = append(s.changes, c)
	}
	if f == before {
		return false
	}
	s.changes = s.changes[max(0, len(s.changes)-maxRetainedChanges):]
	s.publish(f)
	return true
}

// Restore replaces the configuration by f if f is newer, and reports whether it did.
func (s *State) Restore(f *bulrushlug.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Revision() <= s.config.Load().Revision() {
		return false
	}
	s.changes = nil
	s.publish(f)
	return true
}

// publish makes f the current configuration and notifies the listeners; the caller holds mu.
func (s *State) publish(f *bulrushlug.Config) {
	s.config.Store(f)
	s.tracker.SetRevision(f.Revision())
	for _, g := range s.listeners {
		g(f)
	}
}

// ChangesSince returns up to n changes after revision r; it returns false if they are no longer retained.
func (s *State) ChangesSince(r uint64, n int) ([]bulrushlug.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Load().Revision()
	if r >= now {
		return nil, true
	}
	k := int(now - r)
	if k > len(s.changes) {
		return nil, false
	}
	l := s.changes[len(s.changes)-k:]
	return slices.Clone(l[:min(n, len(l))]), true
}
