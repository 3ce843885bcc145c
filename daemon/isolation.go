package daemon

import (
	"context"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// isolationInterval is the time between two checks whether this process is isolated.
const isolationInterval = 200 * time.Millisecond

// isolated reports whether changes of servers may not reach this process: it hears less than half of the processes of its
// role, or less than three quarters and none that reaches the key-value service. If it hears more, the service is down for
// all, and each tells the others of servers that it can't reach.
func (s *Daemon) isolated(heard, all int) bool {
	return 2*heard < all || 4*heard < 3*all && s.storeLost() && !s.hearsStore()
}

// hearsStore reports whether this process hears one that reaches the key-value service.
func (s *Daemon) hearsStore() bool {
	for _, p := range s.membership.All() {
		if p.Alive() && !p.StoreLost() {
			return true
		}
	}
	return false
}

// watchIsolation tells the gate whether this process is isolated.
func (s *Daemon) watchIsolation(c context.Context) error {
	was := false
	for c.Err() == nil {
		heard, all := s.membership.CountHeard()
		is := s.gate.Bounded() && s.isolated(heard, all)
		s.gate.SetIsolated(is)
		if is != was {
			_ = s.logger.Log("event", "isolation", "isolated", is, "heard", heard, "of", all)
		}
		was = is
		_ = bulrushlug.Sleep(c, isolationInterval)
	}
	return nil
}
