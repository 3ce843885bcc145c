package slots

import (
	"time"

	"bulrushlug.dev/bulrushlug"
)

// openGate admits all requests.
type openGate struct{}

func (openGate) Evacuated(string) bool { return false }

func (openGate) Open(bulrushlug.Backend, time.Time) bool { return true }

func (openGate) Admit(bulrushlug.Backend, time.Time) bool { return true }

func (openGate) Suspect(bulrushlug.Backend) {}

// filter selects the servers that may get a request.
type filter struct {
	service string
	skip    map[string]bool // Servers that are left out, by identifier.
	now     time.Time
	gate    bulrushlug.ServerGate
	backoff bool // Servers in back-off are selected too.
	all     bool // All servers are looked at, not only those near the places of the process.
	leaving bool // Leaving servers are selected too, as a last resort.
	closed  bool // Servers to which the gate admits nothing at the moment are selected too, except in evacuated zones.
}

// selects reports whether the server of e may get the request; d is nil if the server is not leaving.
func (f filter) selects(e *entry, d *departure) bool {
	switch {
	case e.backend.Service() != f.service || e.backend.Draining() || f.skip[e.backend.ID()]:
		return false
	case d != nil && (!f.leaving || d.binding(f.now)):
		return false
	}
	if !f.backoff && f.now.Before(e.backoffUntil) {
		return false
	}
	return f.closed && !f.gate.Evacuated(e.backend.Zone()) || f.gate.Open(e.backend, f.now)
}

// capacity returns the online requests that a server with n slots may have.
func capacity(n int) int { return n + n/slotsPerQueued }
