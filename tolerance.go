package bulrushlug

import "time"

// Tolerance is what operators tolerate beyond the rate of an organisation; values are immutable.
type Tolerance struct {
	window time.Duration // Span in which requests are counted.
	share  float64       // Part of rate and burst within one window, at least zero.
	more   float64       // Requests beyond that, at least zero.
}

// NewTolerance tolerates, in any span d, the part share of rate and burst and n requests more.
func NewTolerance(d time.Duration, share, n float64) Tolerance {
	return Tolerance{window: d, share: share, more: n}
}

// Requests returns the requests tolerated in one window beyond the given rate a second and burst.
func (t Tolerance) Requests(rate, burst float64) float64 {
	return t.share*(rate*t.window.Seconds()+burst) + t.more
}
