package daemon

import (
	"context"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/health"
)

// checkHealth asks backend servers whether they have turned cold until c ends, if the settings call for it.
func (s *Daemon) checkHealth(c context.Context) error {
	d := s.settings.Load().HealthCheckInterval()
	if d == 0 {
		return nil
	}
	p := health.New(s.membership.Self(), d)
	for c.Err() == nil {
		for _, b := range p.Share(s.gate.Warm(), s.aliveMembers()) {
			time.AfterFunc(p.Offset(b), func() { _ = s.guard.Do("health", func() { s.checkServer(c, b, d) }) })
		}
		_ = bulrushlug.Sleep(c, d)
	}
	return nil
}

// aliveMembers returns the other processes that are heard and not leaving.
func (s *Daemon) aliveMembers() (l []bulrushlug.Member) {
	for _, p := range s.membership.All() {
		if p.Alive() && !p.Member().Leaving() {
			l = append(l, p.Member())
		}
	}
	return l
}

// checkServer asks b for at most d whether it is cold. What else a health check says is no ground for a decision, as it may be
// wrong either way; only a server that no connection reaches may have started again.
func (s *Daemon) checkServer(c context.Context, b bulrushlug.Backend, d time.Duration) {
	path := s.healthPath(b.Service())
	if path == "" || c.Err() != nil {
		return
	}
	c, stop := context.WithTimeout(c, d)
	defer stop()
	s.healthCounts.Add("asked", 1)
	x, err := s.platform.CheckHealth(c, b, path)
	switch {
	case err != nil:
		s.healthCounts.Add("failed", 1)
		if bulrushlug.KindOf(err) == bulrushlug.KindUnplaceable {
			s.gate.Suspect(b)
		}
	case x > 0:
		s.healthCounts.Add("cold", 1)
		s.ObserveCold(b, x)
	}
}

// healthPath returns the path of the health check of service n; empty if it has none.
func (s *Daemon) healthPath(n string) string {
	if m := s.manifest.Load(); m != nil {
		for _, v := range m.Services() {
			if v.Name() == n {
				return v.HealthPath()
			}
		}
	}
	return ""
}

// ObserveCold handles a response of b that says that it stays cold for d. The others are told at once, as they send to it too.
func (s *Daemon) ObserveCold(b bulrushlug.Backend, d time.Duration) {
	if !s.gate.RecordCold(b, d) {
		return
	}
	_ = s.logger.Log("event", "serverCold", "server", b.ID(), "service", b.Service(), "leftMs", d.Milliseconds())
	s.announce()
}
