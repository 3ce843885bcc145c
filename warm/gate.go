// Package warm decides which backend servers may get one more request: none in a zone that operators evacuate.
package warm

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Gate implements bulrushlug.ServerGate.
type Gate struct {
	zones atomic.Pointer[map[string]bool] // Evacuated zones; the map is not changed.
}

// New returns a gate that is open for all servers.
func New() *Gate {
	g := &Gate{}
	g.zones.Store(&map[string]bool{})
	return g
}

// SetEvacuated replaces the evacuated zones by m, and returns the zones that are new in it and those that are no longer.
func (g *Gate) SetEvacuated(m map[string]bool) (begun, ended []string) {
	m = maps.Clone(m)
	old := *g.zones.Swap(&m)
	for z := range m {
		if !old[z] {
			begun = append(begun, z)
		}
	}
	for z := range old {
		if !m[z] {
			ended = append(ended, z)
		}
	}
	slices.Sort(begun)
	slices.Sort(ended)
	return begun, ended
}

// Evacuated reports whether operators keep all requests from the servers of zone z.
func (g *Gate) Evacuated(z string) bool { return (*g.zones.Load())[z] }

// Open reports whether Admit would admit a request to b at time t.
func (g *Gate) Open(b bulrushlug.Backend, _ time.Time) bool { return !g.Evacuated(b.Zone()) }

// Admit admits one request to b at time t and counts it, or returns false.
func (g *Gate) Admit(b bulrushlug.Backend, t time.Time) bool { return g.Open(b, t) }
