// Package even spreads online requests evenly over backend servers although the processes that choose know each other's
// load by old reports only.
//
// It answers a square wave of requests at dozens of processes, whose reports are as old as half a request is long: who
// chooses by such reports alone sends to the same few servers as all others, and to more of them the better it compares.
package even

import (
	"math/rand/v2"

	"bulrushlug.dev/bulrushlug"
)

// The terms of a score, in online requests that others report.
const (
	// ownWeight is what a request of this process counts. All processes together do not overrun a server if each of them
	// spreads its own requests, which it knows exactly.
	ownWeight = 4
	// maxDistance bounds the cost of places that others prefer, one for each half of a share, so that requests spill far
	// when many servers are full.
	maxDistance = 12
	// connectionCost is for a new connection. Where one is idle, a request of this process has just freed a slot.
	connectionCost = 3
	// preemptionCost is for a server without an idle slot. Always preferring idle slots would make all processes pick the
	// same few servers that have some.
	preemptionCost = 1
	jitter         = 0.5 // Upper bound of the random part.

	// failureCost is for a server whose requests all fail, in requests for each slot. It is no more than a few, as all
	// requests of a service that has no better server must go to such servers.
	failureCost = 3
	// slowness is the part of a score that is added for a server whose first events take twice as long as everywhere.
	slowness = 0.2
	// unseen is the number of answers without a fault that every server is taken to have given.
	unseen = 2
)

// Chooser is a bulrushlug.Chooser that gives each process places of its own and goes by what servers answer.
type Chooser struct{}

// New returns a chooser.
func New() Chooser { return Chooser{} }

// Score returns the load of the server for each slot, raised by what its answers lately cost.
func (Chooser) Score(s bulrushlug.ServerLoad) float64 {
	n := 1 + ownWeight*float64(s.Own()) + float64(s.Others()) + min(maxDistance, s.Distance()) + jitter*rand.Float64()
	if !s.Connected() {
		n += connectionCost
	}
	if !s.Idle() {
		n += preemptionCost
	}
	a := s.Answers()
	n = n/float64(s.Slots()) + failureCost*float64(a.Failed())/float64(a.Begun()+a.Failed()+unseen)
	return n * (1 + slowness*lateness(a, s.FleetAnswers()))
}

// NeedsNews returns true.
func (Chooser) NeedsNews() bool { return true }

// lateness returns by how much the first events of a server with answers a take longer than those of all servers, f, as a
// share of these.
func lateness(a, f bulrushlug.Answers) float64 {
	usual := f.MeanFirst().Seconds()
	if usual == 0 {
		return 0
	}
	d := a.MeanFirst().Seconds()/usual - 1
	return max(0, d) * float64(a.Begun()) / float64(a.Begun()+unseen)
}
