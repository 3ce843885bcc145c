// Package fresh enforces the staleness bound: it decides whether the configuration of a process was confirmed
// recently enough to serve requests with it.
package fresh

import (
	"slices"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// MaxAge is the staleness bound: evidence that is as old or older no longer counts.
const MaxAge = 4 * time.Second

// Tracker collects evidence that no configuration newer than the process's own is in force.
//
// The key-value service confirms a revision directly. During its outages contact with a quorum, a majority of the
// availability zones, counts instead, since no change is accepted without one.
type Tracker struct {
	mu            sync.RWMutex
	zone          string
	zones         []string             // All zones in the VM list, the process's own included.
	hashes        map[uint32]string    // Zone names by their ZoneHash.
	aloneInZone   bool                 // The VM list has no other VM in the process's own zone.
	confirmedAt   time.Time            // Newest time at which the key-value service confirmed the process's revision.
	zoneContacts  map[string]time.Time // Newest time at which each zone is known to have been reachable.
	peerMajority  time.Time            // Newest time at which another process had contact with a majority of the zones.
	zoneRevisions map[string]uint64    // Newest revision that each zone is known to hold.
	newest        uint64               // Newest revision known to exist; never below revision.
	currentUntil  time.Time            // Newest time at which revision was known to be current, as of when a newer one became known.
	revision      uint64               // Revision that the process has.
	accepted      uint64               // Newest revision known to be held by a majority of the zones.
}

// New returns the tracker of a process in zone z.
func New(z string) *Tracker {
	return &Tracker{zone: z, zoneContacts: map[string]time.Time{}, zoneRevisions: map[string]uint64{}}
}

// SetZones sets the zones in the VM list and whether the process is alone in its own.
func (r *Tracker) SetZones(l []string, alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones, r.aloneInZone = l, alone
	r.hashes = map[uint32]string{}
	for _, z := range l {
		r.hashes[bulrushlug.ZoneHash(z)] = z
	}
}

// SetRevision records that the process has revision n.
func (r *Tracker) SetRevision(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(n)
	r.revision = max(r.revision, n)
}

// advance records that revision n exists, before the evidence that came with it is added; the caller holds the lock.
func (r *Tracker) advance(n uint64) {
	if n <= r.newest {
		return
	}
	if r.revision == r.newest {
		r.currentUntil = r.newestEvidence()
	}
	r.newest = n
}

// newestEvidence returns the newest time at which the process's revision was confirmed by the key-value service or
// a majority of the zones; the caller holds the lock.
func (r *Tracker) newestEvidence() time.Time {
	if t := r.majorityTime(); t.After(r.confirmedAt) {
		return t
	}
	return r.confirmedAt
}

// CurrentUntil returns the newest time at which the revision that the process had before it learned of a newer one
// was known to be current.
func (r *Tracker) CurrentUntil() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.currentUntil
}

// ObserveRevision records that revision n exists.
func (r *Tracker) ObserveRevision(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(n)
}

// Confirm records that the key-value service had n as its newest revision at time t; it is ignored unless the
// process has n.
func (r *Tracker) Confirm(t time.Time, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(n)
	if r.revision >= n && t.After(r.confirmedAt) {
		r.confirmedAt = t
	}
}

// ObserveZone records contact with zone z at time t; n is a revision held there, or zero.
func (r *Tracker) ObserveZone(z string, t time.Time, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(n)
	if t.After(r.zoneContacts[z]) {
		r.zoneContacts[z] = t
	}
	r.zoneRevisions[z] = max(r.zoneRevisions[z], n)
}

// ObserveZoneHash records contact with the zone whose ZoneHash is h at time t; unknown hashes are ignored.
func (r *Tracker) ObserveZoneHash(h uint32, t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	z, ok := r.hashes[h]
	if ok && t.After(r.zoneContacts[z]) {
		r.zoneContacts[z] = t
	}
}

// ObserveMajority records that another process, with revision n, had contact with a majority of the zones at time t.
func (r *Tracker) ObserveMajority(t time.Time, n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(n)
	if r.revision >= n && t.After(r.peerMajority) {
		r.peerMajority = t
	}
}

// MajorityAge returns how long ago there was contact with a majority of the zones; negative if there was none.
func (r *Tracker) MajorityAge() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t := r.majorityTime()
	if t.IsZero() || r.revision < r.newest {
		return -1
	}
	return time.Since(t)
}

// majorityTime returns the newest time by which a majority of the zones had been in contact; the caller holds the lock.
func (r *Tracker) majorityTime() time.Time {
	var l []time.Time
	for _, z := range r.zones {
		t := r.zoneContacts[z]
		if z == r.zone && r.countsOwnZone() {
			t = time.Now()
		}
		if !t.IsZero() {
			l = append(l, t)
		}
	}
	need := len(r.zones)/2 + 1
	if len(l) < need {
		return r.peerMajority
	}
	slices.SortFunc(l, func(a, b time.Time) int { return b.Compare(a) })
	if t := l[need-1]; t.After(r.peerMajority) {
		return t
	}
	return r.peerMajority
}

// ConfirmationAge returns how long ago the key-value service confirmed the revision; negative if it never did.
func (r *Tracker) ConfirmationAge() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.confirmedAt.IsZero() {
		return -1
	}
	return time.Since(r.confirmedAt)
}

// ZoneAges returns how long ago there was contact with each zone, for those within MaxAge.
func (r *Tracker) ZoneAges() map[string]time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m := map[string]time.Duration{}
	for z, t := range r.zoneContacts {
		if a := time.Since(t); a < MaxAge {
			m[z] = a
		}
	}
	return m
}

// Fresh reports whether the configuration is within the staleness bound, so that the process may serve with it.
func (r *Tracker) Fresh() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if time.Since(r.confirmedAt) < MaxAge {
		return true
	}
	if r.revision == 0 || r.revision < r.newest {
		return false
	}
	return time.Since(r.majorityTime()) < MaxAge
}

// ObserveAccepted records that a majority of the zones holds revision n.
func (r *Tracker) ObserveAccepted(n uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = max(r.accepted, n)
}

// Accepted returns the newest revision known to be held by a majority of the zones.
func (r *Tracker) Accepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.zoneRevisions {
		if n > r.accepted && r.hasMajority(func(z string) bool { return r.zoneRevisions[z] >= n }) {
			r.accepted = n
		}
	}
	if n := r.revision; n > r.accepted && r.hasMajority(func(z string) bool { return r.zoneRevisions[z] >= n }) {
		r.accepted = n
	}
	return r.accepted
}

// hasMajority reports whether f holds for a majority of the zones, where the process's own zone counts if
// countsOwnZone allows it; the caller holds the lock.
func (r *Tracker) hasMajority(f func(z string) bool) bool {
	n := 0
	for _, z := range r.zones {
		if f(z) || z == r.zone && r.countsOwnZone() {
			n++
		}
	}
	return 2*n > len(r.zones)
}

// countsOwnZone reports whether the process counts its own zone towards a majority: only if there are other zones, or
// if it is alone in its zone and was confirmed before. The caller holds the lock.
func (r *Tracker) countsOwnZone() bool {
	return len(r.zones) > 1 || r.aloneInZone && !r.confirmedAt.IsZero()
}
