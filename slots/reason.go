package slots

import "time"

// Reasons for which a server gets no request; the first one that holds is told.
const (
	reasonEvacuated = "evacuated" // Its zone.
	reasonDraining  = "draining"
	reasonLeaving   = "leaving"
	reasonBackOff   = "backOff"
	reasonCold      = "cold" // It gets no more for the moment.
	reasonFull      = "full"
)

// exclusion returns why this process sends the server of e nothing as long as there are others, or an empty string; the caller
// holds the lock.
func (s *shard) exclusion(e *entry, now time.Time) string {
	switch {
	case s.gate.Evacuated(e.backend.Zone()):
		return reasonEvacuated
	case e.backend.Draining():
		return reasonDraining
	case s.leaving[e.backend.ID()] != nil:
		return reasonLeaving
	case now.Before(e.backoffUntil):
		return reasonBackOff
	case !s.gate.Open(e.backend, now):
		return reasonCold
	}
	return ""
}

// exclusionBy returns why f does not select the server of e, or an empty string if it does; the caller holds the lock.
func (s *shard) exclusionBy(f filter, e *entry) string {
	if f.selects(e, s.leaving[e.backend.ID()]) {
		return ""
	}
	return s.exclusion(e, f.now)
}
