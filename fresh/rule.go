// Package fresh decides whether a process's configuration is confirmed recently enough to serve by it.
package fresh

import (
	"sync"
	"time"
)

// Limit is the age at which evidence no longer counts.
const Limit = 4 * time.Second

// Rule collects evidence that no newer configuration is in force.
//
// The key-value service confirms a revision directly. While it is out, contact with a majority of the
// availability zones serves instead, since no change is accepted without such a majority.
type Rule struct {
	mu        sync.RWMutex
	zone      string
	zones     []string             // All zones of the VM list.
	lonely    bool                 // No other VM is listed in the process's own zone.
	confirmed time.Time            // Newest time at which the service confirmed the process's revision.
	heard     map[string]time.Time // Newest time at which each zone was heard.
	held      map[string]uint64    // Newest revision known to be held in each zone.
	newest    uint64               // Newest revision heard of.
	revision  uint64               // Revision that the process has.
	accepted  uint64               // Newest revision known to be held by a majority of the zones.
}

// New returns the rule of a process in zone z.
func New(z string) *Rule {
	return &Rule{zone: z, heard: map[string]time.Time{}, held: map[string]uint64{}}
}

// SetZones sets the zones of the VM list and whether the process is alone in its own.
func (r *Rule) SetZones(l []string, lonely bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones, r.lonely = l, lonely
}

// Have tells the rule that the process has revision n.
func (r *Rule) Have(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, n)
}

// Learn tells the rule that revision n exists.
func (r *Rule) Learn(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = max(r.newest, n)
}

// Confirm tells the rule that at time t revision n was the newest; it counts only for a process that has n.
func (r *Rule) Confirm(t time.Time, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = max(r.newest, n)
	if r.revision >= n && t.After(r.confirmed) {
		r.confirmed = t
	}
}

// Hear tells the rule that zone z was heard at time t; n is a revision held there, or zero.
func (r *Rule) Hear(z string, t time.Time, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.After(r.heard[z]) {
		r.heard[z] = t
	}
	r.held[z] = max(r.held[z], n)
	r.newest = max(r.newest, n)
}

// Confirmed returns the age of the newest confirmation, negative if there is none.
func (r *Rule) Confirmed() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.confirmed.IsZero() {
		return -1
	}
	return time.Since(r.confirmed)
}

// Ages returns how long ago each zone was heard, the process's own zone included.
func (r *Rule) Ages() map[string]time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m := map[string]time.Duration{}
	for z, t := range r.heard {
		if a := time.Since(t); a < Limit {
			m[z] = a
		}
	}
	return m
}

// OK reports whether the process may serve by its configuration.
func (r *Rule) OK() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if time.Since(r.confirmed) < Limit {
		return true
	}
	if r.revision == 0 || r.revision < r.newest {
		return false
	}
	return r.majority(func(z string) bool { return time.Since(r.heard[z]) < Limit })
}

// Accept tells the rule that a majority of the zones holds revision n.
func (r *Rule) Accept(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = max(r.accepted, n)
}

// Accepted returns the newest revision known to be held by a majority of the zones.
func (r *Rule) Accepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.held {
		if n > r.accepted && r.majority(func(z string) bool { return r.held[z] >= n }) {
			r.accepted = n
		}
	}
	if n := r.revision; n > r.accepted && r.majority(func(z string) bool { return r.held[z] >= n }) {
		r.accepted = n
	}
	return r.accepted
}

// majority reports whether more than half of the zones are the process's own or accepted by f.
//
// Its own zone counts only if there are others, or if the process is alone in it and was confirmed before.
// The caller holds the lock.
func (r *Rule) majority(f func(z string) bool) bool {
	n := 0
	own := len(r.zones) > 1 || r.lonely && !r.confirmed.IsZero()
	for _, z := range r.zones {
		if f(z) || z == r.zone && own {
			n++
		}
	}
	return 2*n > len(r.zones)
}
