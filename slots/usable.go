package slots

import "time"

// Usable returns the number of servers of service v, those among them that are avoided after a failure, those that are
// leaving, draining or in an evacuated zone, and the idle slots at all others.
func (t *Table) Usable(v string) (servers, avoided, leaving, idle int) {
	now := time.Now()
	for i := range t.shards {
		n, a, l, f := t.shards[i].usable(v, now)
		servers, avoided, leaving, idle = servers+n, avoided+a, leaving+l, idle+f
	}
	return servers, avoided, leaving, idle
}

// usable counts as Usable does, in one shard.
func (s *shard) usable(v string, now time.Time) (servers, avoided, leaving, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if e.backend.Service() != v {
			continue
		}
		servers++
		switch d := s.leaving[id]; {
		case d != nil || e.backend.Draining() || s.gate.Evacuated(e.backend.Zone()):
			leaving++
		case now.Before(e.backoffUntil):
			avoided++
		default:
			online, batch := s.totalLoad(e, now)
			idle += max(0, int(e.backend.Slots())-online-batch)
		}
	}
	return servers, avoided, leaving, idle
}
