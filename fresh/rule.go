// Package fresh decides whether a process's configuration is confirmed recently enough to serve by it.
package fresh

import (
	"slices"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// MaxAge is the age at which evidence no longer counts.
const MaxAge = 4 * time.Second

// Tracker collects evidence that no newer configuration is in force.
//
// The key-value service confirms a revision directly. While it is out, contact with a majority of the
// availability zones serves instead, since no change is accepted without such a majority.
type Tracker struct {
	mu        sync.RWMutex
	zone      string
	zones     []string             // All zones of the VM list.
	hashes    map[uint32]string    // Zones by the hashes of their names.
	lonely    bool                 // No other VM is listed in the process's own zone.
	confirmed time.Time            // Newest time at which the service confirmed the process's revision.
	heard     map[string]time.Time // Newest time at which each zone was heard.
	most      time.Time            // Newest time at which another process had heard a majority of the zones.
	held      map[string]uint64    // Newest revision known to be held in each zone.
	newest    uint64               // Newest revision heard of; never below revision.
	settled   time.Time            // Newest time at which no revision after the process's own was in force, when it heard of one.
	revision  uint64               // Revision that the process has.
	accepted  uint64               // Newest revision known to be held by a majority of the zones.
}

// New returns the rule of a process in zone z.
func New(z string) *Tracker {
	return &Tracker{zone: z, heard: map[string]time.Time{}, held: map[string]uint64{}}
}

// SetZones sets the zones of the VM list and whether the process is alone in its own.
func (r *Tracker) SetZones(l []string, lonely bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones, r.lonely = l, lonely
	r.hashes = map[uint32]string{}
	for _, z := range l {
		r.hashes[bulrushlug.ZoneHash(z)] = z
	}
}

// SetRevision tells the rule that the process has revision n.
func (r *Tracker) SetRevision(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raise(n)
	r.revision = max(r.revision, n)
}

// raise notes that revision n exists, before the evidence that came with it; the caller holds the lock.
func (r *Tracker) raise(n uint64) {
	if n <= r.newest {
		return
	}
	if r.revision == r.newest {
		r.settled = r.evidence()
	}
	r.newest = n
}

// evidence returns the newest time at which the process's revision was confirmed; the caller holds the lock.
func (r *Tracker) evidence() time.Time {
	if t := r.majorityTime(); t.After(r.confirmed) {
		return t
	}
	return r.confirmed
}

// CurrentUntil returns the newest time at which no later revision was in force than the one that the process had before
// it heard of the newest.
func (r *Tracker) CurrentUntil() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.settled
}

// ObserveRevision tells the rule that revision n exists.
func (r *Tracker) ObserveRevision(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raise(n)
}

// Confirm tells the rule that at time t revision n was the newest; it counts only for a process that has n.
func (r *Tracker) Confirm(t time.Time, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raise(n)
	if r.revision >= n && t.After(r.confirmed) {
		r.confirmed = t
	}
}

// ObserveZone tells the rule that zone z was heard at time t; n is a revision held there, or zero.
func (r *Tracker) ObserveZone(z string, t time.Time, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raise(n)
	if t.After(r.heard[z]) {
		r.heard[z] = t
	}
	r.held[z] = max(r.held[z], n)
}

// ObserveZoneHash tells the rule that the zone with hash h was heard at time t.
func (r *Tracker) ObserveZoneHash(h uint32, t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	z, ok := r.hashes[h]
	if ok && t.After(r.heard[z]) {
		r.heard[z] = t
	}
}

// ObserveMajority tells the rule that another process, which has revision n, had heard a majority of the zones at time t.
func (r *Tracker) ObserveMajority(t time.Time, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raise(n)
	if r.revision >= n && t.After(r.most) {
		r.most = t
	}
}

// MajorityAge returns the age at which a majority of the zones was heard, negative if none was.
func (r *Tracker) MajorityAge() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t := r.majorityTime()
	if t.IsZero() || r.revision < r.newest {
		return -1
	}
	return time.Since(t)
}

// majorityTime returns the newest time at which a majority of the zones had been heard; the caller holds the lock.
func (r *Tracker) majorityTime() time.Time {
	var l []time.Time
	for _, z := range r.zones {
		t := r.heard[z]
		if z == r.zone && r.ownCounts() {
			t = time.Now()
		}
		if !t.IsZero() {
			l = append(l, t)
		}
	}
	need := len(r.zones)/2 + 1
	if len(l) < need {
		return r.most
	}
	slices.SortFunc(l, func(a, b time.Time) int { return b.Compare(a) })
	if t := l[need-1]; t.After(r.most) {
		return t
	}
	return r.most
}

// ConfirmationAge returns the age of the newest confirmation, negative if there is none.
func (r *Tracker) ConfirmationAge() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.confirmed.IsZero() {
		return -1
	}
	return time.Since(r.confirmed)
}

// ZoneAges returns how long ago each zone was heard, the process's own zone included.
func (r *Tracker) ZoneAges() map[string]time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m := map[string]time.Duration{}
	for z, t := range r.heard {
		if a := time.Since(t); a < MaxAge {
			m[z] = a
		}
	}
	return m
}

// Fresh reports whether the process may serve by its configuration.
func (r *Tracker) Fresh() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if time.Since(r.confirmed) < MaxAge {
		return true
	}
	if r.revision == 0 || r.revision < r.newest {
		return false
	}
	return time.Since(r.majorityTime()) < MaxAge
}

// ObserveAccepted tells the rule that a majority of the zones holds revision n.
func (r *Tracker) ObserveAccepted(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = max(r.accepted, n)
}

// Accepted returns the newest revision known to be held by a majority of the zones.
func (r *Tracker) Accepted() uint64 {
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
func (r *Tracker) majority(f func(z string) bool) bool {
	n := 0
	for _, z := range r.zones {
		if f(z) || z == r.zone && r.ownCounts() {
			n++
		}
	}
	return 2*n > len(r.zones)
}

// ownCounts reports whether the process speaks for its own zone; the caller holds the lock.
func (r *Tracker) ownCounts() bool {
	return len(r.zones) > 1 || r.lonely && !r.confirmed.IsZero()
}
