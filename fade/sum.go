// Package fade is a sum over the recent past.
package fade

import (
	"math"
	"time"
)

// Sum is a sum whose terms fade exponentially; the zero value is empty. It is not safe for concurrent use.
type Sum struct {
	value float64 // As of at.
	at    time.Time
}

// Value returns the sum at t of the terms, each of which has faded with time constant d since it was added.
func (s *Sum) Value(t time.Time, d time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-t.Sub(s.at).Seconds()/d.Seconds())
}

// Add adds n at t, which is not before the last time; d is the same as for Value.
func (s *Sum) Add(t time.Time, n float64, d time.Duration) { s.value, s.at = s.Value(t, d)+n, t }
