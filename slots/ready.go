package slots

import "time"

// OnFree makes t call f when this process has freed a slot of service s, or may use a server of it that is new or whose
// back-off has ended. It is called before t is used.
func (t *Table) OnFree(f func(s string)) { t.free = f }

// notifyFree reports that there may be room at service s.
func (t *Table) notifyFree(s string) {
	if t.free != nil {
		t.free(s)
	}
}

// AcquireReady reserves a slot as AcquireOnline does, but only at a server that is neither in back-off nor leaving, and if
// idle is set, has an idle slot.
func (t *Table) AcquireReady(v string, skip map[string]bool, idle bool) (l *Reservation, vms []string) {
	return t.acquire(filter{service: v, skip: skip, gate: t.gate, idle: idle}, t.chooseReady)
}

// HasReady reports whether a server of service v, not in skip, is neither in back-off nor leaving; it may be full.
func (t *Table) HasReady(v string, skip map[string]bool) bool {
	f := filter{service: v, skip: skip, now: time.Now(), gate: t.gate}
	for i := range t.shards {
		if t.shards[i].hasReady(f) {
			return true
		}
	}
	return false
}

func (s *shard) hasReady(f filter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		if f.selects(e, s.leaving[id]) {
			return true
		}
	}
	return false
}
