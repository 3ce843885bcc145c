package bulrushlug

import "context"

// Limiter counts admissions of one organisation over all VMs.
type Limiter interface {
	// Take admits one request of o, or fails with KindRateLimited.
	Take(c context.Context, o string) error
}
