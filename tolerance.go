package bulrushlug

import "time"

// Tolerance is the admission overrun that operators tolerate beyond an organisation's rate limit; values are immutable.
type Tolerance struct {
	window time.Duration // Window in which requests are counted.
	share  float64       // Tolerated overrun as a share of rate and burst within one window, at least zero.
	extra  float64       // Tolerated overrun in requests on top of the share, at least zero.
}

// NewTolerance tolerates, in any window of length d, an overrun of the given share of rate and burst plus n requests.
func NewTolerance(d time.Duration, share, n float64) Tolerance {
	return Tolerance{window: d, share: share, extra: n}
}

// Requests returns the overrun in requests tolerated in one window for the given rate (requests per second) and burst.
func (t Tolerance) Requests(rate, burst float64) float64 {
	return t.share*(rate*t.window.Seconds()+burst) + t.extra
}
