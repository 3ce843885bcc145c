package relay

import (
	"sync/atomic"
)

const (
	requestsPerRetry = 5   // Number of first attempts that allow one retry.
	maxSavedRetries  = 100 // Retries that can be saved for a burst.
	initialRetries   = 10  // Retries that a new process starts with.
)

// budget is a retry budget: a token bucket that bounds retries to a share of the first attempts.
type budget struct {
	tokens atomic.Int64 // A retry costs requestsPerRetry; at most maxSavedRetries * requestsPerRetry.
}

func newBudget() *budget {
	b := &budget{}
	b.tokens.Store(initialRetries * requestsPerRetry)
	return b
}

// deposit adds the token of a first attempt.
func (b *budget) deposit() {
	if b.tokens.Add(1) > maxSavedRetries*requestsPerRetry {
		b.tokens.Add(-1)
	}
}

// tryWithdraw takes the tokens of one retry, and reports whether there were enough.
func (b *budget) tryWithdraw() bool {
	if b.tokens.Add(-requestsPerRetry) >= 0 {
		return true
	}
	b.tokens.Add(requestsPerRetry)
	return false
}
