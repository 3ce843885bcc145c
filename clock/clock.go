// Package clock implements a hybrid logical clock, which orders events across processes.
package clock

import (
	"sync"
	"time"
)

// logicalBits is the width of the logical counter, which orders events within one millisecond.
const logicalBits = 16

// Clock issues strictly increasing timestamps that are greater than every timestamp observed.
type Clock struct {
	mu   sync.Mutex
	last uint64 // Greatest timestamp issued or observed.
}

// New returns a clock that has observed no timestamps yet.
func New() *Clock { return &Clock{} }

// Now returns the next timestamp: Unix milliseconds in the upper bits, the logical counter in the lower ones.
func (c *Clock) Now() uint64 {
	n := uint64(time.Now().UnixMilli()) << logicalBits
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(n, c.last+1)
	return c.last
}

// Observe makes later timestamps greater than s, a timestamp from another process.
func (c *Clock) Observe(s uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

// Time returns the physical time of timestamp s, with millisecond precision.
func Time(s uint64) time.Time { return time.UnixMilli(int64(s >> logicalBits)) }
