package bulrushlug

import "context"

// Limiter is a distributed rate limiter: it bounds the admissions of each organisation across all VMs.
type Limiter interface {
	// Take admits one request of organisation o, or fails with KindRateLimited.
	Take(c context.Context, o string) error
}
