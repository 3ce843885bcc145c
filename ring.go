package bulrushlug

import "slices"

// Ring is one epoch of the membership from which each organisation's home, the VM that owns its token bucket, is derived
// by rendezvous hashing; values are immutable.
//
// A delta holds only the difference to the previous ring, since rings are large and change often.
type Ring struct {
	epoch   uint64   // Increases by one with each ring.
	members []string // Names of VMs, sorted and unique; empty in a delta.
	delta   bool     // The ring is a delta to the previous one.
	added   []string // Set only in a delta.
	removed []string // Set only in a delta.
}

// NewRing returns the complete ring of epoch e with members m.
func NewRing(e uint64, m []string) Ring { return Ring{epoch: e, members: m} }

// NewRingDelta returns the delta that leads from the previous ring to the ring of epoch e.
func NewRingDelta(e uint64, added, removed []string) Ring {
	return Ring{epoch: e, delta: true, added: added, removed: removed}
}

// DeltaTo returns the delta from r to the next ring, which has members m.
func (r Ring) DeltaTo(m []string) Ring {
	added := slices.DeleteFunc(slices.Clone(m), func(n string) bool { return slices.Contains(r.members, n) })
	removed := slices.DeleteFunc(slices.Clone(r.members), func(n string) bool { return slices.Contains(m, n) })
	return NewRingDelta(r.epoch+1, added, removed)
}

// applyTo returns the complete ring that results from applying r to the previous ring p.
func (r Ring) applyTo(p Ring) Ring {
	if !r.delta {
		return r
	}
	m := slices.DeleteFunc(slices.Clone(p.members), func(n string) bool { return slices.Contains(r.removed, n) })
	m = append(m, r.added...)
	slices.Sort(m)
	return NewRing(r.epoch, slices.Compact(m))
}

// Epoch returns the epoch of the ring.
func (r Ring) Epoch() uint64 { return r.epoch }

// Members returns the names of the VMs, which the caller must not modify.
func (r Ring) Members() []string { return r.members }

// Delta returns the members added and removed; ok is false if the ring is complete.
func (r Ring) Delta() (added, removed []string, ok bool) { return r.added, r.removed, r.delta }
