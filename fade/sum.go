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

// Value returns the sum of the terms, each of which has faded with time constant d since it was added.
func (s *Sum) Value(d time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-time.Since(s.at).Seconds()/d.Seconds())
}

// Add adds n now; d is the same as for Value.
func (s *Sum) Add(n float64, d time.Duration) { s.value, s.at = s.Value(d)+n, time.Now() }
