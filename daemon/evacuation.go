package daemon

import (
	"maps"
	"slices"

	"bulrushlug.dev/bulrushlug"
)

// setEvacuated applies the zones that operators evacuate.
func (s *Daemon) setEvacuated(l []bulrushlug.KVEntry) {
	begun, ended := s.gate.SetEvacuated(s.platform.EvacuatedZones(l))
	for _, z := range begun {
		s.evacuationCounts.Add("begun", 1)
		_ = s.logger.Log("event", "evacuation", "zone", z, "state", "begun")
	}
	for _, z := range ended {
		s.evacuationCounts.Add("ended", 1)
		_ = s.logger.Log("event", "evacuation", "zone", z, "state", "ended")
	}
	if len(begun)+len(ended) > 0 {
		s.logEvacuations()
	}
}

// logEvacuations logs what evacuated zones leave of each service where that changed. The operators' request binds also
// where it leaves nothing.
func (s *Daemon) logEvacuations() {
	s.evacuationMu.Lock()
	defer s.evacuationMu.Unlock()
	m := s.slotTable.Evacuations()
	for _, v := range slices.Sorted(maps.Keys(m)) {
		if old, ok := s.evacuations[v]; !ok || old != m[v] {
			_ = s.logger.Log("event", "serversEvacuated", "service", v, "evacuated", m[v].Evacuated(), "left", m[v].Left())
		}
	}
	s.evacuations = m
}

// setEvacuationMetrics sets the servers in evacuated zones, and the services of which no other server is left.
func (s *Daemon) setEvacuationMetrics() {
	var servers, services uint64
	for _, e := range s.slotTable.Evacuations() {
		servers += uint64(e.Evacuated())
		if e.Left() == 0 {
			services++
		}
	}
	s.evacuationCounts.Set("servers", counterValue(servers))
	s.evacuationCounts.Set("servicesWithoutServer", counterValue(services))
}
