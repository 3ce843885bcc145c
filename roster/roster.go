// Package roster polls the platform's VM list and caches it.
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
	// GoneAfter is the time for which a VM must be off the list before it counts as gone.
	GoneAfter = 15 * time.Second
)

// Roster caches the newest VM list; an empty list or a failed poll leaves it unchanged.
type Roster struct {
	vmList       bulrushlug.VMList
	mu           sync.RWMutex                 // Guards the fields below.
	members      []bulrushlug.Member          // Sorted by name.
	byName       map[string]bulrushlug.Member // The same members.
	missingSince map[string]time.Time         // When a VM was first looked up and not listed.
	onUpdate     []func([]bulrushlug.Member)
}

// New returns a roster that polls l.
func New(l bulrushlug.VMList) *Roster {
	return &Roster{vmList: l, missingSince: map[string]time.Time{}}
}

// OnUpdate registers f, which is called with each later list.
func (r *Roster) OnUpdate(f func([]bulrushlug.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onUpdate = append(r.onUpdate, f)
}

// Run polls the list until c ends.
func (r *Roster) Run(c context.Context) error {
	for {
		_ = r.Poll(c)
		if err := bulrushlug.Sleep(c, pollInterval+rand.N(pollJitter)); err != nil {
			return nil
		}
	}
}

// Poll reads the list once; it fails with KindStoreDown if the list is empty.
func (r *Roster) Poll(c context.Context) error {
	l, err := r.vmList.Members(c)
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
		delete(r.missingSince, n)
	}
	fs := slices.Clone(r.onUpdate)
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

// Gone reports whether the VM n has been off the list for at least GoneAfter.
func (r *Roster) Gone(n string) bool {
	if _, ok := r.Member(n); ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.missingSince[n]
	if !ok {
		r.missingSince[n] = time.Now()
		return false
	}
	return time.Since(t) >= GoneAfter
}
