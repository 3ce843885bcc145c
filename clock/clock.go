// Package clock gives the hybrid logical clock that orders events over all processes.
package clock

import (
	"sync"
	"time"
)

// logicalBits is the width of the counter that orders events within one millisecond.
const logicalBits = 16

// Clock issues stamps that rise strictly and follow every stamp observed.
type Clock struct {
	mu   sync.Mutex
	last uint64 // Newest stamp issued or observed.
}

// New returns a clock.
func New() *Clock { return &Clock{} }

// Now returns the next stamp.
func (c *Clock) Now() uint64 {
	n := uint64(time.Now().UnixMilli()) << logicalBits
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(n, c.last+1)
	return c.last
}

// Observe makes later stamps greater than s, which came from another process.
func (c *Clock) Observe(s uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

// Time returns the physical time of stamp s.
func Time(s uint64) time.Time { return time.UnixMilli(int64(s >> logicalBits)) }
