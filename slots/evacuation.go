package slots

// Evacuation is the effect of evacuated zones on one service.
type Evacuation struct{ left, evacuated int }

// Left returns the servers that may still get requests.
func (e Evacuation) Left() int { return e.left }

// Evacuated returns the servers in evacuated zones.
func (e Evacuation) Evacuated() int { return e.evacuated }

// Evacuations returns the effect of evacuated zones by service; services without a server there are left out.
func (t *Table) Evacuations() map[string]Evacuation {
	m := map[string]Evacuation{}
	for i := range t.shards {
		t.shards[i].countEvacuated(m)
	}
	for v, e := range m {
		e.left = t.Available(v)
		m[v] = e
	}
	return m
}

func (s *shard) countEvacuated(m map[string]Evacuation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if s.gate.Evacuated(e.backend.Zone()) {
			x := m[e.backend.Service()]
			x.evacuated++
			m[e.backend.Service()] = x
		}
	}
}
