package relay

import (
	"sync/atomic"
)

const (
	retryShare  = 5   // Fresh requests that earn one retry.
	retrySaved  = 100 // Retries that can be saved up.
	retryAtOnce = 10  // Retries that a new process may make.
)

// budget bounds retries to a share of the fresh traffic.
type budget struct {
	points atomic.Int64 // Fresh requests not yet spent on retries; at most retrySaved * retryShare.
}

func newBudget() *budget {
	b := &budget{}
	b.points.Store(retryAtOnce * retryShare)
	return b
}

// earn notes a fresh request.
func (b *budget) earn() {
	if b.points.Add(1) > retrySaved*retryShare {
		b.points.Add(-1)
	}
}

// spend takes one retry, if there is one left.
func (b *budget) spend() bool {
	if b.points.Add(-retryShare) >= 0 {
		return true
	}
	b.points.Add(retryShare)
	return false
}
