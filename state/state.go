// Package state holds the configuration that a process has; it only moves forward.
package state

import (
	"slices"
	"sync"
	"sync/atomic"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fresh"
)

// keptChanges is the number of changes that a process keeps for its peers.
const keptChanges = 1024

// State is the current configuration and the newest changes that led to it.
type State struct {
	config    atomic.Pointer[bulrushlug.Config]
	rule      *fresh.Tracker
	mu        sync.Mutex                 // Guards the fields below, and orders updates of config.
	changes   []bulrushlug.Change        // Contiguous, ends at the current revision.
	listeners []func(*bulrushlug.Config) // Called in the order of revisions.
}

// New returns the empty configuration, judged by rule r.
func New(r *fresh.Tracker) *State {
	s := &State{rule: r}
	s.config.Store(bulrushlug.NewConfig())
	return s
}

// Config returns the newest configuration that the process has.
func (s *State) Config() *bulrushlug.Config { return s.config.Load() }

// Fresh reports whether the configuration is confirmed recently enough to serve by it.
func (s *State) Fresh() bool { return s.rule.Fresh() }

// Accepted returns the newest revision known to be held by a majority of the zones.
func (s *State) Accepted() uint64 { return s.rule.Accepted() }

// OnChange calls f with each configuration that follows.
func (s *State) OnChange(f func(*bulrushlug.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Apply applies those changes of l that come next, and reports whether there were any.
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
	s.changes = s.changes[max(0, len(s.changes)-keptChanges):]
	s.set(f)
	return true
}

// Restore moves to f if it is newer, and reports whether it was.
func (s *State) Restore(f *bulrushlug.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Revision() <= s.config.Load().Revision() {
		return false
	}
	s.changes = nil
	s.set(f)
	return true
}

func (s *State) set(f *bulrushlug.Config) {
	s.config.Store(f)
	s.rule.SetRevision(f.Revision())
	for _, g := range s.listeners {
		g(f)
	}
}

// Since returns at most n changes after revision r; it reports false if they are no longer kept.
func (s *State) Since(r uint64, n int) ([]bulrushlug.Change, bool) {
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
