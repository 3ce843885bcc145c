// Package roster follows the platform's list of VMs.
package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	pollInterval = 4 * time.Second
	pollJitter   = time.Second
	// GoneAfter is how long a VM must be off the list before it counts as gone.
	GoneAfter = 15 * time.Second
)

// Roster keeps the newest list of VMs; an empty or failed answer changes nothing.
type Roster struct {
	list    bulrushlug.VMList
	mu      sync.RWMutex
	members []bulrushlug.Member          // Sorted by name.
	byName  map[string]bulrushlug.Member // The same members.
	absent  map[string]time.Time         // First time at which a VM was asked for and was not listed.
	onList  []func([]bulrushlug.Member)
}

// New returns a roster of the VMs in l.
func New(l bulrushlug.VMList) *Roster {
	return &Roster{list: l, absent: map[string]time.Time{}}
}

// OnUpdate calls f with each list that follows.
func (r *Roster) OnUpdate(f func([]bulrushlug.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onList = append(r.onList, f)
}

// Run reads the list until c ends.
func (r *Roster) Run(c context.Context) error {
	for {
		_ = r.Poll(c)
		if err := bulrushlug.Sleep(c, pollInterval+rand.N(pollJitter)); err != nil {
			return nil
		}
	}
}

// Poll reads the list once.
func (r *Roster) Poll(c context.Context) error {
	l, err := r.list.Members(c)
	if err != nil {
		return err
	}
	if len(l) == 0 {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "the VM list is empty")
	}
	m := make(map[string]bulrushlug.Member, len(l))
	for _, x := range l {
		m[x.Name()] = x
	}
	r.mu.Lock()
	r.members, r.byName = l, m
	for n := range m {
		delete(r.absent, n)
	}
	fs := slices.Clone(r.onList)
	r.mu.Unlock()
	for _, f := range fs {
		f(l)
	}
	return nil
}

// Members returns the newest list; it must not be changed.
func (r *Roster) Members() []bulrushlug.Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.members
}

// Member returns the VM called n.
func (r *Roster) Member(n string) (bulrushlug.Member, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.byName[n]
	return m, ok
}

// Gone reports whether the VM n has been off the list for DropAfter.
func (r *Roster) Gone(n string) bool {
	if _, ok := r.Member(n); ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.absent[n]
	if !ok {
		r.absent[n] = time.Now()
		return false
	}
	return time.Since(t) >= GoneAfter
}
