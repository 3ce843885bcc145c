// Package pace tells how long a caller may take to send a request and to read its response.
//
// It answers connections that stop just short of the end of what they owe and stay open.
package pace

import "time"

// Pace is the least speed of a caller.
type Pace struct {
	head  time.Duration // For a whole head, from its first byte on.
	grace time.Duration // For a body of any size.
	rate  int           // Bytes a second of a body that takes longer; positive.
	stall time.Duration // For any byte of a response.
}

// New returns a pace with h for a head, g and beyond it r bytes a second for a body, and s for any byte of a response.
func New(h, g time.Duration, r int, s time.Duration) Pace {
	return Pace{head: h, grace: g, rate: max(1, r), stall: s}
}

// Head returns when a head that began at t has to be whole.
func (p Pace) Head(t time.Time) time.Time { return t.Add(p.head) }

// Body returns when a body that began at t, and of which n bytes are here, has to go on.
func (p Pace) Body(t time.Time, n int) time.Time {
	return t.Add(p.grace + time.Duration(n)*time.Second/time.Duration(p.rate))
}

// Response returns when a byte has to be taken of a response that is written at t.
func (p Pace) Response(t time.Time) time.Time { return t.Add(p.stall) }
