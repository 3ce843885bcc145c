package daemon

import "bulrushlug.dev/bulrushlug"

// ObserveDeparture handles a response that says that its backend server is leaving.
func (s *Daemon) ObserveDeparture(d bulrushlug.Departure) {
	s.leavingCounts.Add("responses", 1)
	for _, b := range s.slotTable.RecordDeparture(d) {
		s.leavingCounts.Add("serversTold", 1)
		s.logLeaving(b, "request", d.Request(), "evidence", d.Evidence())
		s.platform.CloseIdle(b)
	}
}

// applyLeaving handles the backend servers that told the sender of r that they are leaving.
func (s *Daemon) applyLeaving(r bulrushlug.Report) {
	for _, b := range s.slotTable.RecordReported(r.Leaving()) {
		s.leavingCounts.Add("serversReported", 1)
		s.logLeaving(b, "evidence", "report of "+r.Member().Name())
		s.platform.CloseIdle(b)
	}
}

// logLeaving logs that b counts as leaving; l names the evidence.
func (s *Daemon) logLeaving(b bulrushlug.Backend, l ...any) {
	_ = s.logger.Log(append([]any{"event", "serverLeaving", "server", b.ID(), "service", b.Service(), "address", b.Address()}, l...)...)
}
