package bulrushlug

import "context"

// Prober finds out whether processes answer.
type Prober interface {
	// Probe returns an error if the process at address a does not answer.
	Probe(c context.Context, a string) error
}
