package bulrushlug

import "time"

// Forecaster forecasts the online demand of one service from what it was.
type Forecaster interface {
	// Observe records that n online requests are in progress at time now; times never decrease.
	Observe(now time.Time, n int)
	// Peak returns the most online requests that are expected in progress at any time in the d that follow the last
	// observation. It returns false if demand shows no wave, so that nothing is known of what follows.
	Peak(d time.Duration) (n int, ok bool)
	// Period returns the period of the wave; zero if demand shows none.
	Period() time.Duration
}
