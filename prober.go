package bulrushlug

import "context"

// Prober checks whether processes are reachable (active failure detection).
type Prober interface {
	// Probe returns an error if the process at address a does not respond.
	Probe(c context.Context, a string) error
}
