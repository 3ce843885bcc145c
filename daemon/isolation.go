package daemon

import (
	"context"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	isolationInterval = 200 * time.Millisecond // Time between two checks whether this process is isolated.
	// stallWait is the time after this process was stopped in which it does not judge whether it is isolated: reports that
	// were sent meanwhile say nothing of now, and new ones are not here yet.
	stallWait = time.Second
)

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

// watchIsolation tells the gate that this process runs, and whether it is isolated.
func (s *Daemon) watchIsolation(c context.Context) error {
	var w isolationWatch
	for c.Err() == nil {
		w.check(s, time.Now())
		_ = bulrushlug.Sleep(c, isolationInterval)
	}
	return nil
}

// isolationWatch is what a process last found of itself.
type isolationWatch struct {
	isolated bool
	judge    time.Time // Not judged before this time, as the process was stopped.
}

// check judges at time t whether s is isolated.
func (w *isolationWatch) check(s *Daemon, t time.Time) {
	if d := s.gate.Tick(t); d > 0 {
		w.judge = t.Add(stallWait)
		_ = s.logger.Log("event", "stopped", "ms", d.Milliseconds())
	}
	if t.Before(w.judge) {
		return
	}
	heard, all := s.membership.CountHeard()
	is := s.gate.Bounded() && s.isolated(heard, all)
	s.gate.SetIsolated(is)
	if is != w.isolated {
		_ = s.logger.Log("event", "isolation", "isolated", is, "heard", heard, "of", all)
	}
	w.isolated = is
}
