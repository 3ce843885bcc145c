package bulrushlug

import (
	"context"
	"time"
)

// Queue holds requests back for which no backend server has room.
type Queue interface {
	// Wait calls f until it reports that room was taken, once it is the turn of w; idle says that it may only be an idle slot
	// and not a place behind others. It fails with KindOverloaded and a retry delay if w can't or did not get room in time, and
	// with the error of c if that ends. f is never called after Wait returned.
	Wait(c context.Context, w Waiter, f func(idle bool) bool) error

	// Wake tells the queue that there may be room at service s.
	Wake(s string)
}

// Waiter is a request that needs room at a service; values are immutable.
type Waiter struct {
	service      string
	organisation string
	work         float64       // Tokens, at least zero.
	priority     int           // The lowest goes first within an organisation.
	deadline     time.Time     // Zero if there is none.
	patience     time.Duration // Longest useful wait.
	narrow       bool          // Some servers of the service are left out, so others may find room where this one finds none.
}

// NewWaiter returns a waiter for room at service s, for work tokens of organisation o.
func NewWaiter(s, o string, work float64) Waiter {
	return Waiter{service: s, organisation: o, work: work}
}

// WithUrgency returns a copy with priority n, deadline t and the longest useful wait d.
func (w Waiter) WithUrgency(n int, t time.Time, d time.Duration) Waiter {
	w.priority, w.deadline, w.patience = n, t, d
	return w
}

// WithNarrow returns a copy that says whether some servers of the service are left out.
func (w Waiter) WithNarrow(v bool) Waiter {
	w.narrow = v
	return w
}

// Service returns the service.
func (w Waiter) Service() string { return w.service }

// Organisation returns the organisation; empty if the request has none.
func (w Waiter) Organisation() string { return w.organisation }

// Work returns the tokens of prompt and response together.
func (w Waiter) Work() float64 { return w.work }

// Priority returns the priority; the lowest goes first.
func (w Waiter) Priority() int { return w.priority }

// Deadline returns the time at which the caller gives up; zero if there is none.
func (w Waiter) Deadline() time.Time { return w.deadline }

// Patience returns the longest useful wait.
func (w Waiter) Patience() time.Duration { return w.patience }

// Narrow reports whether some servers of the service are left out, so that others may find room where this one finds none.
func (w Waiter) Narrow() bool { return w.narrow }
