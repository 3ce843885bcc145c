// Package least chooses the backend server with the fewest online requests by the last reports.
package least

import (
	"math/rand/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	jitter = 2 // Upper bound of the random part of a score, in requests; spreads processes that see the same counts.
	// preemptionCost is added to the score of a server without an idle slot, in requests. Always preferring idle slots
	// would make all processes pick the same few servers that have some.
	preemptionCost = 1
	// connectionCost is added to the score of a server to which this process has no idle connection, in requests. Where
	// there is one, a request of this process has just freed a slot, while what others report is up to half a second old.
	connectionCost = 4
)

// Chooser is a bulrushlug.Chooser that takes the reports of the others as they are.
type Chooser struct{}

// New returns a chooser.
func New() Chooser { return Chooser{} }

// Score returns the online requests of all processes for each slot, weighted by the time between events.
func (Chooser) Score(s bulrushlug.ServerLoad) float64 {
	online := s.Own() + s.Others()
	n := float64(online) + 1 + jitter*rand.Float64()
	if online+s.Batch() >= s.Slots() {
		n += preemptionCost
	}
	if !s.Connected() {
		n += connectionCost
	}
	p := s.SecondsPerEvent()
	if p == 0 {
		p = 1
	}
	return n / float64(s.Slots()) * p
}

// NeedsNews returns false.
func (Chooser) NeedsNews() bool { return false }
