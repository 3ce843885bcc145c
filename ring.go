package bulrushlug

import "slices"

// Ring is one numbered membership from which the homes of organisations are worked out; values are immutable.
//
// A step only says what changes against the ring before, since rings are large and change often.
type Ring struct {
	epoch   uint64   // Rises by one with each ring.
	members []string // Names of VMs, sorted and unique; empty in a step.
	step    bool     // The ring follows from the one before.
	added   []string // Only in a step.
	removed []string // Only in a step.
}

// NewRing returns ring e over the members m.
func NewRing(e uint64, m []string) Ring { return Ring{epoch: e, members: m} }

// NewRingDelta returns ring e, which differs from the one before by the members added and removed.
func NewRingDelta(e uint64, added, removed []string) Ring {
	return Ring{epoch: e, step: true, added: added, removed: removed}
}

// DeltaTo returns the step from r to a ring over the members m.
func (r Ring) DeltaTo(m []string) Ring {
	added := slices.DeleteFunc(slices.Clone(m), func(n string) bool { return slices.Contains(r.members, n) })
	removed := slices.DeleteFunc(slices.Clone(r.members), func(n string) bool { return slices.Contains(m, n) })
	return NewRingDelta(r.epoch+1, added, removed)
}

// after returns the whole ring that r makes of the ring p.
func (r Ring) after(p Ring) Ring {
	if !r.step {
		return r
	}
	m := slices.DeleteFunc(slices.Clone(p.members), func(n string) bool { return slices.Contains(r.removed, n) })
	m = append(m, r.added...)
	slices.Sort(m)
	return NewRing(r.epoch, slices.Compact(m))
}

// Epoch returns the number of the ring.
func (r Ring) Epoch() uint64 { return r.epoch }

// Members returns the VMs, which must not be changed.
func (r Ring) Members() []string { return r.members }

// Delta reports whether the ring only says what changes, and what that is.
func (r Ring) Delta() (added, removed []string, ok bool) { return r.added, r.removed, r.step }
