// Package seat weighs one connection of a caller against others: which of them is given up first.
package seat

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// keepRate is the number of bytes a second at which a caller that sends a request falls no further behind. It is no
	// limit: it only puts those first that send little for the time that they take.
	keepRate = 64 << 10
	// readTime is how long a caller may leave a response unread before its connection counts as waiting for it.
	readTime = time.Second
)

// epoch is the origin of times, so that they fit one word.
var epoch = time.Now()

// Seat is the connection of one caller.
type Seat struct {
	behind atomic.Int64 // Time since epoch from which on the process has waited for the caller; never while a request is handled.
	yield  func() bool  // Ends the connection at once, unless the process no longer waits for the caller.
}

// never is later than any time.
const never = math.MaxInt64

// New returns the seat of a caller who has sent nothing yet. f ends its connection, and returns false if the process no longer
// waits for the caller.
func New(f func() bool) *Seat {
	s := &Seat{yield: f}
	s.Wait(time.Now(), 0)
	return s
}

// Wait records that the process has waited since t for the rest of something of which n bytes are here.
func (s *Seat) Wait(t time.Time, n int) {
	s.behind.Store(int64(t.Sub(epoch) + time.Duration(n)*time.Second/keepRate))
}

// Write records that a response is being written since t.
func (s *Seat) Write(t time.Time) { s.behind.Store(int64(t.Sub(epoch) + readTime)) }

// Work records that the process waits for nothing from the caller.
func (s *Seat) Work() { s.behind.Store(never) }

// Behind returns how long the process has waited for the caller at time t; negative if it does not wait.
func (s *Seat) Behind(t time.Time) time.Duration {
	b := s.behind.Load()
	if b == never {
		return -1
	}
	return t.Sub(epoch) - time.Duration(b)
}

// Yield ends the connection, and returns false if the process no longer waits for the caller.
func (s *Seat) Yield() bool { return s.yield() }
