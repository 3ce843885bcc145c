package bulrushlug

// Warmup is the bound on requests to a cold backend server; values are immutable.
type Warmup struct {
	factor float64 // Multiple of the rate that a cold server bears, at least zero.
	extra  float64 // Requests in any second beyond that, at least zero.
}

// NewWarmup returns the bound of factor times the rate that a cold server bears plus extra requests in any second.
func NewWarmup(factor, extra float64) Warmup { return Warmup{factor: factor, extra: extra} }

// Requests returns the requests that a server which bears rate requests per second may get in any second while it is
// cold.
func (w Warmup) Requests(rate float64) int { return int(rate*w.factor + w.extra) }
