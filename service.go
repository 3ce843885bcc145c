package bulrushlug

import "time"

// Service is what operators declare of the backend servers of one service; values are immutable.
type Service struct {
	name     string
	coldRate float64       // Requests per second that a cold server bears; zero if its servers need no warm-up.
	coldTime time.Duration // Time for which a server is cold after its start.
	health   string        // Path of the health check of its servers; empty if they have none.
}

// NewService returns service n, whose servers bear rate requests per second for d after their start; a zero rate means
// that they need no warm-up.
func NewService(n string, rate float64, d time.Duration) Service {
	return Service{name: n, coldRate: rate, coldTime: d}
}

// WithHealthPath returns a copy of s whose servers answer health checks at path p.
func (s Service) WithHealthPath(p string) Service {
	s.health = p
	return s
}

// HealthPath returns the path of the health check of its servers; empty if they have none.
func (s Service) HealthPath() string { return s.health }

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// ColdRate returns the requests per second that a cold server bears; zero if its servers need no warm-up.
func (s Service) ColdRate() float64 { return s.coldRate }

// ColdTime returns how long a server is cold after its start.
func (s Service) ColdTime() time.Duration { return s.coldTime }
