package bulrushlug

import "time"

// ServerGate decides whether a backend server may get one more request or batch item.
type ServerGate interface {
	// Evacuated reports whether operators keep all requests from the servers of a zone.
	Evacuated(zone string) bool
	// Open reports whether Admit would admit a request to b at time t.
	Open(b Backend, t time.Time) bool
	// Admit admits one request to b at time t and counts it, or returns false.
	Admit(b Backend, t time.Time) bool
	// Suspect records that no connection to b could be made.
	Suspect(b Backend)
}
